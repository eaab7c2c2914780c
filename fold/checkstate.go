package fold

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
)

// checkRecord returns the reasons for which the state rejects the bundle of a record.
func (s *State) checkRecord(rec *configpb.Record) reasons {
	var r reasons
	if rec.GetRuleVersion() == 0 {
		r.addf("the record names no rule version")
	}
	if rec.GetDocument() != nil {
		r.addf("a document needs rule %d or later", DocumentRule)
	}
	b := rec.GetBundle()
	if changesAPIKeys(b) && rec.GetRuleVersion() < APIKeyRule {
		r.addf("a change of API keys needs rule %d or later", APIKeyRule)
	}
	r = append(r, checkBundle(b)...)
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
	r.checkSize(s, b)
	return r
}

// checkRevision rejects a change whose base revision is not the one in force. If two operators
// change a resource concurrently, the first record in the log is accepted, and the reason for
// rejecting the other names the author of the first.
func (r *reasons) checkRevision(s *State, c *configpb.Change) {
	k, _ := KeyOf(c.GetResource())
	e := s.Get(k)
	switch {
	case e == nil && c.GetReplaces() != 0:
		r.addMissingResource(s, k, c.GetReplaces())
	case e == nil && c.GetDelete():
		r.addf("%s does not exist and cannot be deleted", k)
	case e != nil && e.Revision != c.GetReplaces():
		r.addf("%s is at revision %d by %s, the change replaces revision %d", k, e.Revision, authorOrPlaceholder(e.Author), c.GetReplaces())
	}
}

func (r *reasons) addMissingResource(s *State, k Key, replaces uint64) {
	if d, ok := s.recent.deletion(k); ok {
		r.addf("%s was deleted at revision %d by %s, the change replaces revision %d", k, d.Offset, authorOrPlaceholder(d.Author), replaces)
		return
	}
	r.addf("%s does not exist, the change replaces revision %d", k, replaces)
}

func authorOrPlaceholder(author string) string {
	if author == "" {
		return "an unnamed author"
	}
	return author
}

// checkReferences rejects a bundle after which a resource would refer to a missing one, two routes
// would have the same prefix, or two API keys the same digest. The state has none of these, so only
// the resources that the bundle changes are checked.
func (r *reasons) checkReferences(s *State, b *configpb.Bundle) {
	after := resourcesAfter(b)
	sorted := slices.SortedFunc(maps.Keys(after), compareKeys)
	r.checkAPIKeys(s, after, sorted)
	byPrefix := make(map[string]string)
	for _, k := range sorted {
		switch {
		case k.Kind == KindService && after[k] == nil:
			r.checkServiceUnused(s, after, k)
		case k.Kind == KindRoute && after[k] != nil:
			r.checkRoute(s, after, byPrefix, after[k].GetRoute())
		}
	}
}

// resourcesAfter returns each resource that a bundle changes as it is afterwards, nil if the
// bundle deletes it.
func resourcesAfter(b *configpb.Bundle) map[Key]*configpb.Resource {
	after := make(map[Key]*configpb.Resource, len(b.GetChanges()))
	for _, c := range b.GetChanges() {
		k, _ := KeyOf(c.GetResource())
		after[k] = nil
		if !c.GetDelete() {
			after[k] = c.GetResource()
		}
	}
	return after
}

// checkServiceUnused rejects the deletion of a service that is still used by routes which the
// bundle does not change.
func (r *reasons) checkServiceUnused(s *State, after map[Key]*configpb.Resource, service Key) {
	if s.routes.count(service.Name) == 0 {
		return
	}
	for _, e := range s.Entries(KindRoute) {
		_, changed := after[e.Key]
		if !changed && e.Resource.GetRoute().GetService() == service.Name {
			r.addf("%s needs %s, which would not exist", e.Key, service)
		}
	}
}

// checkRoute rejects a route whose service would not exist or whose prefix belongs to another
// route. byPrefix collects the names of the bundle's own routes by prefix.
func (r *reasons) checkRoute(s *State, after map[Key]*configpb.Resource, byPrefix map[string]string, route *configpb.Route) {
	service := Key{KindService, route.GetService()}
	res, changed := after[service]
	if changed && res == nil || !changed && s.Get(service) == nil {
		r.addf("route %s needs %s, which would not exist", route.GetName(), service)
	}
	prefix := route.GetPathPrefix()
	other, taken := byPrefix[prefix]
	if !taken {
		other, taken = s.routes.holderOf(prefix)
		_, changed = after[Key{KindRoute, other}]
		taken = taken && !changed
	}
	if taken {
		r.addf("route %s and route %s would have the same path_prefix", route.GetName(), other)
	}
	byPrefix[prefix] = route.GetName()
}

// checkSize rejects a bundle with which the state would exceed MaxResources or MaxResourceBytes.
func (r *reasons) checkSize(s *State, b *configpb.Bundle) {
	count, bytes := s.Len(), s.bytes
	for _, c := range b.GetChanges() {
		k, _ := KeyOf(c.GetResource())
		if e := s.Get(k); e != nil {
			count--
			bytes -= entryBytes(e)
		}
		if !c.GetDelete() {
			count++
			bytes += entryBytes(&Entry{Author: b.GetAuthor(), Resource: c.GetResource()})
		}
	}
	if count > MaxResources {
		r.addf("there would be %d resources, at most %d may be in force", count, MaxResources)
	}
	if bytes > MaxResourceBytes {
		r.addf("the resources would take %d bytes, at most %d may be in force", bytes, MaxResourceBytes)
	}
}

// entryOverheadBytes is an upper bound on the serialized size of an entry without its resource
// and author.
const entryOverheadBytes = 40

// entryBytes returns an upper bound on the serialized size of an entry. It is part of the rule:
// all daemons must compute the same value.
func entryBytes(e *Entry) int {
	return proto.Size(e.Resource) + len(e.Author) + entryOverheadBytes
}
