package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A daemon dies. One of the others probes it in vain, asks three more to try,
// and suspects it; nobody refutes, so it is dead everywhere. Within 2 s callers
// pick its backend server last, within 10 s not at all.
func TestDeathIsFound(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	victim := f.nodes[5]
	victim.down = true
	everyoneHas := func(l Liveness) func() bool {
		return func() bool {
			for _, nd := range f.nodes {
				if nd != victim && nd.table.get(victim.self.host).liveness < l {
					return false
				}
			}
			return true
		}
	}
	f.run(5*time.Second, everyoneHas(Suspect))
	f.run(6*time.Second, everyoneHas(Dead))
	for _, nd := range f.nodes {
		must.Eq(t, 1, nd.count(Dead)+count(nd == victim))
	}
}

// A process suspects another and stands still before it has told anybody. When
// it wakes 30 s later, the suspicion looks long overdue. It must not declare the
// other dead, which would empty routes for a moment everywhere, and callers must
// see it alive again itself.
func TestPausedProcess(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(20*time.Second, nil)
	p := f.nodes[7]
	p.claim(p.table.get("host-0008"), Suspect, fromProbe, f.now)
	p.queue = newQueue()
	p.paused = true
	f.runFor(30*time.Second, nil)
	must.Eq(t, Dead, f.nodes[0].table.get(p.self.host).liveness)
	p.paused = false
	f.run(10*time.Second, func() bool {
		for _, nd := range f.nodes {
			must.Eq(t, 0, nd.count(Dead)-count(!nd.table.get(p.self.host).usable()))
		}
		return f.agree(n)
	})
}

// What one daemon sends is lost for a while, and its sessions stay broken. It
// hears that it is suspect and refutes, but nobody hears that, and it is declared
// dead. When datagrams get through again the others tell it "dead" at an
// incarnation below its own; it must tell its own again, or it stays dead for
// them until a table exchange works.
func TestRefutationLostInACutIsSentAgain(t *testing.T) {
	const n = 8
	f := newJoinedFleet(t, n)
	p := f.nodes[0]
	f.noSync = func(a, b *node) bool { return a == p || b == p }
	f.cut = func(from, _ *node) bool { return from == p }
	f.run(time.Minute, func() bool { return f.nodes[1].count(Dead) == 1 })
	f.runFor(10*time.Second, nil)
	f.cut = nil
	f.run(10*time.Second, func() bool { return f.agree(n) })
}

// One daemon's packets get out but none get in, or the reverse. It hears no
// answers and the others get none from it: they declare it dead, while it must
// keep its table, and tell few lies that the others have to refute.
func TestOneWayCut(t *testing.T) {
	for _, inbound := range []bool{true, false} {
		const n = 64
		f := newJoinedFleet(t, n)
		f.runFor(20*time.Second, nil)
		p := f.nodes[3]
		f.cut = func(from, to *node) bool { return (inbound && to == p) || (!inbound && from == p) }
		most := 0
		f.runFor(time.Minute, func() { most = max(most, f.nodes[0].count(Suspect)) })
		must.Eq(t, Dead, f.nodes[0].table.get(p.self.host).liveness)
		must.Eq(t, 0, p.count(Dead))
		must.Eq(t, 1, f.nodes[0].count(Dead))
		must.LessEq(t, 2, most)
		f.cut = nil
		f.run(2*time.Minute, func() bool { return f.agree(n) })
	}
}

// Two daemons cannot reach each other, while all others reach both. The others
// probe in their place, and neither is suspected.
func TestBrokenPathIsNoDeath(t *testing.T) {
	const n = 16
	f := newJoinedFleet(t, n)
	f.cut = func(from, to *node) bool { return from.index+to.index == 1 }
	f.runFor(time.Minute, func() { must.Eq(t, 0, f.nodes[0].count(Suspect)+f.nodes[1].count(Suspect)) })
}

