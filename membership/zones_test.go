package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
)

// newZonedFleet returns n daemons in a number of zones whose tables are complete and still.
func newZonedFleet(t *testing.T, n, zones int) *fleet {
	f := newFleetIn(t, n, zones).joined()
	f.runFor(2*time.Second, nil)
	return f
}

// idleAcross returns the bytes that go between zones in a time in which nothing changes.
func idleAcross(t *testing.T, n, zones int, d time.Duration) int {
	f := newZonedFleet(t, n, zones)
	before := f.crossBytes
	f.runFor(d, nil)
	return f.crossBytes - before
}

// One backend server drains. Every daemon passes the news on many times, and where each
// drew whom to tell from the whole fleet, five copies in six paid for the way to another
// zone: 96 daemons sent 86 kB for a record of 100 bytes. Its source may tell a few daemons
// of each zone, and these their neighbours.
func TestNewsCrossesZonesInFewCopies(t *testing.T) {
	const n, zones = 96, 6
	idle := idleAcross(t, n, zones, 3*time.Second)
	f := newZonedFleet(t, n, zones)
	src, before := f.nodes[1], f.crossBytes
	src.SetLocalState([]Announcement{{Service: "sign-feed", Slots: 10}}, true)
	f.run(time.Second, func() bool { return f.agree(n) })
	f.runFor(2*time.Second, nil)
	most := (zones - 1) * 4 * 300
	must.LessEq(t, idle+most, f.crossBytes-before)
}

// All hosts lose power and start anew. Each life is news for every daemon, and what goes
// between zones must grow with the hosts, not with their square: it took 3.3 MB at 64
// hosts and 98 MB at 295.
func TestRestartOfAllCostsInProportion(t *testing.T) {
	across := func(n int) int {
		f := newFleetIn(t, n, benchZones)
		for i, nd := range f.nodes {
			nd.SetLocalState(serving(i), false)
		}
		f.joined()
		before := f.traffic()
		f.restart(0, func(int) bool { return true })
		f.run(6*time.Second, func() bool { return f.agree(n) })
		return f.crossBytes + f.crossSyncBytes - before.crossBytes - before.crossSyncBytes
	}
	small, large := across(48), across(144)
	must.LessEq(t, 3*small*3/2, large)
	must.LessEq(t, 144*8_000, large)
}

// The daemons that the source of news tells in one zone die at that moment, or their
// packets are lost. Nobody repeats the news there, and callers of that zone would go on
// calling a backend server that has gone; the digests of the next probes differ, and one
// daemon of the zone fetches what is missing for all.
func TestZoneThatMissesNewsFetchesIt(t *testing.T) {
	const n, zones = 48, 4
	f := newZonedFleet(t, n, zones)
	src := f.nodes[1]
	f.cut = func(from, to *node) bool { return from == src && to.index%zones == 2 }
	src.SetLocalState(nil, true)
	f.runFor(500*time.Millisecond, nil)
	must.False(t, f.nodes[2].View().Find(src.self.host).Draining)
	f.cut = nil
	f.run(5*time.Second, func() bool { return f.agree(n) && f.nodes[2].View().Find(src.self.host).Draining })
	must.LessEq(t, n/zones, f.syncs)
}

// Two zones cannot hear each other, one way or both, while all others hear both. A backend
// server drains in one. The other zone gets neither the copies nor a digest of it, but a
// third zone's packets tell that there is news of the first.
func TestZonesApartHearByAThird(t *testing.T) {
	for _, oneWay := range []bool{true, false} {
		const n, zones = 48, 4
		f := newZonedFleet(t, n, zones)
		apart := func(a, b *node) bool { return a.index%zones == 0 && b.index%zones == 1 }
		f.cut = func(from, to *node) bool { return apart(from, to) || !oneWay && apart(to, from) }
		src := f.nodes[4]
		src.SetLocalState(nil, true)
		f.run(20*time.Second, func() bool {
			for _, nd := range f.nodes {
				if !nd.View().Find(src.self.host).Draining {
					return false
				}
			}
			return true
		})
		for _, nd := range f.nodes {
			must.Eq(t, 0, nd.count(Dead), must.Sprintf("one way %v, daemon %d", oneWay, nd.index))
		}
	}
}

