package fold

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocuscross/crocuscross/configpb"
)

// Limits on the contents of a bundle.
const (
	MaxNameBytes     = 128
	MaxAuthorBytes   = 128
	MaxPrefixBytes   = 1024
	MaxMethodBytes   = 32
	MaxChanges       = 1024
	MaxRules         = 256
	MaxRatePerSecond = 1e6
	MaxWaitMs        = 600_000
	maxPublishID     = 64
)

// Limits on the whole state. Daemons pull a state from a peer in one message, so it has to fit one
// message and the memory of a daemon.
const (
	// MaxResources is the maximum number of resources in force.
	MaxResources = 16384
	// MaxResourceBytes limits the total size of their serialized entries; see entryBytes.
	MaxResourceBytes = 8 << 20
	// maxReasonBytes limits the total length of the reasons that are stored with a verdict.
	maxReasonBytes = 1024
)

// KeyOf returns the key of a resource; ok is false if the resource has no kind.
func KeyOf(r *configpb.Resource) (k Key, ok bool) {
	switch r.GetKind().(type) {
	case *configpb.Resource_Service:
		return Key{KindService, r.GetService().GetName()}, true
	case *configpb.Resource_Route:
		return Key{KindRoute, r.GetRoute().GetName()}, true
	case *configpb.Resource_Contract:
		return Key{KindContract, r.GetContract().GetCustomer()}, true
	case *configpb.Resource_ApiKey:
		return Key{KindAPIKey, r.GetApiKey().GetId()}, true
	}
	return Key{}, false
}

// CheckBundle runs the checks that do not depend on a state. It returns the reasons for which a
// bundle is rejected in every state.
func CheckBundle(b *configpb.Bundle) []string { return checkBundle(b) }

func checkBundle(b *configpb.Bundle) reasons {
	var r reasons
	if !validPublishID(b.GetPublishId()) {
		r.addf("publish_id must have 1 to %d bytes", maxPublishID)
	}
	if !printable(b.GetAuthor(), MaxAuthorBytes) {
		r.addf("author must have at most %d bytes and no control characters", MaxAuthorBytes)
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
		if !r.checkName(k) {
			continue
		}
		if seen[k] {
			r.addf("%s is changed twice", k)
		}
		seen[k] = true
		if !c.GetDelete() {
			r.checkResource(k, c.GetResource())
		}
	}
	return r
}

func validPublishID(id string) bool { return id != "" && len(id) <= maxPublishID }

func printable(text string, maxBytes int) bool {
	return len(text) <= maxBytes && !strings.ContainsFunc(text, isControl)
}

// isControl lists the ranges itself, and names are quoted unchanged in reasons: the tables of
// package unicode change with the Go version, and daemons of different builds must reach the same
// verdict.
func isControl(c rune) bool { return c < ' ' || c >= 0x7f && c < 0xa0 }

func isBlankOrControl(c rune) bool { return c == ' ' || isControl(c) }

// reasons collects the reasons for which a record is rejected.
type reasons []string

func (r *reasons) addf(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

// truncate returns the first reasons, up to maxReasonBytes, followed by the number of omitted
// ones if there are any.
func (r reasons) truncate() []string {
	total := 0
	for i, reason := range r {
		total += len(reason)
		if total > maxReasonBytes {
			return append(slices.Clone(r[:i]), fmt.Sprintf("and %d more reasons", len(r)-i))
		}
	}
	return r
}

// checkName reports whether a name is valid, and so safe to quote in a reason. If it is not, it
// adds the reason.
func (r *reasons) checkName(k Key) bool {
	if k.Name == "" || len(k.Name) > MaxNameBytes {
		r.addf("a %s's name must have 1 to %d bytes", k.Kind, MaxNameBytes)
		return false
	}
	if strings.ContainsFunc(k.Name, isBlankOrControl) {
		r.addf("a %s's name must have no blanks or control characters", k.Kind)
		return false
	}
	return true
}

func (r *reasons) checkResource(k Key, res *configpb.Resource) {
	switch k.Kind {
	case KindRoute:
		r.checkName(Key{KindService, res.GetRoute().GetService()})
		r.checkPrefix(k, res.GetRoute().GetPathPrefix())
	case KindContract:
		r.checkContract(k, res.GetContract())
	case KindAPIKey:
		r.checkAPIKey(k, res.GetApiKey())
	}
}

func (r *reasons) checkPrefix(k Key, prefix string) {
	if !strings.HasPrefix(prefix, "/") || len(prefix) > MaxPrefixBytes {
		r.addf("%s: path_prefix must start with / and have at most %d bytes", k, MaxPrefixBytes)
	}
}

func (r *reasons) checkContract(k Key, c *configpb.Contract) {
	rate := c.GetRatePerSecond()
	// This form of the condition also rejects NaN.
	if !(rate > 0 && rate <= MaxRatePerSecond) {
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
		if !printable(rule.GetMethod(), MaxMethodBytes) {
			r.addf("%s: a rule's method must have at most %d bytes", k, MaxMethodBytes)
		}
		if rule.GetMaxWaitMs() > MaxWaitMs {
			r.addf("%s: a rule's max_wait_ms must be at most %d", k, MaxWaitMs)
		}
	}
}
