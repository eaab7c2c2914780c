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

// States come in any order, some twice, while backend servers come and go.
// Whatever the sequence, callers must never be sent to a service that had no
// backend server when its route got into force, nor see a version, route or
// contract go back, nor lose an answer because a route waits.
func TestBuildKeepsItsPromises(t *testing.T) {
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
				must.GreaterEq(t, newest[r.PathPrefix], r.Revision, must.Sprint("an older route came back under its prefix"))
				newest[r.PathPrefix] = r.Revision
			}
			path := rapid.SampledFrom([]string{"/", "/x", "/x/", "/x/y", "/x/yz", "/xx", "/y", "z"}).Draw(t, "path")
			must.Eq(t, slowTarget(next, path), target(next, path))
			prev = next
		}
	})
}

// checkRoutes compares what is in force with what the state wants.
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
		must.SliceNotContains(t, next.Routes(), r, must.Sprint("a route in force is called withheld"))
		if old, ok := prev.routeAt(r.PathPrefix); ok {
			got, _ := next.routeAt(r.PathPrefix)
			must.Eq(t, old, got, must.Sprint("a prefix lost its answer while its route waits"))
		}
	}
	for _, r := range next.Routes() {
		old, had := prev.routeAt(r.PathPrefix)
		had = had && old == r
		must.True(t, had || wanted[r.Name] == r, must.Sprint("a route that is not wanted got into force"))
		must.True(t, had || len(known.ForService(r.Service)) > 0, must.Sprint("a route got into force without a backend server"))
		must.True(t, wanted[r.Name] == r || waiting[r.Name] || waiting[r.PathPrefix], must.Sprint("a route stayed for nothing"))
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

// slowTarget looks through all prefixes.
func slowTarget(s *Snapshot, path string) string {
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
