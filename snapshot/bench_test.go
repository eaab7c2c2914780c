package snapshot

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

const benchServices = 26

// syntheticState returns a state with n routes and n contracts, and the names of its services.
func syntheticState(n int) (*fold.State, []string) {
	var serviceNames []string
	for i := range benchServices {
		serviceNames = append(serviceNames, fmt.Sprint("service-", i))
	}
	st := publish(fold.Empty(), services(serviceNames...)...)
	var resources []*configpb.Resource
	for i := range n {
		svc := serviceNames[i%benchServices]
		resources = append(resources,
			route(fmt.Sprint("route-", i), fmt.Sprintf("/%s/route-%d/", svc, i), svc),
			contract(fmt.Sprint("customer-", i), 100))
	}
	for len(resources) > 0 {
		k := min(fold.MaxChanges, len(resources))
		st = publish(st, resources[:k]...)
		resources = resources[k:]
	}
	return st, serviceNames
}

var sizes = []int{100, 1000, 4000}

func BenchmarkRoute(b *testing.B) {
	for _, n := range sizes {
		st, names := syntheticState(n)
		s := Build(nil, st, backends(names...))
		path := fmt.Sprintf("/service-%d/route-%d/lookup?id=7", (n/2)%benchServices, n/2)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.Route(path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range sizes {
		st, names := syntheticState(n)
		known := backends(names...)
		prev := Build(nil, st, known)
		next := publish(st, contract("customer-1", 50))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(prev, next, known)
			}
			b.ReportMetric(float64(heapOf(st, known)), "heap-bytes")
		})
	}
}

// heapOf returns the heap size of a snapshot without its state, in bytes.
func heapOf(st *fold.State, known *backend.Set) int64 {
	before := liveHeap()
	s := Build(nil, st, known)
	after := liveHeap()
	runtime.KeepAlive(s)
	return after - before
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkBuildForBackends(b *testing.B) {
	for _, n := range sizes {
		st, names := syntheticState(n)
		prev := Build(nil, st, backends(names...))
		known := backends(names...)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(prev, st, known)
			}
		})
	}
}

// Limits on the allocations of a snapshot swap. maxBuildAllocs applies to a swap with 1,000 routes
// and 1,000 contracts of which one has changed: unchanged contracts are reused, not compiled again.
// maxBackendsAllocs applies to a swap in which only backend servers have changed.
const (
	maxBuildAllocs    = 60
	maxBackendsAllocs = 1
)

// TestBuildCost limits the allocations of a snapshot swap.
func TestBuildCost(t *testing.T) {
	st, names := syntheticState(1000)
	known := backends(names...)
	prev := Build(nil, st, known)
	next := publish(st, contract("customer-1", 50))
	must.LessEq(t, maxBuildAllocs, testing.AllocsPerRun(20, func() { Build(prev, next, known) }))
	must.LessEq(t, maxBackendsAllocs, testing.AllocsPerRun(20, func() { Build(prev, st, known) }))
}

// Each call does these lookups.
func TestLookupsDoNotAllocate(t *testing.T) {
	st, names := syntheticState(1000)
	s := Build(nil, st, backends(names...))
	lookup := func() {
		s.Route("/service-6/route-500/lookup")
		s.Route("/nothing")
		s.Withholds("/nothing")
		s.Backends("service-6")
		s.Contract("customer-500").Terms("POST", "/service-6/route-500/lookup")
	}
	must.Zero(t, testing.AllocsPerRun(100, lookup))
}