// A zone is cut off for a minute. On either side a backend server drains and a host leaves
// meanwhile. When the zone is back, nobody knows of the other side's news, and all must
// within seconds, without a table from everybody to everybody.
func TestZoneIsBackAfterAMinute(t *testing.T) {
	const n, zones = 72, 6
	f := newZonedFleet(t, n, zones)
	f.cut = func(from, to *node) bool { return (from.index%zones == 0) != (to.index%zones == 0) }
	f.runFor(5*time.Second, nil)
	for _, i := range []int{6, 7} {
		f.nodes[i].SetLocalState(nil, true)
		gone := f.nodes[i+zones]
		must.NoError(t, leave(f, gone))
		gone.down = true
	}
	f.runFor(time.Minute, nil)
	f.cut = nil
	f.run(15*time.Second, func() bool {
		return f.agree(n-2) && f.nodes[0].View().Find("host-0007").Draining && f.nodes[1].View().Find("host-0006").Draining
	})
	must.LessEq(t, n*zones, f.syncs)
}

// Half of the hosts of each zone die at once, those of one zone all but one. Much of what
// the source of news tells goes to the dead. The rest must find all of them out, and still
// hear each other's news.
func TestHalfOfEachZoneDies(t *testing.T) {
	const n, zones = 48, 4
	f := newZonedFleet(t, n, zones)
	for i, nd := range f.nodes {
		nd.down = i%zones == 3 && i > zones || i%zones != 3 && i/zones%2 == 0
	}
	f.runFor(time.Second, nil)
	src := f.nodes[3]
	src.SetLocalState(nil, true)
	f.run(10*time.Second, f.everyone(src, func(e *entry) bool { return e.info.draining }))
	for _, nd := range f.nodes {
		if nd.down {
			f.run(time.Minute, f.everyone(nd, func(e *entry) bool { return e.liveness >= Suspect }))
		}
	}
}

// Somebody sends datagrams with a new zone's name in each. A daemon that kept a note of
// every one would run out of memory; it keeps a few.
func TestFloodOfZoneNames(t *testing.T) {
	const n, zones = 24, 3
	f := newZonedFleet(t, n, zones)
	for i := range 1000 {
		f.nodes[0].handlePacket(packetOf(t, &memberpb.Packet{
			Version: packetVersion, Host: "stranger", Boot: 9, ZoneDigest: 1, DigestZone: fmt.Sprint("nowhere-", i),
		}), f.nodes[1].addr)
	}
	must.LessEq(t, maxRepairs, len(f.nodes[0].repairs))
	long := packetOf(t, &memberpb.Packet{Version: packetVersion, Host: "stranger", Boot: 9, ZoneDigest: 1, DigestZone: strings.Repeat("z", maxNameBytes+1)})
	f.nodes[0].handlePacket(long, f.nodes[1].addr)
	must.Eq(t, 1, f.rejected[RejectInvalid])
}

func packetOf(t *testing.T, p *memberpb.Packet) []byte {
	b, err := proto.Marshal(p)
	must.NoError(t, err)
	return b
}

// Each host is alone in its zone. There is no neighbour to pass anything on, so the source
// must reach all others itself, and its goodbye must not wait for gossip.
func TestHostsAloneInTheirZones(t *testing.T) {
	const n = 8
	f := newZonedFleet(t, n, n)
	f.nodes[2].SetLocalState(nil, true)
	f.run(time.Second, f.everyone(f.nodes[2], func(e *entry) bool { return e.info.draining }))
	gone := f.nodes[2]
	start := f.now
	must.NoError(t, leave(f, gone))
	must.LessEq(t, time.Second, f.now.Sub(start))
	gone.down = true
	f.run(time.Second, f.everyone(gone, func(e *entry) bool { return e.liveness == Left }))
}

// A host joins by contacts of which only those in other zones answer. It must be a member
// all the same, and learn of its own zone.
func TestJoinWithoutNeighbours(t *testing.T) {
	const n, zones = 12, 3
	f := newZonedFleet(t, n, zones)
	f.nodes[0].down, f.nodes[3].down = true, true
	nd := f.start(n, n, 999)
	must.Positive(t, nd.join(0, 3, 1, 2))
	must.Eq(t, n+1, nd.table.usable)
}
