package snapshot

import (
	"fmt"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

func service(name string) *configpb.Resource {
	return &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: name}}}
}

func route(name, prefix, service string) *configpb.Resource {
	r := &configpb.Route{Name: name, PathPrefix: prefix, Service: service}
	return &configpb.Resource{Kind: &configpb.Resource_Route{Route: r}}
}

func contract(customer string, rate float64) *configpb.Resource {
	c := &configpb.Contract{Customer: customer, RatePerSecond: rate, MaxWaitMs: 1000}
	return &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}}
}

// publish folds a bundle that sets resources on top of their current revisions.
func publish(s *fold.State, resources ...*configpb.Resource) *fold.State {
	return change(s, resources, nil)
}

// change folds a bundle that sets and deletes resources. It panics if the fold rejects the
// bundle.
func change(s *fold.State, set, del []*configpb.Resource) *fold.State {
	next, v := tryChange(s, set, del)
	if !v.Accepted {
		panic(fmt.Sprint(v.Reasons))
	}
	return next
}

func tryChange(s *fold.State, set, del []*configpb.Resource) (*fold.State, fold.Verdict) {
	b := &configpb.Bundle{PublishId: fmt.Sprint("publish-", s.Offset+1)}
	for i, r := range append(append([]*configpb.Resource{}, set...), del...) {
		c := &configpb.Change{Resource: r, Delete: i >= len(set)}
		k, _ := fold.KeyOf(r)
		if e := s.Get(k); e != nil {
			c.Replaces = e.Revision
		}
		b.Changes = append(b.Changes, c)
	}
	data, err := fold.EncodeRecord(b)
	if err != nil {
		panic(err)
	}
	next, v, err := fold.Apply(s, s.Offset+1, data)
	if err != nil {
		panic(err)
	}
	return next, v
}

// backends returns a set with one server for each service.
func backends(services ...string) *backend.Set {
	var servers []*backend.Server
	for _, s := range services {
		servers = append(servers, &backend.Server{ID: backend.ID{Host: "h", Service: s}})
	}
	return backend.NewSet(servers)
}

// services returns a service resource for each name.
func services(names ...string) []*configpb.Resource {
	var list []*configpb.Resource
	for _, n := range names {
		list = append(list, service(n))
	}
	return list
}

// target returns the service that a path is routed to, "none" if there is no route and "wait" if
// calls are refused until a backend server is known.
func target(s *Snapshot, path string) string {
	r, ok := s.Route(path)
	switch {
	case ok:
		return r.Service
	case s.Withholds(path):
		return "wait"
	}
	return "none"
}
