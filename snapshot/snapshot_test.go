package snapshot

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

// An operator moves /a from service one to service two, which has no backend server yet. Calls
// must be routed to service one, even if its servers disappear, until the first server of two is
// known. A draining server of two does not count: it would refuse the calls taken from service
// one.
func TestMovedRouteKeepsTargetUntilNewServiceHasServer(t *testing.T) {
	st := publish(fold.Empty(), append(services("one", "two"), route("r", "/a", "one"))...)
	s := Build(nil, st, backends("one"))
	must.Eq(t, "one", target(s, "/a"))
	st = publish(st, route("r", "/a", "two"))
	s = Build(s, st, backends("one"))
	must.Eq(t, "one", target(s, "/a"))
	must.Eq(t, []WithheldRoute{{"r", 2, "two"}}, s.Withheld)
	must.Eq(t, uint64(2), s.Offset)
	s = Build(s, st, backends())
	must.Eq(t, "one", target(s, "/a"))
	leaving := &backend.Server{ID: backend.ID{Service: "two"}, Draining: true}
	s = Build(s, st, backend.NewSet([]*backend.Server{leaving}))
	must.Eq(t, "one", target(s, "/a"))
	s = Build(s, st, backends("one", "two"))
	must.Eq(t, "two", target(s, "/a"))
	must.SliceEmpty(t, s.Withheld)
	s = Build(s, st, backends("one"))
	must.Eq(t, "two", target(s, "/a"), must.Sprint("a revision in force must not be reverted"))
}

// One bundle gives a prefix to another route while the service of the new route has no backend
// server. The prefix must have a route throughout: its old route is gone from the state and the
// new one is withheld, but calls must not be lost in between.
func TestReassignedPrefixIsAlwaysRouted(t *testing.T) {
	first := publish(fold.Empty(), append(services("one", "two", "three"), route("p", "/p", "one"), route("q", "/q", "two"))...)
	for name, tc := range map[string]struct {
		set, del    []*configpb.Resource
		path        string
		before, now string
	}{
		"deleted, another claims it": {[]*configpb.Resource{route("n", "/p", "three")}, []*configpb.Resource{route("p", "", "")}, "/p", "one", "three"},
		"moved, another claims it":   {[]*configpb.Resource{route("p", "/m", "one"), route("n", "/p", "three")}, nil, "/p", "one", "three"},
		"swapped, one can be served": {[]*configpb.Resource{route("p", "/q", "one"), route("q", "/p", "three")}, nil, "/p", "one", "three"},
		"swapped, the other side":    {[]*configpb.Resource{route("p", "/q", "one"), route("q", "/p", "three")}, nil, "/q", "one", "one"},
		"moved away, none claims it": {[]*configpb.Resource{route("p", "/m", "three")}, nil, "/p", "one", "none"},
		"moved, the new prefix":      {[]*configpb.Resource{route("p", "/m", "three")}, nil, "/m", "none", "three"},
		"deleted, none claims it":    {nil, []*configpb.Resource{route("p", "", "")}, "/p", "none", "none"},
	} {
		t.Run(name, func(t *testing.T) {
			s := Build(nil, first, backends("one", "two"))
			st := change(first, tc.set, tc.del)
			s = Build(s, st, backends("one", "two"))
			must.Eq(t, tc.before, target(s, tc.path))
			s = Build(s, st, backends("one", "two", "three"))
			must.Eq(t, tc.now, target(s, tc.path))
		})
	}
}

// A restarted daemon knows the backend servers of service one but not yet those of two. The calls
// under /a/b belong to two; sending them to one, which has the shorter prefix, would deliver them
// to the wrong service. On a daemon that was running before /a/b was published, they still go to
// one.
func TestRestartedDaemonRefusesWithheldRoute(t *testing.T) {
	short := publish(fold.Empty(), append(services("one", "two"), route("a", "/a", "one"))...)
	both := publish(short, route("ab", "/a/b", "two"))

	running := Build(Build(nil, short, backends("one")), both, backends("one"))
	must.Eq(t, "one", target(running, "/a/b/c"))

	restarted := Build(nil, both, backends("one"))
	must.Eq(t, "wait", target(restarted, "/a/b/c"))
	must.Eq(t, "one", target(restarted, "/a/c"))
	later := publish(both, contract("c", 1))
	restarted = Build(restarted, later, backends("one"))
	must.Eq(t, "wait", target(restarted, "/a/b/c"), must.Sprint("a later version must not change what is known of the route"))
	restarted = Build(restarted, later, backends("one", "two"))
	must.Eq(t, "two", target(restarted, "/a/b/c"))
}

// An older state arrives last, from controllers that race or a peer that lags. Putting it in
// force would revert a contract in force. A different state at the same offset, from a log that
// assigned offsets twice, must be rejected as well.
func TestOlderOrForkedStateIsRejected(t *testing.T) {
	old := publish(fold.Empty(), contract("c", 1))
	now := publish(old, contract("c", 2))
	other := publish(old, contract("c", 3))
	s := Build(nil, now, nil)
	for _, st := range []*fold.State{fold.Empty(), old, other} {
		must.True(t, Build(s, st, backends("one")) == s)
	}
	must.Eq(t, 2.0, s.Contract("c").Rate)
	must.True(t, Build(s, now, backends("one")) != s, must.Sprint("the same state with new backend servers must be accepted"))
}

func TestContractTerms(t *testing.T) {
	c := contract("c", 2)
	c.GetContract().Rules = []*configpb.CallRule{
		{Method: "POST", PathPrefix: "/lookup"},
		{PathPrefix: "/holds", NonIdempotent: true, MaxWaitMs: 250},
	}
	s := Build(nil, publish(fold.Empty(), c), nil)
	must.Nil(t, s.Contract("d"))
	must.Eq(t, 2.0, s.Contract("c").Burst)
	for call, want := range map[[2]string]CallTerms{
		{"POST", "/lookup/1"}: {false, 1e9},
		{"GET", "/lookup/1"}:  {false, 1e9},
		{"GET", "/holds"}:     {true, 250e6},
		{"POST", "/other"}:    {true, 1e9},
		{"PATCH", "/other"}:   {true, 1e9},
		{"PUT", "/other"}:     {false, 1e9},
	} {
		must.Eq(t, want, s.Contract("c").Terms(call[0], call[1]), must.Sprint(call))
	}
}
