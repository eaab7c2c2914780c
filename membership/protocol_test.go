package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/memberpb"
)

// All daemons start at once with three contacts that know nobody. Each gets the
// part of the table that its contacts have by then; gossip and the comparison
// of digests bring the rest, so callers see the whole fleet within seconds.
func TestColdStart(t *testing.T) {
	const n = 128
	f := newFleet(t, n)
	for _, nd := range f.nodes {
		nd.join(0, 1, 2)
	}
	f.run(6*time.Second, func() bool { return f.agree(n) })
}

// Two daemons start at the same moment and have each other as their only
// contact. The one asked knows nobody and is no member itself yet; the one that
// asks must be known to it all the same, or the two would not meet until one
// looks for lost contacts half a minute later.
func TestTwoStartByEachOther(t *testing.T) {
	f := newFleet(t, 2)
	must.Eq(t, 1, f.nodes[0].join(1))
	must.NotNil(t, f.nodes[1].table.get(f.nodes[0].self.host))
	f.nodes[1].join(0)
	f.run(time.Second, func() bool { return f.agree(2) })
}

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

// A process whose packets are being lost suspects another, and stands still
// before that one can have heard of it. When it wakes 30 s later, the suspicion
// looks long overdue. It must not declare the other dead, which would empty
// routes for a moment everywhere, and callers must see it alive again itself.
func TestPausedProcess(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	p := f.nodes[7]
	f.cut = func(from, _ *node) bool { return from == p }
	f.run(20*time.Second, func() bool { return p.table.suspects > 0 })
	p.paused = true
	f.cut = nil
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
		f.runFor(2*time.Second, nil)
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

// A daemon hears nothing while a drain goes round. Nobody repeats the news, but
// the digests in the probes differ from then on, and it has it from an exchange.
func TestMissedNewsIsMadeUpFor(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	src, deaf := f.nodes[1], f.nodes[2]
	f.cut = func(_, to *node) bool { return to == deaf }
	src.SetLocal(nil, true)
	f.runFor(2*time.Second, nil)
	f.cut = nil
	must.False(t, deaf.View().Find(src.self.host).Draining)
	f.run(15*time.Second, func() bool { return deaf.View().Find(src.self.host).Draining && f.agree(n) })
}

// One daemon hears of a change before another, and their digests differ for a
// moment. That alone must not lead to an exchange of tables.
func TestNoExchangeWhileNewsSpreads(t *testing.T) {
	f := newJoinedFleet(t, 2)
	nd, other := f.nodes[0], f.nodes[1]
	other.SetLocal(nil, true)
	nd.compareDigest(other.table.digests.sum(), other.addr, f.now)
	must.True(t, nd.sync.want.IsValid())
	f.now = f.now.Add(tickInterval)
	nd.apply(&record{host: other.self.host, state: other.self.state, info: other.self.info}, fromGossip, f.now)
	nd.reconcileSync(f.now.Add(syncQuiet))
	must.Eq(t, 0, len(nd.syncWanted))
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
		nd.claim(nd.table.get(g.self.host), Suspect, f.now)
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
	hold := f.nodes[0].opts.HoldTimeout
	f.runFor(hold+time.Minute, nil)
	for _, nd := range f.nodes {
		must.Eq(t, n/testRegions, nd.count(Dead))
	}
	f.cut = nil
	f.run(2*time.Minute, func() bool { return f.agree(n) })
}

// Two fleets that started apart know nothing of each other, and each daemon has
// joined its own. That they have contacts in the other makes them one.
func TestSeparateFleetsMerge(t *testing.T) {
	const n = 32
	f := newFleet(t, n)
	f.cut = func(from, to *node) bool { return from.index < n/2 != (to.index < n/2) }
	for _, nd := range f.nodes {
		nd.join(0, 1, n/2, n/2+1)
	}
	f.runFor(20*time.Second, nil)
	must.Eq(t, n/2, f.nodes[0].table.usable)
	f.cut = nil
	f.run(5*time.Minute, func() bool { return f.agree(n) })
}

// A third of the fleet restarts at once, each host as a new life, and all ask
// the same three contacts. The contacts must hand out no more full tables than
// their limit, the rest must be served by others, and the new lives must
// replace the old ones everywhere within seconds.
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

// A host is replaced twice while its first process is paused. The new lives
// must hold everywhere at once, though the first answers probes before it has
// joined, and inherit the offset that the old one had in force. The old process
// wakes, finds itself replaced and stops; were it to outbid the new one, the
// host would be lost.
func TestNewLifeReplacesOldOne(t *testing.T) {
	const n, host, elsewhere = 16, 4, 100
	t.Run("same address first", func(t *testing.T) { testNewLives(t, n, host, []int{host, elsewhere}) })
	t.Run("other address first", func(t *testing.T) { testNewLives(t, n, host, []int{elsewhere, elsewhere + 1}) })
}

func testNewLives(t *testing.T, n, host int, addrs []int) {
	f := newJoinedFleet(t, n)
	first := f.nodes[host]
	first.SetOffset(100)
	f.runFor(30*time.Second, nil)
	first.paused = true
	var last *node
	for life, addr := range addrs {
		last = f.start(host, addr, uint64(1000+life))
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

// A host restarts while all who could tell it of its earlier life are busy. It
// must not become a member before it has heard: it would start below the offset
// that it had in force, and take an incarnation that the earlier life had.
func TestNoMemberBeforeItsEarlierLifeIsKnown(t *testing.T) {
	const n = fullSyncMembers + 1
	f := newJoinedFleet(t, n)
	for _, nd := range f.nodes {
		nd.NoteOffset("host-0004", 5, 100)
		nd.sync.tokens, nd.sync.refilled = 0, f.now
	}
	again := f.start(4, 4, 1000)
	must.Zero(t, again.join(0, 1, 2))
	must.False(t, again.announced)
	f.run(5*time.Second, func() bool { return again.announced })
	must.Eq(t, 100, again.Floor("host-0004"))
	f.run(5*time.Second, func() bool { return f.agree(n) })
}

// Backend servers are about to leave while ten other changes a second go round.
// Every daemon must know within 800 ms, which leaves more than half of the 2 s
// for what the daemon does with it. The fleet is still again after that: no
// exchange, few bytes.
func TestDrainIsKnownEverywhere(t *testing.T) {
	const n = 256
	f := newJoinedFleet(t, n)
	steps := 0
	noise := func() {
		if steps++; steps%2 == 0 {
			nd := f.nodes[steps*37%n]
			claim := state{incarnation: nd.self.incarnation, boot: nd.self.boot, liveness: Suspect}
			nd.update(func(now time.Time) { nd.applySelf(&record{host: nd.self.host, state: claim}, now) })
		}
	}
	f.runFor(3*time.Second, noise)
	leaving := []Announcement{{Service: "site-ops", Slots: 10, Draining: true}}
	for _, src := range f.nodes[:8] {
		src.SetLocal(leaving, true)
		f.run(800*time.Millisecond, func() bool {
			noise()
			for _, nd := range f.nodes {
				if m := nd.View().Find(src.self.host); !m.Draining || !m.Announcements[0].Draining {
					return false
				}
			}
			return true
		})
		f.runFor(time.Second, noise)
	}
	f.runFor(4*time.Second, nil)
	bytes := f.bytes
	leaving[0].Age = time.Hour
	f.nodes[0].SetLocal(leaving, true)
	f.runFor(10*time.Second, nil)
	must.LessEq(t, 100, (f.bytes-bytes)/n/10)
	must.Zero(t, f.syncs)
}

// Somebody floods the daemons with datagrams that are cut short, too long, of
// another version or nonsense. Each is counted and dropped, nothing of it gets
// into a table, and news spreads as ever.
func TestFloodOfBadDatagrams(t *testing.T) {
	const n = 16
	f := newJoinedFleet(t, n)
	good, rng := goodPacket(t), rand.New(rand.NewPCG(1, 1))
	flood := func() {
		for _, nd := range f.nodes {
			for range 50 {
				b := slices.Clone(good[:rng.IntN(len(good)-1)+1])
				b[rng.IntN(len(b))] ^= 0xff
				nd.handlePacket(b, f.nodes[0].addr)
			}
			nd.handlePacket(make([]byte, MaxPacketBytes+1), f.nodes[0].addr)
			nd.handlePacket(nil, f.nodes[0].addr)
		}
	}
	f.runFor(2*time.Second, flood)
	f.nodes[3].SetLocal(nil, true)
	f.run(2*time.Second, func() bool { flood(); return f.agree(n) && f.nodes[n-1].View().Members[3].Draining })
	for _, reason := range []RejectReason{RejectLarge, RejectMalformed, RejectVersion, RejectInvalid} {
		must.Positive(t, f.rejected[reason])
	}
}

// Dead members are forgotten after a day, by each daemon at its own time. What
// one has forgotten must not come back from another's table.
func TestTombstonesExpire(t *testing.T) {
	f := newJoinedFleet(t, 4)
	gone := f.nodes[3]
	must.NoError(t, leave(f, gone))
	gone.down = true
	must.Eq(t, Left, f.nodes[0].View().Find(gone.self.host).Liveness)
	f.now = f.now.Add(f.nodes[0].opts.TombstoneRetention + time.Minute)
	f.nodes[0].tick()
	must.Nil(t, f.nodes[0].table.get(gone.self.host))
	f.nodes[0].learn(f.nodes[1].HandleSync(context.Background(), &memberpb.Table{
		Host: "x", Boot: 9, Digests: slices.Repeat([]uint64{1}, bucketCount),
	}))
	must.Nil(t, f.nodes[0].table.get(gone.self.host))
}

func leave(f *fleet, nd *node) error {
	nd.sleep = func(context.Context, time.Duration) error { f.step(); return nil }
	return nd.Leave(context.Background())
}
