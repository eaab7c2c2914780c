package membership

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
)

// bench runs f for each fleet size that the capacity documentation covers.
func bench(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range []int{64, 256, 910} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, n) })
	}
}

// report reports the packets and bytes per daemon sent since the given counts.
func (f *fleet) report(b *testing.B, packets, bytes int, per float64, unit string) {
	per *= float64(len(f.nodes))
	b.ReportMetric(float64(f.packets-packets)/per, "packets/"+unit)
	b.ReportMetric(float64(f.bytes-bytes)/per, "bytes/"+unit)
}

// BenchmarkIdle measures one second without changes.
func BenchmarkIdle(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		f := newJoinedFleet(b, n)
		f.runFor(2*time.Second, nil)
		packets, bytes := f.packets, f.bytes
		for b.Loop() {
			f.runFor(time.Second, nil)
		}
		f.report(b, packets, bytes, float64(b.N), "daemon-s")
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*n), "cpu-us/daemon-s")
		must.Zero(b, f.syncs)
	})
}

// BenchmarkSpread measures how long the drain of one backend server takes to reach all daemons,
// and the traffic up to three seconds after that.
func BenchmarkSpread(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		f := newJoinedFleet(b, n)
		f.runFor(2*time.Second, nil)
		var worst time.Duration
		packets, bytes := f.packets, f.bytes
		for i := 0; b.Loop(); i++ {
			src := f.nodes[i%n]
			src.SetLocalState([]Announcement{{Service: "sign-feed", Slots: 10, Draining: i%2 == 0}}, false)
			worst = max(worst, f.run(10*time.Second, f.allOthers(src, func(e *entry) bool {
				return e.incarnation == src.self.incarnation
			})))
			f.runFor(3*time.Second, nil)
		}
		f.report(b, packets, bytes, float64(b.N), "daemon")
		b.ReportMetric(worst.Seconds(), "worst-s")
		must.LessEq(b, 2*time.Second, worst)
		must.Zero(b, f.syncs)
	})
}

// allOthers returns a condition that holds once the entry of a daemon satisfies want at all
// other running daemons.
func (f *fleet) allOthers(of *node, want func(*entry) bool) func() bool {
	return func() bool {
		for _, nd := range f.nodes {
			if nd != of && !nd.down && !want(nd.table.get(of.self.host)) {
				return false
			}
		}
		return true
	}
}

// BenchmarkDeath measures how long a dead daemon stays undetected, with one death per iteration.
func BenchmarkDeath(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		f := newJoinedFleet(b, n)
		f.runFor(2*time.Second, nil)
		var suspect, dead, worst time.Duration
		for i := 0; b.Loop(); i++ {
			victim := f.nodes[i%n]
			victim.down = true
			s := f.run(time.Minute, f.allOthers(victim, func(e *entry) bool { return e.liveness >= Suspect }))
			d := s + f.run(time.Minute, f.allOthers(victim, func(e *entry) bool { return e.liveness == Dead }))
			suspect, dead, worst = suspect+s, dead+d, max(worst, d)
			f.start(i%n, i%n, uint64(1000+i)).join((i+1)%n, (i+2)%n)
			f.run(time.Minute, func() bool { return f.agree(n) })
		}
		b.ReportMetric(suspect.Seconds()/float64(b.N), "mean-suspect-s")
		b.ReportMetric(dead.Seconds()/float64(b.N), "mean-dead-s")
		b.ReportMetric(worst.Seconds(), "worst-dead-s")
	})
}

// BenchmarkRegionPartition measures the healing after a one-minute partition between two halves.
func BenchmarkRegionPartition(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		for b.Loop() {
			f := newJoinedFleet(b, n)
			f.runFor(2*time.Second, nil)
			f.partitioned = func(from, to *node) bool { return from.index%testRegions != to.index%testRegions }
			dead := 0
			countDead := func() {
				for _, nd := range f.nodes[:64] {
					dead = max(dead, nd.count(Dead))
				}
			}
			f.runFor(time.Minute, countDead)
			f.partitioned = nil
			packets, bytes := f.packets, f.bytes
			took := f.run(time.Minute, func() bool { countDead(); return f.agree(n) })
			f.report(b, packets, bytes, 1, "daemon")
			b.ReportMetric(took.Seconds(), "heal-s")
			must.Zero(b, dead)
		}
	})
}

// BenchmarkThirdRestarts measures a third of the fleet restarting at once.
func BenchmarkThirdRestarts(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		for b.Loop() {
			f := newJoinedFleet(b, n)
			f.runFor(2*time.Second, nil)
			for i := 2; i < n; i += 3 {
				f.start(i, i, uint64(10_000+i))
			}
			for i := 2; i < n; i += 3 {
				f.nodes[i].join(0, 1, 3)
			}
			packets, bytes := f.packets, f.bytes
			took := f.run(time.Minute, func() bool { return f.agree(n) })
			f.runFor(10*time.Second, nil)
			f.report(b, packets, bytes, 1, "daemon")
			b.ReportMetric(took.Seconds(), "agree-s")
			b.ReportMetric(float64(f.syncBytes)/float64(n/3), "sync-bytes/joiner")
		}
	})
}

