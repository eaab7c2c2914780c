package once

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/once/oncepb"
)

// Limits the allocations that this package adds to a proxied call: the entry of an attempt,
// the entry and the Execution of a call under a key, and none for a replayed response.
func TestAllocations(t *testing.T) {
	const runs = 2000
	resp := &Response{Status: 201, Body: make([]byte, 200)}
	lanes := NewIDAllocator(DefaultIDAllocatorOptions(func(context.Context, GateID) (Lane, error) { return Lane{1, 1}, nil }))
	g := NewAttemptTable(DefaultAttemptTableOptions(1))
	_, _ = g.OpenLane()
	failed := 0
	check := func(ok bool) {
		if !ok {
			failed++
		}
	}
	must.LessEq(t, 1, testing.AllocsPerRun(runs, func() {
		id, err := lanes.Next(context.Background(), GateID{"a", 1})
		check(err == nil && g.Start(id) == nil)
		g.Finish(id, resp)
	}))
	opts := DefaultKeyStoreOptions("a", 1)
	opts.MaxIssue = 2 * runs
	k := NewKeyStore(opts)
	keys := k.Issue(opts.MaxIssue)
	used := keys[0]
	must.LessEq(t, 2, testing.AllocsPerRun(runs, func() {
		e, _, err := k.Begin(keys[0], Fingerprint{1})
		check(err == nil)
		e.Finish(resp)
		keys = keys[1:]
	}))
	must.LessEq(t, 0, testing.AllocsPerRun(runs, func() {
		_, got, _ := k.Begin(used, Fingerprint{1})
		check(got == resp)
	}))
	text := used.String()
	must.LessEq(t, 3, testing.AllocsPerRun(runs, func() {
		_, err := ParseKey(text)
		check(err == nil)
	}))
	must.Eq(t, 0, failed)
}

func BenchmarkAttempt(b *testing.B) {
	g := NewAttemptTable(DefaultAttemptTableOptions(1))
	resp := &Response{Status: 201, Body: make([]byte, 200)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		lane, _ := g.OpenLane()
		for seq := uint32(1); pb.Next(); seq++ {
			id := newID(1, lane.Number, seq)
			if err := g.Start(id); err != nil {
				b.Error(err)
			}
			g.Finish(id, resp)
		}
	})
}

func BenchmarkNextID(b *testing.B) {
	l := NewIDAllocator(DefaultIDAllocatorOptions(func(context.Context, GateID) (Lane, error) { return Lane{1, 1}, nil }))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = l.Next(b.Context(), GateID{"a", 1})
		}
	})
}

func BenchmarkKeyFirstRun(b *testing.B) {
	opts := DefaultKeyStoreOptions("a", 1)
	opts.MaxKeys = 1 << 40
	k := NewKeyStore(opts)
	resp := &Response{Status: 201, Body: make([]byte, 200)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var keys []Key
		for pb.Next() {
			if len(keys) == 0 {
				keys = k.Issue(1000)
			}
			e, _, err := k.Begin(keys[0], Fingerprint{1})
			if err != nil {
				b.Error(err)
				return
			}
			e.Finish(resp)
			keys = keys[1:]
		}
	})
}

func BenchmarkKeyReplay(b *testing.B) {
	k := NewKeyStore(DefaultKeyStoreOptions("a", 1))
	keys := k.Issue(1000)
	for _, key := range keys {
		e, _, _ := k.Begin(key, Fingerprint{1})
		e.Finish(&Response{Status: 201})
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			_, _, _ = k.Begin(keys[i%len(keys)], Fingerprint{1})
		}
	})
}

func BenchmarkParseKey(b *testing.B) {
	text := NewKeyStore(DefaultKeyStoreOptions("host-17.example", 1<<60)).Issue(1)[0].String()
	b.ReportMetric(float64(len(text)), "chars")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = ParseKey(text)
	}
}

