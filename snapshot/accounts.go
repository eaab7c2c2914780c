package snapshot

import (
	"maps"

	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

// minBurstTime is the part of an account's rate that may accumulate if the document allows no
// burst, in seconds. Without any, calls would have to arrive at exactly equal intervals.
const minBurstTime = 0.1

// accounts are the client accounts of a document.
type accounts struct {
	byName   map[string]*Contract
	byDigest map[apikey.Digest]*Contract
}

// newAccounts compiles the accounts of a document. It reuses the compiled accounts of prev that have
// not changed, since each new one makes the daemons divide its limits again.
func newAccounts(list []*configpb.DocumentAccount, prev accounts) accounts {
	n := accounts{
		byName:   make(map[string]*Contract, len(list)),
		byDigest: make(map[apikey.Digest]*Contract, len(list)),
	}
	for _, a := range list {
		c := newAccountContract(a)
		if old := prev.byName[c.Customer]; old.sameLimits(c) {
			c = old
		}
		n.byName[c.Customer] = c
		for _, digest := range a.GetKeyDigests() {
			n.byDigest[apikey.Digest(digest)] = c
		}
	}
	return n
}

func newAccountContract(a *configpb.DocumentAccount) *Contract {
	c := &Contract{
		Customer:    a.GetName(),
		Rate:        a.GetRatePerSecond(),
		Priority:    int(a.GetPriority()),
		HasPriority: a.Priority != nil,
	}
	if c.Rate > 0 {
		c.Burst = max(1, a.GetBurst(), minBurstTime*c.Rate)
	}
	return c
}

// sameLimits reports whether two compiled accounts are equal. c may be nil.
func (c *Contract) sameLimits(o *Contract) bool {
	return c != nil && c.Rate == o.Rate && c.Burst == o.Burst && c.Priority == o.Priority && c.HasPriority == o.HasPriority
}

// HasAccounts reports whether the document has accounts. Calls to its routes then need an API key,
// unless the route is public.
func (d *Document) HasAccounts() bool { return len(d.accounts.byName) > 0 }

// Account returns the account that holds an API key, nil if there is none.
func (d *Document) Account(digest apikey.Digest) *Contract { return d.accounts.byDigest[digest] }

// buildKeys maps the API keys of the state to the compiled contracts of their customers.
func (s *Snapshot) buildKeys() {
	entries := s.State.Entries(fold.KindAPIKey)
	s.keys = make(map[apikey.Digest]*Contract, len(entries))
	s.keyHolders = make(map[string]bool, len(entries))
	for _, e := range entries {
		key := e.Resource.GetApiKey()
		s.keys[apikey.Digest(key.GetDigest())] = s.contracts[key.GetCustomer()]
		s.keyHolders[key.GetCustomer()] = true
	}
}

// KeyContract returns the contract of the customer that holds an API key, nil if there is none. It
// does not cover the accounts of a document.
func (s *Snapshot) KeyContract(digest apikey.Digest) *Contract { return s.keys[digest] }

// HasCustomerKeys reports whether any customer has an API key. It does not cover the accounts of a
// document.
func (s *Snapshot) HasCustomerKeys() bool { return len(s.keys) > 0 }

// NeedsKey reports whether the calls of a customer must carry one of its API keys.
func (s *Snapshot) NeedsKey(customer string) bool { return s.keyHolders[customer] }

// buildLimits collects the contracts that limit calls. An account of the document takes the place of
// a contract with the same name.
func (s *Snapshot) buildLimits(prev *Snapshot) {
	if s.document == nil || !s.document.HasAccounts() {
		s.limits = s.contracts
		return
	}
	if prev != nil && prev.document == s.document && prev.Offset == s.Offset {
		s.limits = prev.limits
		return
	}
	s.limits = maps.Clone(s.contracts)
	for name, c := range s.document.accounts.byName {
		delete(s.limits, name)
		if c.Limited() {
			s.limits[name] = c
		}
	}
}

// LimitedContracts returns the contracts and accounts whose calls are limited, by customer. The
// caller must not modify the map.
func (s *Snapshot) LimitedContracts() map[string]*Contract { return s.limits }

// RateLimit returns the limit of a customer's contract or account in calls per second, 0 if there is
// none. s may be nil.
func (s *Snapshot) RateLimit(customer string) float64 {
	if s == nil {
		return 0
	}
	c := s.limits[customer]
	if c == nil {
		return 0
	}
	return c.Rate
}