// A probe gets no answer, but meanwhile the member has told something new. It
// is alive, and to suspect it would make it refute for nothing.
func TestNewsDuringProbe(t *testing.T) {
	f := newJoinedFleet(t, 2)
	nd, other := f.nodes[0], f.nodes[1]
	f.cut = func(*node, *node) bool { return true }
	f.run(5*time.Second, func() bool { return nd.prober.pending != nil })
	underWay, s := nd.prober.pending, other.self.state
	s.incarnation++
	nd.apply(&record{host: other.self.host, state: s}, fromGossip, f.now)
	f.run(5*time.Second, func() bool { return nd.prober.pending != underWay })
	must.Eq(t, 0, nd.count(Suspect))
}

// A host joins a fleet that has just begun a pass of probes, and dies. It must
// be found as fast as any other, not in the next pass only.
func TestDeathOfNewcomerIsFound(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	f.start(n, n, 999).join(0)
	f.run(2*time.Second, func() bool { return f.agree(n + 1) })
	f.nodes[n].down = true
	f.run(15*time.Second, func() bool { return f.agree(n) })
}

// A host leaves without a word and another takes over its address. Were it to
// answer the probes meant for the one before, that would live on in the tables.
func TestAddressTakenOver(t *testing.T) {
	const n = 8
	f := newJoinedFleet(t, n)
	f.nodes[3].down = true
	f.start(n, 3, 999).join(0, 1)
	f.run(20*time.Second, func() bool { return f.agree(n) })
	must.Eq(t, Dead, f.nodes[0].View().Find("host-0003").Liveness)
	must.Eq(t, Alive, f.nodes[0].View().Find("host-0008").Liveness)
}

// Half of the fleet, one region, is cut off for a minute and comes back.
// Each side must keep the other's members as suspects, so that no route loses
// its last backend server, and both must be one fleet again soon after.
func TestRegionCut(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	f.cut = func(from, to *node) bool { return from.index%testRegions != to.index%testRegions }
	noneDead := func() {
		for _, nd := range f.nodes {
			must.Eq(t, 0, nd.count(Dead))
		}
	}
	f.runFor(time.Minute, noneDead)
	for _, nd := range f.nodes {
		must.Eq(t, n/testRegions, nd.count(Suspect))
		must.False(t, nd.health.degraded())
	}
	f.cut = nil
	f.run(15*time.Second, func() bool {
		noneDead()
		return f.agree(n)
	})
}

// Half of a region is suspect for a minute and then refutes, all but one. That
// one's suspicion is long overdue when the others no longer excuse it; it must
// have time to refute, as many do so at once after a real cut.
func TestHoldEndsGently(t *testing.T) {
	f := newJoinedFleet(t, 16)
	nd, group := f.nodes[0], f.nodes[1:8]
	wait := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(reviewInterval) {
			nd.reconcileSuspects(f.now)
		}
	}
	for _, g := range group {
		nd.claim(nd.table.get(g.self.host), Suspect, fromProbe, f.now)
	}
	wait(time.Minute)
	must.Eq(t, len(group), nd.count(Suspect))
	for _, g := range group[1:] {
		nd.apply(&record{host: g.self.host, state: state{incarnation: 2, boot: g.self.boot, liveness: Alive}}, fromGossip, f.now)
	}
	wait(3 * nd.opts.SuspicionTimeout)
	must.Eq(t, 1, nd.count(Suspect))
	wait(3 * nd.opts.SuspicionTimeout)
	must.Eq(t, 1, nd.count(Dead))
}

// A cut outlasts the hold: both sides declare the other dead and go on alone.
// After healing nobody probes the dead any more; the attempts to reach one now
// and then make one fleet again.
func TestLongCutHeals(t *testing.T) {
	const n = 16
	f := newJoinedFleet(t, n)
	f.cut = func(from, to *node) bool { return from.index%testRegions != to.index%testRegions }
	hold := f.nodes[0].opts.PartitionTimeout
	f.runFor(hold+time.Minute, nil)
	for _, nd := range f.nodes {
		must.Eq(t, n/testRegions, nd.count(Dead))
	}
	f.cut = nil
	f.run(2*time.Minute, func() bool { return f.agree(n) })
}
