package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A daemon dies. Another one probes it without an answer, asks three members to probe it, and
// suspects it; nobody refutes the suspicion, so it is declared dead everywhere. Within 2 s
// callers should choose its backend server last, within 10 s not at all.
func TestDeadMemberIsDetected(t *testing.T) {
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

// A process suspects a member and is paused before it has gossiped that. When it resumes 30 s
// later, the suspicion appears overdue. It must not declare the member dead, which would briefly
// empty routes everywhere, and the other daemons must soon hold the process itself as alive
// again.
func TestResumedProcessDeclaresNoMemberDead(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(20*time.Second, nil)
	p := f.nodes[7]
	p.declare(p.table.get("host-0008"), Suspect, fromProbe, f.now)
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

// All datagrams from a daemon are lost for a while, and its table exchanges fail. It receives a
// suspicion and refutes it, but the refutation is lost, and it is declared dead. When its
// datagrams arrive again, the others report it dead at an incarnation below its own. It must
// gossip its own state again, or it stays dead for them until a table exchange succeeds.
func TestLostRefutationIsResent(t *testing.T) {
	const n = 8
	f := newJoinedFleet(t, n)
	p := f.nodes[0]
	f.syncFails = func(a, b *node) bool { return a == p || b == p }
	f.partitioned = func(from, _ *node) bool { return from == p }
	f.run(time.Minute, func() bool { return f.nodes[1].count(Dead) == 1 })
	f.runFor(10*time.Second, nil)
	f.partitioned = nil
	f.run(10*time.Second, func() bool { return f.agree(n) })
}

// Packets to or from one daemon are lost, while those in the other direction arrive. The others
// declare it dead, since no probe of it succeeds. It must keep its own table and cause only few
// false suspicions that the others have to refute.
func TestOneWayPartition(t *testing.T) {
	for _, inbound := range []bool{true, false} {
		const n = 64
		f := newJoinedFleet(t, n)
		f.runFor(20*time.Second, nil)
		p := f.nodes[3]
		f.partitioned = func(from, to *node) bool { return (inbound && to == p) || (!inbound && from == p) }
		most := 0
		f.runFor(time.Minute, func() { most = max(most, f.nodes[0].count(Suspect)) })
		must.Eq(t, Dead, f.nodes[0].table.get(p.self.host).liveness)
		must.Eq(t, 0, p.count(Dead))
		must.Eq(t, 1, f.nodes[0].count(Dead))
		must.LessEq(t, 2, most)
		f.partitioned = nil
		f.run(2*time.Minute, func() bool { return f.agree(n) })
	}
}

// Two daemons cannot reach each other, while all others reach both. Indirect probes succeed, so
// neither may be suspected.
func TestBrokenPathCausesNoSuspicion(t *testing.T) {
	const n = 16
	f := newJoinedFleet(t, n)
	f.partitioned = func(from, to *node) bool { return from.index+to.index == 1 }
	f.runFor(time.Minute, func() { must.Eq(t, 0, f.nodes[0].count(Suspect)+f.nodes[1].count(Suspect)) })
}

// A probe gets no answer, but meanwhile the member's record has changed. The member is alive,
// and a suspicion would only cause a needless refutation.
func TestUpdateDuringProbePreventsSuspicion(t *testing.T) {
	f := newJoinedFleet(t, 2)
	nd, other := f.nodes[0], f.nodes[1]
	f.partitioned = func(*node, *node) bool { return true }
	f.run(5*time.Second, func() bool { return nd.prober.pending != nil })
	pending, s := nd.prober.pending, other.self.state
	s.incarnation++
	nd.apply(&record{host: other.self.host, state: s}, fromGossip, f.now)
	f.run(5*time.Second, func() bool { return nd.prober.pending != pending })
	must.Eq(t, 0, nd.count(Suspect))
}

// A host joins a fleet that has just begun a pass of probes, and dies. Its death must be
// detected as fast as any other, not only in the next pass.
func TestDeadNewMemberIsDetected(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	f.start(n, n, 999).join(0)
	f.run(2*time.Second, func() bool { return f.agree(n + 1) })
	f.nodes[n].down = true
	f.run(15*time.Second, func() bool { return f.agree(n) })
}

// A host disappears without leaving, and another host takes over its address. If the new host
// answered the probes for the old one, the old one would stay alive in the tables.
func TestAddressReusedByOtherHost(t *testing.T) {
	const n = 8
	f := newJoinedFleet(t, n)
	f.nodes[3].down = true
	f.start(n, 3, 999).join(0, 1)
	f.run(20*time.Second, func() bool { return f.agree(n) })
	must.Eq(t, Dead, f.nodes[0].View().Find("host-0003").Liveness)
	must.Eq(t, Alive, f.nodes[0].View().Find("host-0008").Liveness)
}

// One region, half of the fleet, is partitioned for a minute. Each side must keep the members of
// the other side as suspects, so that no route loses its last backend server, and both sides
// must converge soon after the partition.
func TestRegionPartition(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	f.partitioned = func(from, to *node) bool { return from.index%testRegions != to.index%testRegions }
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
	f.partitioned = nil
	f.run(15*time.Second, func() bool {
		noneDead()
		return f.agree(n)
	})
}

// Half of a region is suspect for a minute, and then all but one of these members refute. The
// last suspicion is long overdue when it is no longer deferred. That member must still have time
// to refute, since many do so at once after a real partition.
func TestDeferredSuspectHasTimeToRefute(t *testing.T) {
	f := newJoinedFleet(t, 16)
	nd, group := f.nodes[0], f.nodes[1:8]
	wait := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(reviewInterval) {
			nd.reconcileSuspects(f.now)
		}
	}
	for _, g := range group {
		nd.declare(nd.table.get(g.self.host), Suspect, fromProbe, f.now)
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

// A partition outlasts PartitionTimeout: each side declares the other one dead and continues
// alone. Afterwards no daemon probes dead members; only the attempts to reach one from time to
// time make both sides converge.
func TestLongPartitionHeals(t *testing.T) {
	const n = 16
	f := newJoinedFleet(t, n)
	f.partitioned = func(from, to *node) bool { return from.index%testRegions != to.index%testRegions }
	hold := f.nodes[0].opts.PartitionTimeout
	f.runFor(hold+time.Minute, nil)
	for _, nd := range f.nodes {
		must.Eq(t, n/testRegions, nd.count(Dead))
	}
	f.partitioned = nil
	f.run(2*time.Minute, func() bool { return f.agree(n) })
}