// BenchmarkClaims resolves caller-generated keys of concurrent callers over a log with a
// latency of 5 ms per request.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			svc := memlog.New(memlog.DefaultOptions())
			svc.SetDelay(5 * time.Millisecond)
			c, err := NewClaimResolver(DefaultClaimResolverOptions(svc.Stream(StreamClaims), NewKeyStore(DefaultKeyStoreOptions("a", 1))))
			must.NoError(b, err)
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan error, 1)
			go func() { done <- c.Run(ctx) }()
			_, err = c.Resolve(ctx, "c", "first")
			must.NoError(b, err)
			start := svc.Counters()
			var n atomic.Int64
			b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_, _ = c.Resolve(ctx, "c", fmt.Sprint(n.Add(1)))
				}
			})
			end := svc.Counters()
			b.ReportMetric(float64(end.Appends-start.Appends)/float64(n.Load()), "appends/claim")
			b.ReportMetric(float64(end.BytesIn-start.BytesIn)/float64(n.Load()), "log-B/claim")
			cancel()
			must.NoError(b, <-done)
		})
	}
}

// heap returns the size of the live heap in bytes.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the bytes of live heap per stored object.
func BenchmarkMemory(b *testing.B) {
	wide := Bounds{KeepFor: time.Hour, MaxRecords: 1 << 30, MaxRunning: 1 << 30, MaxBytes: 1 << 40, MaxResponseBytes: 1 << 20}
	for _, n := range []int{1000, 30_000, 300_000} {
		report := func(kind string, fill func() any) {
			b.Run(fmt.Sprintf("%s/n=%d", kind, n), func(b *testing.B) {
				for b.Loop() {
					before := heap()
					kept := fill()
					b.ReportMetric((heap()-before)/float64(n), "B/kept")
					runtime.KeepAlive(kept)
				}
			})
		}
		report("attempt", func() any { return filledAttempts(wide, n) })
		report("key-used", func() any { return filledKeys(wide, n, true) })
		report("key-unused", func() any { return filledKeys(wide, n, false) })
		report("key-forgotten", func() any {
			bounds := wide
			bounds.MaxRecords = 1
			return filledKeys(bounds, n, true)
		})
		report("claim", func() any { return filledIndex(b, n) })
	}
}

func filledAttempts(bounds Bounds, n int) *AttemptTable {
	opts := DefaultAttemptTableOptions(1)
	opts.Bounds = bounds
	g := NewAttemptTable(opts)
	lanes := make([]Lane, 64)
	for i := range lanes {
		lanes[i], _ = g.OpenLane()
	}
	for i := range n {
		id := newID(1, lanes[i%64].Number, uint32(i/64+1))
		_ = g.Start(id)
		g.Finish(id, nil)
	}
	return g
}

func filledKeys(bounds Bounds, n int, used bool) *KeyStore {
	opts := DefaultKeyStoreOptions("a", 1)
	opts.Bounds, opts.MaxIssue = bounds, n
	k := NewKeyStore(opts)
	for _, key := range k.Issue(n) {
		if used {
			e, _, _ := k.Begin(key, Fingerprint{1})
			e.Finish(nil)
		}
	}
	return k
}

func filledIndex(b *testing.B, n int) *claimIndex {
	const perBatch = 20
	x := newClaimIndex(1, 2*time.Hour)
	for i := range n / perBatch {
		pb := &oncepb.ClaimBatch{RuleVersion: claimsRuleVersion, LifetimeSeconds: 7200, Host: "host-17.example", Boot: 1}
		for j := range perBatch {
			d := digestOf("customer", fmt.Sprint(i, j))
			pb.Claims = append(pb.Claims, &oncepb.Claim{Digest: d[:], Serial: uint64(i), Tag: 1 << 30})
		}
		data, err := proto.Marshal(pb)
		must.NoError(b, err)
		must.NoError(b, x.apply(eventlog.Record{Offset: eventlog.Offset(i + 1), Data: data}))
	}
	return x
}
