package main

import (
	"net/http"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/configpb"
)

// The services: those of the association, and one that appears only later.
const (
	serviceFeed  = "sign-feed"
	serviceOps   = "site-ops"
	serviceAnnex = "annex"
)

// Paths of the calls.
const (
	pathSigns    = "/signs/"
	pathHolds    = "/holds/"
	pathHeldKeys = "/holds/held/"
	pathOwnKeys  = "/holds/own/"
	pathMoved    = "/moved/"
	pathGates    = "/gates/"
	pathUploads  = "/uploads/"
	pathCalib    = "/calibration/"
)

// Customers of the steady load, one for each kind of caller, so that several
// daemons own a quota in use.
const (
	customerSigns   = "harbor-garage"
	customerHolds   = "union-station-garage"
	customerGates   = "elm-street-garage"
	customerUploads = "river-garage"
	customerOwnKeys = "mill-garage"
)

var customers = []string{customerSigns, customerHolds, customerGates, customerUploads, customerOwnKeys}

// Resources that only the trial's own publishes change.
const (
	contractPairA = "pair-a"
	contractPairB = "pair-b"
	contractRaced = "raced"
	routeMoved    = "moved"
)

// Waits that contracts allow, in milliseconds, and the rate, which must not
// bind. Gate corrections may wait for longer than it takes to find that a daemon
// is dead, holds may not: the two end differently.
const (
	waitLookups = 1000
	waitHolds   = 2000
	waitGates   = 8000
	waitLong    = 10_000
	plentyRate  = 5000
)

func contractOf(customer string) *configpb.Contract {
	return &configpb.Contract{
		Customer: customer, RatePerSecond: plentyRate, Burst: plentyRate, MaxWaitMs: waitLookups,
		Rules: []*configpb.CallRule{
			{PathPrefix: pathHolds, NonIdempotent: true, MaxWaitMs: waitHolds},
			{PathPrefix: pathGates, NonIdempotent: true, MaxWaitMs: waitGates},
			{Method: http.MethodPut, PathPrefix: pathUploads, MaxWaitMs: waitLong},
			{PathPrefix: pathCalib, MaxWaitMs: waitLong},
		},
	}
}

func firstChanges() []*configpb.Change {
	changes := []*configpb.Change{
		setService(serviceFeed), setService(serviceOps),
		setRoute("signs", pathSigns, serviceFeed), setRoute("holds", pathHolds, serviceFeed),
		setRoute(routeMoved, pathMoved, serviceFeed), setRoute("gates", pathGates, serviceOps),
		setRoute("uploads", pathUploads, serviceOps), setRoute("calibration", pathCalib, serviceOps),
	}
	for _, c := range append([]string{contractPairA, contractPairB, contractRaced}, customers...) {
		changes = append(changes, setContract(contractOf(c)))
	}
	return changes
}

// routesWatched are the routes with the services that they may ever lead to.
func routesWatched() []checker.Route {
	return []checker.Route{
		{Prefix: pathSigns, Services: []string{serviceFeed}}, {Prefix: pathHolds, Services: []string{serviceFeed}},
		{Prefix: pathMoved, Services: []string{serviceFeed, serviceAnnex}},
		{Prefix: pathGates, Services: []string{serviceOps}}, {Prefix: pathUploads, Services: []string{serviceOps}},
		{Prefix: pathCalib, Services: []string{serviceOps}},
	}
}

func setService(name string) *configpb.Change {
	return set(&configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: name}}})
}

func setRoute(name, prefix, service string) *configpb.Change {
	return set(&configpb.Resource{Kind: &configpb.Resource_Route{
		Route: &configpb.Route{Name: name, PathPrefix: prefix, Service: service},
	}})
}

func setContract(c *configpb.Contract) *configpb.Change {
	return set(&configpb.Resource{Kind: &configpb.Resource_Contract{Contract: c}})
}

func set(r *configpb.Resource) *configpb.Change { return &configpb.Change{Resource: r} }

// nameOf names a resource as the records do.
func nameOf(r *configpb.Resource) string {
	switch k := r.GetKind().(type) {
	case *configpb.Resource_Service:
		return "service/" + k.Service.GetName()
	case *configpb.Resource_Route:
		return "route/" + k.Route.GetName()
	case *configpb.Resource_Contract:
		return "contract/" + k.Contract.GetCustomer()
	}
	return ""
}
