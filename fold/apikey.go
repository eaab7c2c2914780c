package fold

import (
	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/configpb"
)

// Limits on API keys.
const (
	// MaxContractKeys is the maximum number of API keys of one customer or account.
	MaxContractKeys = 256
	MaxLabelBytes   = 128
)

// checkAPIKey runs the checks of an API key that do not depend on a state.
func (r *reasons) checkAPIKey(k Key, key *configpb.ApiKey) {
	r.checkName(Key{KindContract, key.GetCustomer()})
	if len(key.GetDigest()) != len(apikey.Digest{}) {
		r.addf("%s: the digest must have %d bytes", k, len(apikey.Digest{}))
	}
	if !printable(key.GetLabel(), MaxLabelBytes) {
		r.addf("%s: label must have at most %d bytes and no control characters", k, MaxLabelBytes)
	}
}

// checkAPIKeys rejects a bundle after which an API key would have no contract, two API keys would
// have the same digest, or a customer would have too many API keys. The state has none of these, so
// only the resources that the bundle changes are checked.
func (r *reasons) checkAPIKeys(s *State, after map[Key]*configpb.Resource, sorted []Key) {
	added := make(map[string]int)
	byDigest := make(map[string]string)
	for _, k := range sorted {
		switch {
		case k.Kind == KindContract && after[k] == nil:
			r.checkContractUnused(s, after, k)
		case k.Kind == KindAPIKey:
			added[s.customerOf(k)]--
			if after[k] != nil {
				r.checkNewAPIKey(s, after, byDigest, k, after[k].GetApiKey())
				added[after[k].GetApiKey().GetCustomer()]++
			}
		}
	}
	for _, k := range sorted {
		customer := after[k].GetApiKey().GetCustomer()
		if n := s.keys.count(customer) + added[customer]; customer != "" && n > MaxContractKeys {
			r.addf("customer %s would have %d API keys, at most %d are allowed", customer, n, MaxContractKeys)
			return
		}
	}
}

// customerOf returns the customer of an API key in force, or "" if the key does not exist.
func (s *State) customerOf(k Key) string {
	if e := s.Get(k); e != nil {
		return e.Resource.GetApiKey().GetCustomer()
	}
	return ""
}

// checkContractUnused rejects the deletion of a contract that still has API keys which the bundle
// does not change. Otherwise the next contract of that customer would come into force with them.
func (r *reasons) checkContractUnused(s *State, after map[Key]*configpb.Resource, contract Key) {
	if s.keys.count(contract.Name) == 0 {
		return
	}
	for _, e := range s.Entries(KindAPIKey) {
		_, changed := after[e.Key]
		if !changed && e.Resource.GetApiKey().GetCustomer() == contract.Name {
			r.addf("%s needs %s, which would not exist", e.Key, contract)
		}
	}
}

// checkNewAPIKey rejects an API key whose contract would not exist or whose digest belongs to
// another API key. byDigest collects the names of the bundle's own API keys by digest.
func (r *reasons) checkNewAPIKey(s *State, after map[Key]*configpb.Resource, byDigest map[string]string, k Key, key *configpb.ApiKey) {
	contract := Key{KindContract, key.GetCustomer()}
	res, changed := after[contract]
	if changed && res == nil || !changed && s.Get(contract) == nil {
		r.addf("%s needs %s, which would not exist", k, contract)
	}
	digest := string(key.GetDigest())
	other, taken := byDigest[digest]
	if !taken {
		other, taken = s.keys.holderOf(digest)
		_, changed = after[Key{KindAPIKey, other}]
		taken = taken && !changed
	}
	if taken && other != k.Name {
		r.addf("%s and API key %s would have the same digest", k, other)
	}
	byDigest[digest] = k.Name
}

// checkAccounts runs the checks of the accounts of a document. Two accounts must not share an API
// key, because a call with that key could not be attributed to one of them.
func (r *reasons) checkAccounts(accounts []*configpb.DocumentAccount) {
	if n := len(accounts); n > MaxDocumentAccounts {
		r.addf("at most %d accounts, this document has %d", MaxDocumentAccounts, n)
		return
	}
	names := make(map[string]bool, len(accounts))
	accountByDigest := make(map[string]string, len(accounts))
	for _, a := range accounts {
		k := Key{KindContract, a.GetName()}
		if !r.checkName(k) {
			continue
		}
		if names[a.GetName()] {
			r.addf("account %s occurs twice", a.GetName())
		}
		names[a.GetName()] = true
		r.checkAccountLimits(a)
		r.checkAccountKeys(a, accountByDigest)
	}
}

func (r *reasons) checkAccountLimits(a *configpb.DocumentAccount) {
	// This form of the conditions also rejects NaN.
	if rate := a.GetRatePerSecond(); !(rate >= 0 && rate <= MaxRatePerSecond) {
		r.addf("account %s: rate_per_second must be 0 to %g", a.GetName(), MaxRatePerSecond)
	}
	if burst := a.GetBurst(); !(burst >= 0 && burst <= MaxBurst) {
		r.addf("account %s: burst must be 0 to %g", a.GetName(), MaxBurst)
	}
	if a.GetPriority() > MaxPriority {
		r.addf("account %s: priority must be at most %d", a.GetName(), MaxPriority)
	}
}

// checkAccountKeys checks the key digests of an account. accountByDigest collects the accounts by
// digest.
func (r *reasons) checkAccountKeys(a *configpb.DocumentAccount, accountByDigest map[string]string) {
	if n := len(a.GetKeyDigests()); n > MaxContractKeys {
		r.addf("account %s has %d keys, at most %d are allowed", a.GetName(), n, MaxContractKeys)
		return
	}
	for _, digest := range a.GetKeyDigests() {
		if len(digest) != len(apikey.Digest{}) {
			r.addf("account %s: a key digest must have %d bytes", a.GetName(), len(apikey.Digest{}))
			continue
		}
		other, taken := accountByDigest[string(digest)]
		if taken && other != a.GetName() {
			r.addf("account %s and account %s have the same key", a.GetName(), other)
		}
		accountByDigest[string(digest)] = a.GetName()
	}
}
