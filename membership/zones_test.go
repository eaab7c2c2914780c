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

// newZonedFleet returns n daemons in a number of zones with complete tables and no queued
// updates.
func newZonedFleet(t *testing.T, n, zones int) *fleet {
	f := newFleetIn(t, n, zones).joined()
	f.runFor(2*time.Second, nil)
	return f
}

// idleCrossBytes returns the bytes that go between zones in a time without changes.
func idleCrossBytes(t *testing.T, n, zones int, d time.Duration) int {
	f := newZonedFleet(t, n, zones)
	before := f.crossBytes
	f.runFor(d, nil)
	return f.crossBytes - before
}

// One backend server drains. Every daemon sends the update many times; with targets drawn from
// the whole fleet, five of six copies would go to another zone: 96 daemons would send 86 kB for
// a record of 100 bytes. The origin may send it to a few daemons of each zone, and these to
// their neighbors.
func TestUpdateCrossesZonesInFewCopies(t *testing.T) {
	const n, zones = 96, 6
	idle := idleCrossBytes(t, n, zones, 3*time.Second)
	f := newZonedFleet(t, n, zones)
	src, before := f.nodes[1], f.crossBytes
	src.SetLocalState([]Announcement{{Service: "sign-feed", Slots: 10}}, true)
	f.run(time.Second, func() bool { return f.agree(n) })
	f.runFor(2*time.Second, nil)
	most := (zones - 1) * 4 * 300
	must.LessEq(t, idle+most, f.crossBytes-before)
}

// All hosts restart after a power loss. Each new process is an update for every daemon, and the
// traffic between zones must grow with the number of hosts, not with its square: gossip across the
// whole fleet caused 3.3 MB at 64 hosts and 98 MB at 295.
func TestFullRestartTrafficGrowsLinearly(t *testing.T) {
	crossTraffic := func(n int) int {
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
	small, large := crossTraffic(48), crossTraffic(144)
	must.LessEq(t, 3*small*3/2, large)
	must.LessEq(t, 144*8_000, large)
}

// The daemons of one zone to which the origin sends an update die at that moment, or the packets
// are lost. No daemon repeats the update there, and callers of that zone would continue to call a
// backend server that is gone. The digests of the next probes differ, and one daemon of the zone
// must fetch what is missing for all.
func TestZoneFetchesMissedUpdate(t *testing.T) {
	const n, zones = 48, 4
	f := newZonedFleet(t, n, zones)
	src := f.nodes[1]
	f.partitioned = func(from, to *node) bool { return from == src && to.index%zones == 2 }
	src.SetLocalState(nil, true)
	f.runFor(500*time.Millisecond, nil)
	must.False(t, f.nodes[2].View().Find(src.self.host).Draining)
	f.partitioned = nil
	f.run(5*time.Second, func() bool { return f.agree(n) && f.nodes[2].View().Find(src.self.host).Draining })
	must.LessEq(t, n/zones, f.syncs)
}

// Two zones cannot reach each other, in one or both directions, while all other zones reach
// both. A backend server drains in one. The other zone receives neither the update nor a digest
// from there, but must detect the update by the packets of a third zone.
func TestPartitionedZonesConvergeThroughThirdZone(t *testing.T) {
	for _, oneWay := range []bool{true, false} {
		const n, zones = 48, 4
		f := newZonedFleet(t, n, zones)
		unreachable := func(a, b *node) bool { return a.index%zones == 0 && b.index%zones == 1 }
		f.partitioned = func(from, to *node) bool { return unreachable(from, to) || !oneWay && unreachable(to, from) }
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

// A zone is partitioned for a minute. Meanwhile a backend server drains and a host leaves on
// either side. When the partition ends, all daemons must receive the updates of the other side
// within seconds, without a table exchange between every two daemons.
func TestZonePartitionHeals(t *testing.T) {
	const n, zones = 72, 6
	f := newZonedFleet(t, n, zones)
	f.partitioned = func(from, to *node) bool { return (from.index%zones == 0) != (to.index%zones == 0) }
	f.runFor(5*time.Second, nil)
	for _, i := range []int{6, 7} {
		f.nodes[i].SetLocalState(nil, true)
		gone := f.nodes[i+zones]
		must.NoError(t, leave(f, gone))
		gone.down = true
	}
	f.runFor(time.Minute, nil)
	f.partitioned = nil
	f.run(15*time.Second, func() bool {
		return f.agree(n-2) && f.nodes[0].View().Find("host-0007").Draining && f.nodes[1].View().Find("host-0006").Draining
	})
	must.LessEq(t, n*zones, f.syncs)
}

// Half of the hosts of each zone die at once, in one zone all but one. Many of the copies that
// the origin of an update sends go to dead members. The others must detect all of them, and
// still receive each other's updates.
func TestHalfOfEachZoneDies(t *testing.T) {
	const n, zones = 48, 4
	f := newZonedFleet(t, n, zones)
	for i, nd := range f.nodes {
		nd.down = i%zones == 3 && i > zones || i%zones != 3 && i/zones%2 == 0
	}
	f.runFor(time.Second, nil)
	src := f.nodes[3]
	src.SetLocalState(nil, true)
	f.run(10*time.Second, f.allOthers(src, func(e *entry) bool { return e.info.draining }))
	for _, nd := range f.nodes {
		if nd.down {
			f.run(time.Minute, f.allOthers(nd, func(e *entry) bool { return e.liveness >= Suspect }))
		}
	}
}

// Datagrams arrive with a different zone name in each. A daemon that kept state for every name
// would run out of memory; it must keep a bounded number.
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

// Each host is alone in its zone. There are no neighbors to gossip to, so the origin must reach
// all others itself, and Leave must not wait for gossip.
func TestSingleHostZones(t *testing.T) {
	const n = 8
	f := newZonedFleet(t, n, n)
	f.nodes[2].SetLocalState(nil, true)
	f.run(time.Second, f.allOthers(f.nodes[2], func(e *entry) bool { return e.info.draining }))
	gone := f.nodes[2]
	start := f.now
	must.NoError(t, leave(f, gone))
	must.LessEq(t, time.Second, f.now.Sub(start))
	gone.down = true
	f.run(time.Second, f.allOthers(gone, func(e *entry) bool { return e.liveness == Left }))
}

// A host joins through contacts of which only those in other zones answer. It must still become
// a member, and receive the entries of its own zone.
func TestJoinWithoutNeighbors(t *testing.T) {
	const n, zones = 12, 3
	f := newZonedFleet(t, n, zones)
	f.nodes[0].down, f.nodes[3].down = true, true
	nd := f.start(n, n, 999)
	must.Positive(t, nd.join(0, 3, 1, 2))
	must.Eq(t, n+1, nd.table.usable)
}
