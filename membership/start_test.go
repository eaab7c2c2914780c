package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// All daemons start at once with three contacts whose tables are empty. Each gets the entries
// that its contacts have by then; gossip and the comparison of digests must deliver the rest, so
// that callers see the whole fleet within seconds.
func TestColdStart(t *testing.T) {
	const n = 128
	f := newFleet(t, n)
	for _, nd := range f.nodes {
		nd.join(0, 1, 2)
	}
	f.run(6*time.Second, func() bool { return f.agree(n) })
}

// Two daemons start at the same moment with each other as their only contact. The daemon asked
// has an empty table and is no member itself yet. It must still store the entry of the other
// one, or the two would not connect until one of them retries missing contacts half a minute
// later.
func TestTwoDaemonsJoinThroughEachOther(t *testing.T) {
	f := newFleet(t, 2)
	must.Eq(t, 1, f.nodes[0].join(1))
	must.NotNil(t, f.nodes[1].table.get(f.nodes[0].self.host))
	f.nodes[1].join(0)
	f.run(time.Second, func() bool { return f.agree(2) })
}

// Two fleets started separately, and each daemon has joined its own one. The contacts that each
// has in the other fleet must merge them.
func TestSeparateFleetsMerge(t *testing.T) {
	const n = 32
	f := newFleet(t, n)
	f.partitioned = func(from, to *node) bool { return from.index < n/2 != (to.index < n/2) }
	for _, nd := range f.nodes {
		nd.join(0, 1, n/2, n/2+1)
	}
	f.runFor(20*time.Second, nil)
	must.Eq(t, n/2, f.nodes[0].table.usable)
	f.partitioned = nil
	f.run(5*time.Minute, func() bool { return f.agree(n) })
}

// A third of the fleet restarts at once, each host with a new process, and all ask the same
// three contacts. The contacts must not send more full answers than their limit, other members
// must serve the rest, and the new processes must replace the old ones everywhere within
// seconds.
func TestThirdRestartsAtOnce(t *testing.T) {
	const n = 192
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	for i := 2; i < n; i += 3 {
		f.start(i, i, uint64(10_000+i))
	}
	for i := 2; i < n; i += 3 {
		must.Positive(t, f.nodes[i].join(0, 1, 3))
	}
	limit := f.nodes[0].opts.FullSyncsPerSecond
	for _, contact := range []int{0, 1, 3} {
		must.LessEq(t, limit, f.nodes[contact].fullAnswers)
	}
	f.run(10*time.Second, func() bool { return f.agree(n) })
	for i, e := range f.nodes[0].table.order {
		must.Eq(t, i%3 == 2, e.boot >= 10_000)
	}
}

// A host restarts while all daemons that could send it the state of its previous process are
// busy. It must not become a member before it has that state: it would start below the offset
// that it had in force, and reuse an incarnation of the previous process.
func TestNoMemberBeforePreviousProcessIsKnown(t *testing.T) {
	const n = fullSyncMembers + 1
	f := newJoinedFleet(t, n)
	for _, nd := range f.nodes {
		nd.ObserveOffset("host-0004", 5, 100)
		nd.sync.tokens, nd.sync.refilled = 0, f.now
	}
	restarted := f.start(4, 4, 1000)
	must.Zero(t, restarted.join(0, 1, 2))
	must.False(t, restarted.announced)
	f.run(5*time.Second, func() bool { return restarted.announced })
	must.Eq(t, 100, restarted.Floor("host-0004"))
	f.run(5*time.Second, func() bool { return f.agree(n) })
}

// A host's process is replaced twice while the first process is paused. The new processes must
// be accepted everywhere at once, although the first of them answers probes before it has
// joined, and must inherit the offset that the old process had in force. The old process
// resumes, and must detect that it was replaced and stop; if it raised its incarnation above
// that of the new one, the host would be lost.
func TestNewProcessReplacesOldOne(t *testing.T) {
	const n, host, elsewhere = 16, 4, 100
	t.Run("same address first", func(t *testing.T) { testReplacedProcess(t, n, host, []int{host, elsewhere}) })
	t.Run("other address first", func(t *testing.T) { testReplacedProcess(t, n, host, []int{elsewhere, elsewhere + 1}) })
}

func testReplacedProcess(t *testing.T, n, host int, addrs []int) {
	f := newJoinedFleet(t, n)
	first := f.nodes[host]
	first.SetOffset(100)
	f.runFor(30*time.Second, nil)
	first.paused = true
	var last *node
	for restart, addr := range addrs {
		last = f.start(host, addr, uint64(1000+restart))
		f.runFor(15*time.Second, nil)
		last.join(1)
		must.Eq(t, 100, last.Floor(last.self.host))
		f.run(2*time.Second, func() bool { return f.agree(n) })
	}
	f.byAddr[first.addr] = first
	f.nodes = append(f.nodes, first)
	first.paused, first.down = false, false
	f.run(10*time.Second, func() bool { return first.err != nil })
	must.ErrorIs(t, first.err, ErrSuperseded)
	f.runFor(5*time.Second, func() { must.NoError(t, last.err) })
	for _, nd := range f.nodes[:n] {
		m := nd.View().Find(last.self.host)
		must.Eq(t, last.self.boot, m.Boot)
		must.Eq(t, Alive, m.Liveness)
		must.Eq(t, 100, nd.Floor(m.Host))
	}
}
