package snapshot

import (
	"net/http"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/configpb"
)

// Contract is the compiled contract of a customer or account of a document, as requests use it.
type Contract struct {
	Customer string
	Revision uint64
	// Rate is in calls per second, 0 if the rate is not limited.
	Rate          float64
	Burst         float64
	MaxConcurrent int
	MaxWait       time.Duration
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	rules       []rule
}

// Limited reports whether the calls of the customer are limited.
func (c *Contract) Limited() bool { return c.Rate > 0 }

type rule struct {
	method, prefix string
	nonIdempotent  bool
	maxWait        time.Duration
}

func newContract(c *configpb.Contract, revision uint64) *Contract {
	n := &Contract{
		Customer:      c.GetCustomer(),
		Revision:      revision,
		Rate:          c.GetRatePerSecond(),
		Burst:         float64(c.GetBurst()),
		MaxConcurrent: int(c.GetMaxConcurrent()),
		MaxWait:       time.Duration(c.GetMaxWaitMs()) * time.Millisecond,
	}
	if n.Burst == 0 {
		n.Burst = max(1, n.Rate)
	}
	for _, r := range c.GetRules() {
		n.rules = append(n.rules, rule{
			method: r.GetMethod(), prefix: r.GetPathPrefix(), nonIdempotent: r.GetNonIdempotent(),
			maxWait: time.Duration(r.GetMaxWaitMs()) * time.Millisecond,
		})
	}
	return n
}

// CallTerms is the part of a contract that applies to one call.
type CallTerms struct {
	NonIdempotent bool
	MaxWait       time.Duration
}

// Terms returns the terms for a call. They come from the first matching rule. If no rule matches,
// MaxWait is that of the contract, and POST and PATCH are non-idempotent.
func (c *Contract) Terms(method, path string) CallTerms {
	for _, r := range c.rules {
		if r.method != "" && r.method != method {
			continue
		}
		if !strings.HasPrefix(path, r.prefix) {
			continue
		}
		wait := c.MaxWait
		if r.maxWait > 0 {
			wait = r.maxWait
		}
		return CallTerms{NonIdempotent: r.nonIdempotent, MaxWait: wait}
	}
	return CallTerms{NonIdempotent: method == http.MethodPost || method == http.MethodPatch, MaxWait: c.MaxWait}
}
