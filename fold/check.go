package fold

import (
	"fmt"
	"math"
	"strings"

	"github.com/crocuscross/crocuscross/configpb"
)

// Bounds on what a bundle may hold.
const (
	MaxNameBytes     = 128
	MaxPrefixBytes   = 1024
	MaxChanges       = 1024
	MaxRules         = 256
	MaxRatePerSecond = 1e6
	MaxWaitMs        = 600_000
	maxPublishID     = 64
)

// KeyOf returns the key of a resource; ok is false where it has no kind.
func KeyOf(r *configpb.Resource) (k Key, ok bool) {
	switch r.GetKind().(type) {
	case *configpb.Resource_Service:
		return Key{KindService, r.GetService().GetName()}, true
	case *configpb.Resource_Route:
		return Key{KindRoute, r.GetRoute().GetName()}, true
	case *configpb.Resource_Contract:
		return Key{KindContract, r.GetContract().GetCustomer()}, true
	}
	return Key{}, false
}

// CheckBundle checks all that can be told without a state. It returns the
// reasons for which every state would reject the bundle.
func CheckBundle(b *configpb.Bundle) []string {
	var r reasons
	if b.GetPublishId() == "" || len(b.GetPublishId()) > maxPublishID {
		r.addf("publish_id must have 1 to %d bytes", maxPublishID)
	}
	n := len(b.GetChanges())
	if n == 0 || n > MaxChanges {
		r.addf("a bundle must have 1 to %d changes, this one has %d", MaxChanges, n)
	}
	seen := make(map[Key]bool, n)
	for i, c := range b.GetChanges() {
		k, ok := KeyOf(c.GetResource())
		if !ok {
			r.addf("change %d names no resource", i+1)
			continue
		}
		if seen[k] {
			r.addf("%s is changed twice", k)
		}
		seen[k] = true
		r.checkName(k)
		if !c.GetDelete() {
			r.checkResource(k, c.GetResource())
		}
	}
	return r
}

// check returns the reasons for which the state rejects a record.
func (s *State) check(rec *configpb.Record) []string {
	var r reasons
	if rec.GetRuleVersion() == 0 {
		r.addf("the record names no rule version")
	}
	b := rec.GetBundle()
	r = append(r, CheckBundle(b)...)
	if len(r) > 0 {
		return r
	}
	for _, c := range b.GetChanges() {
		r.checkRevision(s, c)
	}
	if len(r) > 0 {
		return r
	}
	r.checkReferences(s, b)
	return r
}

// reasons collects why a bundle is rejected.
type reasons []string

func (r *reasons) addf(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

func (r *reasons) checkName(k Key) {
	if k.Name == "" || len(k.Name) > MaxNameBytes {
		r.addf("a %s's name must have 1 to %d bytes", k.Kind, MaxNameBytes)
		return
	}
	for _, c := range k.Name {
		if c <= ' ' || c == 0x7f {
			r.addf("%s: a name must have no blanks or control characters", k)
			return
		}
	}
}

func (r *reasons) checkResource(k Key, res *configpb.Resource) {
	switch k.Kind {
	case KindRoute:
		r.checkPrefix(k, res.GetRoute().GetPathPrefix())
	case KindContract:
		r.checkContract(k, res.GetContract())
	}
}

func (r *reasons) checkPrefix(k Key, prefix string) {
	if !strings.HasPrefix(prefix, "/") || len(prefix) > MaxPrefixBytes {
		r.addf("%s: path_prefix must start with / and have at most %d bytes", k, MaxPrefixBytes)
	}
}

func (r *reasons) checkContract(k Key, c *configpb.Contract) {
	rate := c.GetRatePerSecond()
	// The comparison is written so that NaN fails it.
	if !(rate > 0 && rate <= MaxRatePerSecond) || math.IsInf(rate, 0) {
		r.addf("%s: rate_per_second must be above 0 and at most %g", k, MaxRatePerSecond)
	}
	if w := c.GetMaxWaitMs(); w == 0 || w > MaxWaitMs {
		r.addf("%s: max_wait_ms must be 1 to %d", k, MaxWaitMs)
	}
	if n := len(c.GetRules()); n > MaxRules {
		r.addf("%s: at most %d rules, this one has %d", k, MaxRules, n)
	}
	for _, rule := range c.GetRules() {
		r.checkPrefix(k, rule.GetPathPrefix())
		if rule.GetMaxWaitMs() > MaxWaitMs {
			r.addf("%s: a rule's max_wait_ms must be at most %d", k, MaxWaitMs)
		}
	}
}

// checkRevision rejects a change that does not replace what is in force: of
// two operators who race, the first in the log wins and the other is told.
func (r *reasons) checkRevision(s *State, c *configpb.Change) {
	k, _ := KeyOf(c.GetResource())
	e := s.Get(k)
	switch {
	case e == nil && c.GetReplaces() != 0:
		r.addf("%s does not exist, the change replaces revision %d", k, c.GetReplaces())
	case e == nil && c.GetDelete():
		r.addf("%s does not exist and cannot be deleted", k)
	case e != nil && e.Revision != c.GetReplaces():
		r.addf("%s is at revision %d by %s, the change replaces revision %d", k, e.Revision, e.Author, c.GetReplaces())
	}
}

// checkReferences rejects a bundle that would leave a route without its
// service or two routes with one prefix.
func (r *reasons) checkReferences(s *State, b *configpb.Bundle) {
	after := make(map[Key]*configpb.Resource, s.Len()+len(b.GetChanges()))
	for k, e := range s.entries {
		after[k] = e.Resource
	}
	for _, c := range b.GetChanges() {
		k, _ := KeyOf(c.GetResource())
		if c.GetDelete() {
			delete(after, k)
		} else {
			after[k] = c.GetResource()
		}
	}
	byPrefix := make(map[string]string)
	for _, k := range sortedKeys(after, KindRoute) {
		route := after[k].GetRoute()
		if _, ok := after[Key{KindService, route.GetService()}]; !ok {
			r.addf("%s needs service %s, which would not exist", k, route.GetService())
		}
		if other, ok := byPrefix[route.GetPathPrefix()]; ok {
			r.addf("%s and route %s would have the same path_prefix", k, other)
		}
		byPrefix[route.GetPathPrefix()] = route.GetName()
	}
}
