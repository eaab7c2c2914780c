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

// A daemon receives no packets while a drain is gossiped. No daemon repeats the update, but the
// digests in the probes differ from then on, and an exchange must deliver it.
func TestMissedUpdateIsFetched(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	src, isolated := f.nodes[1], f.nodes[2]
	f.partitioned = func(_, to *node) bool { return to == isolated }
	src.SetLocalState(nil, true)
	f.runFor(2*time.Second, nil)
	f.partitioned = nil
	must.False(t, isolated.View().Find(src.self.host).Draining)
	f.run(15*time.Second, func() bool { return isolated.View().Find(src.self.host).Draining && f.agree(n) })
}

// One daemon receives a change before another, and their digests differ for a moment. That alone
// must not cause a table exchange.
func TestNoExchangeDuringGossip(t *testing.T) {
	f := newJoinedFleet(t, 2)
	nd, other := f.nodes[0], f.nodes[1]
	other.SetLocalState(nil, true)
	nd.compareDigest(other.table.digests.sum(), other.addr, f.now)
	must.True(t, nd.sync.target.IsValid())
	f.now = f.now.Add(tickInterval)
	nd.apply(&record{host: other.self.host, state: other.self.state, info: other.self.info}, fromGossip, f.now)
	nd.reconcileSync(f.now.Add(syncQuiet))
	must.Eq(t, 0, len(nd.syncWanted))
}

// Backend servers drain while ten other changes per second are gossiped. Every daemon must know
// within 800 ms, which leaves more than half of the 2 s in which daemons must have reacted.
// Afterwards the fleet must be quiet again: no exchange, few bytes.
func TestDrainReachesAllDaemons(t *testing.T) {
	const n = 256
	f := newJoinedFleet(t, n)
	steps := 0
	backgroundChanges := func() {
		if steps++; steps%2 == 0 {
			nd := f.nodes[steps*37%n]
			suspicion := state{incarnation: nd.self.incarnation, boot: nd.self.boot, liveness: Suspect}
			nd.update(func(now time.Time) { nd.applySelf(&record{host: nd.self.host, state: suspicion}, now) })
		}
	}
	f.runFor(3*time.Second, backgroundChanges)
	leaving := []Announcement{{Service: "site-ops", Slots: 10, Draining: true}}
	for _, src := range f.nodes[:8] {
		src.SetLocalState(leaving, true)
		f.run(800*time.Millisecond, func() bool {
			backgroundChanges()
			for _, nd := range f.nodes {
				if m := nd.View().Find(src.self.host); !m.Draining || !m.Announcements[0].Draining {
					return false
				}
			}
			return true
		})
		f.runFor(time.Second, backgroundChanges)
	}
	f.runFor(4*time.Second, nil)
	bytes := f.bytes
	leaving[0].Age = time.Hour
	f.nodes[0].SetLocalState(leaving, true)
	f.runFor(10*time.Second, nil)
	must.LessEq(t, 100, (f.bytes-bytes)/n/10)
	must.Zero(t, f.syncs)
}

// The daemons are flooded with datagrams that are truncated, too long, corrupt or of an unknown
// version. Each must be counted and dropped without a change to a table, and updates must spread
// as usual.
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
	f.nodes[3].SetLocalState(nil, true)
	f.run(2*time.Second, func() bool { flood(); return f.agree(n) && f.nodes[n-1].View().Members[3].Draining })
	for _, reason := range []RejectReason{RejectLarge, RejectMalformed, RejectVersion, RejectInvalid} {
		must.Positive(t, f.rejected[reason])
	}
}

// Each daemon expires the tombstones of dead members after a day, at its own time. An expired
// tombstone must not return from the table of another daemon.
func TestTombstonesExpire(t *testing.T) {
	f := newJoinedFleet(t, 4)
	gone := f.nodes[3]
	must.NoError(t, leave(f, gone))
	gone.down = true
	must.Eq(t, Left, f.nodes[0].View().Find(gone.self.host).Liveness)
	f.now = f.now.Add(f.nodes[0].opts.TombstoneRetention + time.Minute)
	f.nodes[0].tick()
	must.Nil(t, f.nodes[0].table.get(gone.self.host))
	f.nodes[0].applyAnswer(f.nodes[1].HandleSync(context.Background(), &memberpb.Table{
		Host: "x", Boot: 9, Digests: slices.Repeat([]uint64{1}, bucketCount),
	}), &exchangeTarget{})
	must.Nil(t, f.nodes[0].table.get(gone.self.host))
}

func leave(f *fleet, nd *node) error {
	nd.sleep = func(context.Context, time.Duration) error { f.step(); return nil }
	return nd.Leave(context.Background())
}
