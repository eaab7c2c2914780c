package snapshot

import (
	"net/http"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/configpb"
)

// Contract is a customer's contract, compiled for the request path.
type Contract struct {
	Customer      string
	Revision      uint64
	Rate          float64
	Burst         float64
	MaxConcurrent int
	MaxWait       time.Duration
	rules         []rule
}

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

// CallTerms is what a contract says of one call.
type CallTerms struct {
	NonIdempotent bool
	MaxWait       time.Duration
}

// Terms returns what the contract says of a call: the first matching rule, or
// else the contract's wait and the method's usual meaning.
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