// BenchmarkColdStart measures a whole fleet that starts at once with empty tables.
func BenchmarkColdStart(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		for b.Loop() {
			f := newFleet(b, n)
			for _, nd := range f.nodes {
				nd.join(0, 1, 2)
			}
			took := f.run(time.Minute, func() bool { return f.agree(n) })
			f.report(b, 0, 0, 1, "daemon")
			b.ReportMetric(took.Seconds(), "agree-s")
			b.ReportMetric(float64(f.syncBytes)/float64(n), "sync-bytes/daemon")
		}
	})
}

// wireTable returns the encoded table of a fleet of n daemons as a joining daemon receives it.
func wireTable(tb testing.TB, n int) []byte {
	f := newFleet(tb, n)
	all := &memberpb.Table{Host: "host-0000", Boot: 1, Digests: make([]uint64, bucketCount)}
	for i, nd := range f.nodes {
		service := fmt.Sprintf("service-%02d", i%26)
		nd.SetLocalState([]Announcement{{Service: service, Slots: 10, Age: time.Hour}}, false)
		nd.SetOffset(100_000)
		all.Members = append(all.Members, encodeMember(nd.self, true))
	}
	b, err := proto.Marshal(all)
	must.NoError(tb, err)
	return b
}

// BenchmarkJoin measures one full answer: its size, and the time and allocations to decode and
// merge it.
func BenchmarkJoin(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		wire := wireTable(b, n)
		nd := newFleet(b, n+1).nodes[n]
		b.ReportAllocs()
		for b.Loop() {
			nd.table = newTable(nd.opts.MaxMembers)
			var answer memberpb.Table
			must.NoError(b, proto.Unmarshal(wire, &answer))
			nd.applyAnswer(&answer, &exchangeTarget{})
		}
		b.ReportMetric(float64(len(wire))/float64(n), "bytes/member")
	})
}

// BenchmarkHandleSync measures how a daemon produces one full answer.
func BenchmarkHandleSync(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		nd := newJoinedFleet(b, n).nodes[0]
		request := &memberpb.Table{Host: "x", Boot: 1, Digests: make([]uint64, bucketCount)}
		b.ReportAllocs()
		for b.Loop() {
			nd.sync.refilled = time.Time{}
			_, err := proto.Marshal(nd.HandleSync(context.Background(), request))
			must.NoError(b, err)
		}
	})
}

// BenchmarkMerge measures merging records that change nothing, one for each member.
func BenchmarkMerge(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		t, records := newTable(n), mergeRecords(b, n)
		b.ReportAllocs()
		for b.Loop() {
			for i := range records {
				t.merge(&records[i])
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
	})
}

func mergeRecords(tb testing.TB, n int) []record {
	var table memberpb.Table
	must.NoError(tb, proto.Unmarshal(wireTable(tb, n), &table))
	records, rej := decodeMembers(table.GetMembers())
	must.Nil(tb, rej)
	return records
}

// BenchmarkMemory measures the memory that a daemon uses per member, including its view.
func BenchmarkMemory(b *testing.B) {
	bench(b, func(b *testing.B, n int) {
		wire := wireTable(b, n)
		var before, after runtime.MemStats
		for b.Loop() {
			nd := newFleet(b, 1).nodes[0]
			runtime.GC()
			runtime.ReadMemStats(&before)
			var answer memberpb.Table
			must.NoError(b, proto.Unmarshal(wire, &answer))
			nd.applyAnswer(&answer, &exchangeTarget{})
			must.Len(b, n, nd.View().Members)
			answer = memberpb.Table{}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(nd)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/member")
	})
}

// BenchmarkPing measures handling and answering one ping.
func BenchmarkPing(b *testing.B) {
	f := newJoinedFleet(b, 910)
	f.nodes[0].update(func(time.Time) { f.nodes[0].sendPing(f.nodes[1].addr, "host-0001", 7) })
	ping := f.nodes[0].sent
	b.ReportAllocs()
	for b.Loop() {
		f.nodes[1].handlePacket(ping, f.nodes[0].addr)
		f.inFlight = f.inFlight[:0]
	}
	b.ReportMetric(float64(len(ping)+len(f.nodes[1].sent)), "bytes/probe")
}

// Bounds on the costs that are the same in every run. The measured values are listed in
// docs/measure/membership.md; a change that exceeds a bound must update both.
func TestCostsStayBounded(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	packets, bytes := f.packets, f.bytes
	f.runFor(10*time.Second, nil)
	must.LessEq(t, 2*n*10, f.packets-packets)
	must.LessEq(t, 90*n*10, f.bytes-bytes)

	packets, bytes = f.packets, f.bytes
	f.nodes[0].SetLocalState([]Announcement{{Service: "sign-feed", Slots: 10}}, false)
	f.runFor(2*time.Second, nil)
	must.LessEq(t, 16*n, f.packets-packets)
	must.LessEq(t, 1400*n, f.bytes-bytes)
	must.LessEq(t, 110*n, len(wireTable(t, n)))

	records, tb := mergeRecords(t, n), newTable(n)
	mergeAll := func() {
		for i := range records {
			tb.merge(&records[i])
		}
	}
	mergeAll()
	must.Zero(t, testing.AllocsPerRun(10, mergeAll))
	f.nodes[0].update(func(time.Time) { f.nodes[0].sendPing(f.nodes[1].addr, "host-0001", 7) })
	ping := f.nodes[0].sent
	must.LessEq(t, 12, testing.AllocsPerRun(10, func() {
		f.nodes[1].handlePacket(ping, f.nodes[0].addr)
		f.inFlight = f.inFlight[:0]
	}))
}
