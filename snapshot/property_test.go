package snapshot

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

var (
	names    = []string{"a", "b", "c"}
	prefixes = []string{"/", "/x", "/x/", "/x/y", "/y"}
)

// drawStates draws a log and returns the state at each offset.
func drawStates(t *rapid.T) []*fold.State {
	states := []*fold.State{change(fold.Empty(), services(names...), nil)}
	for range rapid.IntRange(1, 12).Draw(t, "records") {
		var set, del []*configpb.Resource
		for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID).Draw(t, "changed") {
			r := route(name, rapid.SampledFrom(prefixes).Draw(t, "prefix"), rapid.SampledFrom(names).Draw(t, "service"))
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				del = append(del, r)
			case 1:
				set = append(set, contract(name, 1))
			default:
				set = append(set, r)
			}
		}
		st, _ := tryChange(states[len(states)-1], set, del)
		states = append(states, st)
	}
	return states
}

// States arrive in any order, some of them repeatedly, while backend servers come and go. In
// every sequence, a route must be put in force only with a backend server, no version, route or
// contract may revert, and a prefix must keep its route while another route for it is withheld.
func TestBuildInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := drawStates(t)
		newest := map[string]uint64{}
		var prev *Snapshot
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			st := rapid.SampledFrom(states).Draw(t, "state")
			known := backends(rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "backends")...)
			next := Build(prev, st, known)
			if prev != nil && st.Offset < prev.Offset {
				must.True(t, next == prev)
				continue
			}
			must.Eq(t, st.Offset, next.Offset)
			checkRoutes(t, prev, next, known)
			checkContracts(t, prev, next)
			for _, r := range next.Routes() {
				must.GreaterEq(t, newest[r.PathPrefix], r.Revision, must.Sprint("an older route was put back in force under its prefix"))
				newest[r.PathPrefix] = r.Revision
			}
			path := rapid.SampledFrom([]string{"/", "/x", "/x/", "/x/y", "/x/yz", "/xx", "/y", "z"}).Draw(t, "path")
			must.Eq(t, referenceTarget(next, path), target(next, path))
			prev = next
		}
	})
}

// checkRoutes compares the routes in force with those of the state.
func checkRoutes(t *rapid.T, prev, next *Snapshot, known *backend.Set) {
	wanted := map[string]Route{}
	for _, e := range next.State.Entries(fold.KindRoute) {
		r := e.Resource.GetRoute()
		wanted[r.GetName()] = Route{r.GetName(), r.GetPathPrefix(), r.GetService(), e.Revision}
	}
	waiting := map[string]bool{}
	for _, w := range next.Withheld {
		r := wanted[w.Name]
		must.Eq(t, WithheldRoute{r.Name, r.Revision, r.Service}, w)
		must.SliceEmpty(t, known.ForService(w.Service))
		waiting[w.Name], waiting[r.PathPrefix] = true, true
		must.SliceNotContains(t, next.Routes(), r, must.Sprint("a route in force is listed as withheld"))
		if old, ok := prev.routeAt(r.PathPrefix); ok {
			got, _ := next.routeAt(r.PathPrefix)
			must.Eq(t, old, got, must.Sprint("a prefix lost its route while another route for it is withheld"))
		}
	}
	for _, r := range next.Routes() {
		old, had := prev.routeAt(r.PathPrefix)
		had = had && old == r
		must.True(t, had || wanted[r.Name] == r, must.Sprint("a route that is not in the state was put in force"))
		must.True(t, had || len(known.ForService(r.Service)) > 0, must.Sprint("a route was put in force without a backend server"))
		must.True(t, wanted[r.Name] == r || waiting[r.Name] || waiting[r.PathPrefix], must.Sprint("a replaced route stayed in force although no withheld route needs it"))
	}
	for name, r := range wanted {
		got, _ := next.routeAt(r.PathPrefix)
		must.True(t, got == r || waiting[name], must.Sprintf("%s is neither in force nor withheld", name))
	}
}

func checkContracts(t *rapid.T, prev, next *Snapshot) {
	entries := next.State.Entries(fold.KindContract)
	must.MapLen(t, len(entries), next.Contracts())
	for _, e := range entries {
		c := next.Contract(e.Key.Name)
		must.Eq(t, e.Revision, c.Revision)
		if old := prev.Contract(e.Key.Name); old != nil {
			must.LessEq(t, c.Revision, old.Revision)
		}
	}
}

// referenceTarget is a reference implementation of target that checks all prefixes.
func referenceTarget(s *Snapshot, path string) string {
	longest, answer := -1, "none"
	for _, n := range s.table {
		p := n.value.route.PathPrefix
		if !strings.HasPrefix(path, p) || len(p) <= longest {
			continue
		}
		longest, answer = len(p), n.value.route.Service
		if n.value.withheld {
			answer = "wait"
		}
	}
	return answer
}
