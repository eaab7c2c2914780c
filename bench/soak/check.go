package main

import (
	"fmt"
	"slices"
	"time"
)

// bounds are the platform's bounds on configuration.
type bounds struct {
	// Apply is the time from the acknowledgment of a version until it must be in force.
	Apply time.Duration
	// Contact is how long a host must have been undisturbed for Apply to hold there.
	Contact time.Duration
	// Revert is the time from the first response that shows a version until no request may be
	// handled by an older one.
	Revert time.Duration
}

// promises are the bounds that the platform states.
var promises = bounds{Apply: 2 * time.Second, Contact: 3 * time.Second, Revert: 250 * time.Millisecond}

// version is a configuration that the operator published.
type version struct {
	Number      uint64
	Sent, Acked time.Time
	// Routes maps each route to the services that may serve it.
	Routes map[string][]string
}

// allows reports whether a request to a route may end like this under the version.
func (v *version) allows(p *probe) bool {
	services, ok := v.Routes[p.Route]
	if p.Outcome == refusedNoRoute {
		return !ok
	}
	return slices.Contains(services, p.Service)
}

// outcome is how a probe ended.
type outcome uint8

const (
	// inconclusive is an outcome that no configuration explains, such as a failure.
	inconclusive outcome = iota
	// refusedNoRoute means that the daemon responded that there is no such route.
	refusedNoRoute
	servedBy
)

// probe is a request to a route through the daemon of a host.
type probe struct {
	ID, Host    string
	Incarnation int
	Route       string
	Sent, Ended time.Time
	Outcome     outcome
	// Service is the service that served the request, Server the ID of the server, empty if none
	// did.
	Service, Server string
	// Limited and Leaving are whether the response stated a limit and that the server leaves.
	Limited, Leaving bool
}

// disruption is a time in which a host, or every host if Host is empty, was disturbed.
type disruption struct {
	Kind, Host string
	From, To   time.Time
	// Binding is set if the bounds hold on the host all the same.
	Binding bool
}

// records is what a run recorded.
type records struct {
	Start       time.Time
	Versions    []version
	Probes      []probe
	Disruptions []disruption
	// Notices are the changes of what servers state about themselves, Arrivals the requests that
	// reached servers.
	Notices  []serverNotice
	Arrivals []arrival
}

// violation is a probe that was handled as only an older version allows.
type violation struct {
	Probe probe
	// Base is the version that must have been in force, Reason says why.
	Base   *version
	Reason string
}

// String describes the violation.
func (v violation) String() string {
	how := "refused without a route"
	if v.Probe.Outcome == servedBy {
		how = "served by " + v.Probe.Service
	}
	return fmt.Sprintf("request %s for %s was %s; %s version %d, acknowledged %.3f s before", v.Probe.ID, v.Probe.Route, how,
		v.Reason, v.Base.Number, v.Probe.Sent.Sub(v.Base.Acked).Seconds())
}

// check returns the probes that break a bound.
func check(r records, b bounds) []violation {
	var found []violation
	seen := map[string]*evidence{}
	slices.SortFunc(r.Probes, func(p, q probe) int { return p.Sent.Compare(q.Sent) })
	for i := range r.Probes {
		p := &r.Probes[i]
		if p.Outcome == inconclusive {
			continue
		}
		key := fmt.Sprint(p.Host, p.Incarnation)
		if seen[key] == nil {
			seen[key] = &evidence{}
		}
		if v, ok := r.checkProbe(p, seen[key], b); !ok {
			found = append(found, v)
		}
		seen[key].add(r.oldest(p), p.Ended)
	}
	return found
}

// checkProbe checks one probe against the versions that must be in force.
func (r *records) checkProbe(p *probe, seen *evidence, b bounds) (violation, bool) {
	base, reason := seen.before(p.Sent.Add(-b.Revert)), "the daemon had shown"
	if r.inTouch(p, b) {
		if due := r.due(p.Sent.Add(-b.Apply)); due > base {
			base, reason = due, "in force must be"
		}
	}
	for i := base; i < len(r.Versions) && !r.Versions[i].Sent.After(p.Ended); i++ {
		if r.Versions[i].allows(p) {
			return violation{}, true
		}
	}
	return violation{Probe: *p, Base: &r.Versions[base], Reason: reason}, false
}

// inTouch reports whether nothing disturbed the host of a probe from b.Contact before it to its end.
func (r *records) inTouch(p *probe, b bounds) bool {
	from := p.Sent.Add(-b.Contact)
	return !slices.ContainsFunc(r.Disruptions, func(d disruption) bool {
		return !d.Binding && (d.Host == "" || d.Host == p.Host) && d.From.Before(p.Ended) && (d.To.IsZero() || d.To.After(from))
	})
}

// due returns the index of the latest version acknowledged by a time.
func (r *records) due(by time.Time) int {
	latest := 0
	for i, v := range r.Versions {
		if !v.Acked.IsZero() && !v.Acked.After(by) {
			latest = i
		}
	}
	return latest
}

// oldest returns the index of the oldest version that explains a probe, 0 if there is none.
func (r *records) oldest(p *probe) int {
	return max(0, slices.IndexFunc(r.Versions, func(v version) bool { return v.allows(p) }))
}

// evidence holds the versions that one run of a daemon has shown, with the time of the response.
type evidence struct {
	versions []int
	ends     []time.Time
}

func (e *evidence) add(version int, end time.Time) {
	if n := len(e.versions); n > 0 && e.versions[n-1] >= version {
		return
	}
	e.versions, e.ends = append(e.versions, version), append(e.ends, end)
}

// before returns the latest version shown before a time.
func (e *evidence) before(t time.Time) int {
	latest := 0
	for i, v := range e.versions {
		if e.ends[i].Before(t) {
			latest = max(latest, v)
		}
	}
	return latest
}
