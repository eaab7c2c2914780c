package fold

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
)

// check returns the reasons for which the state rejects a record.
func (s *State) check(rec *configpb.Record) reasons {
	var r reasons
	if rec.GetRuleVersion() == 0 {
		r.addf("the record names no rule version")
	}
	if rec.GetDocument() != nil {
		r.addf("a document needs rule %d or later", DocumentRule)
	}
	b := rec.GetBundle()
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

// checkRevision rejects a change that does not replace what is in force: of
// two operators who race, the first in the log wins and the other is told by
// whom.
func (r *reasons) checkRevision(s *State, c *configpb.Change) {
	k, _ := KeyOf(c.GetResource())
	e := s.Get(k)
	switch {
	case e == nil && c.GetReplaces() != 0:
		r.addMissing(s, k, c.GetReplaces())
	case e == nil && c.GetDelete():
		r.addf("%s does not exist and cannot be deleted", k)
	case e != nil && e.Revision != c.GetReplaces():
		r.addf("%s is at revision %d by %s, the change replaces revision %d", k, e.Revision, named(e.Author), c.GetReplaces())
	}
}

func (r *reasons) addMissing(s *State, k Key, replaces uint64) {
	if d, ok := s.recent.deletion(k); ok {
		r.addf("%s was deleted at revision %d by %s, the change replaces revision %d", k, d.Offset, named(d.Author), replaces)
		return
	}
	r.addf("%s does not exist, the change replaces revision %d", k, replaces)
}

func named(author string) string {
	if author == "" {
		return "an unnamed author"
	}
	return author
}

// checkReferences rejects a bundle that would leave a route without its
// service or two routes with one prefix. The state fulfils both, so only what
// the bundle touches is looked at.
func (r *reasons) checkReferences(s *State, b *configpb.Bundle) {
	after := changesOf(b)
	byPrefix := make(map[string]string)
	for _, k := range slices.SortedFunc(maps.Keys(after), compareKeys) {
		switch {
		case k.Kind == KindService && after[k] == nil:
			r.checkUnused(s, after, k)
		case k.Kind == KindRoute && after[k] != nil:
			r.checkRoute(s, after, byPrefix, after[k].GetRoute())
		}
	}
}

// changesOf returns what a bundle leaves of each resource that it changes, nil
// for a deletion.
func changesOf(b *configpb.Bundle) map[Key]*configpb.Resource {
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

// checkUnused rejects the deletion of a service that routes outside the bundle
// still need.
func (r *reasons) checkUnused(s *State, after map[Key]*configpb.Resource, service Key) {
	if s.routes.users(service.Name) == 0 {
		return
	}
	for _, e := range s.Entries(KindRoute) {
		_, changed := after[e.Key]
		if !changed && e.Resource.GetRoute().GetService() == service.Name {
			r.addf("%s needs %s, which would not exist", e.Key, service)
		}
	}
}

// checkRoute rejects a route without its service or with another's prefix.
// byPrefix collects the prefixes of the bundle's own routes.
func (r *reasons) checkRoute(s *State, after map[Key]*configpb.Resource, byPrefix map[string]string, route *configpb.Route) {
	service := Key{KindService, route.GetService()}
	res, changed := after[service]
	if changed && res == nil || !changed && s.Get(service) == nil {
		r.addf("route %s needs %s, which would not exist", route.GetName(), service)
	}
	prefix := route.GetPathPrefix()
	other, taken := byPrefix[prefix]
	if !taken {
		other, taken = s.routes.holder(prefix)
		_, changed = after[Key{KindRoute, other}]
		taken = taken && !changed
	}
	if taken {
		r.addf("route %s and route %s would have the same path_prefix", route.GetName(), other)
	}
	byPrefix[prefix] = route.GetName()
}

// checkSize rejects a bundle that would take the state beyond its bounds.
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

// entryOverheadBytes bounds what an entry takes beside its resource and author.
const entryOverheadBytes = 40

// entryBytes bounds the serialized size of an entry. It is part of the rule:
// all daemons must count alike.
func entryBytes(e *Entry) int {
	return proto.Size(e.Resource) + len(e.Author) + entryOverheadBytes
}

// routeIndex finds routes by prefix and counts them by service.
type routeIndex struct {
	byPrefix  cowMap[string, string]
	byService cowMap[string, int]
}

func (x *routeIndex) add(r *configpb.Route) {
	x.byPrefix.set(r.GetPathPrefix(), r.GetName())
	x.byService.set(r.GetService(), x.users(r.GetService())+1)
}

// remove takes a route out. Within one bundle its prefix may already have gone
// to another route, which then stays.
func (x *routeIndex) remove(r *configpb.Route) {
	if name, _ := x.holder(r.GetPathPrefix()); name == r.GetName() {
		x.byPrefix.delete(r.GetPathPrefix())
	}
	n := x.users(r.GetService()) - 1
	if n > 0 {
		x.byService.set(r.GetService(), n)
		return
	}
	x.byService.delete(r.GetService())
}

func (x *routeIndex) holder(prefix string) (name string, ok bool) { return x.byPrefix.get(prefix) }

func (x *routeIndex) users(service string) int {
	n, _ := x.byService.get(service)
	return n
}
