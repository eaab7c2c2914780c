package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// managerWithLease returns a Manager with a lease that admits millions of calls.
func managerWithLease(tb testing.TB) (*Manager, *snapshot.Contract) {
	tb.Helper()
	c := &snapshot.Contract{Customer: "acme", Rate: 1e6, Burst: 1e6, MaxConcurrent: 1000}
	m := New(Options{Host: "a"})
	self := &membership.Member{Host: "a", Boot: 1, Liveness: membership.Alive, Since: time.Now()}
	m.SetView(&membership.View{Self: self, Members: []*membership.Member{self}})
	// The contract is new to the fleet, so its ledger need not settle.
	m.SetContracts(map[string]*snapshot.Contract{}, 0)
	m.SetContracts(map[string]*snapshot.Contract{c.Customer: c}, 0)
	l := newLease(amount{rate: 1e9, burst: 1e9, slots: 1e6}, true, m.now(), forever)
	l.fill(m.now(), 1e9)
	m.account(c).lease.Store(l)
	return m, c
}

func TestAdmit_allocatesNothing(t *testing.T) {
	m, c := managerWithLease(t)
	allocs := testing.AllocsPerRun(1000, func() {
		g, err := m.Admit(c)
		if err != nil {
			t.Fatal(err)
		}
		g.Done()
	})
	must.Zero(t, allocs)
}

func BenchmarkAdmit(b *testing.B) {
	m, c := managerWithLease(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if g, err := m.Admit(c); err == nil {
				g.Done()
			}
		}
	})
}

func BenchmarkAdmit_refused(b *testing.B) {
	m, c := managerWithLease(b)
	m.account(c).lease.Store(newLease(amount{slots: 1e6}, true, m.now(), forever))
	m.account(c).notBefore.Store(int64(forever))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = m.Admit(c)
	}
}

// BenchmarkServe measures the owner's cost of one claim, for different numbers of holders.
func BenchmarkServe(b *testing.B) {
	for _, holders := range []int{10, 100, 900} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			m, _ := managerWithLease(b)
			reqs := make([]*quotapb.Request, holders)
			for i := range reqs {
				reqs[i] = &quotapb.Request{Host: "h", Boot: uint64(i), Claims: []*quotapb.Claim{{Customer: "acme", GrantedBy: 1, Demand: 5, Need: 1}}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 {
					m.owner.heartbeat(m.now())
				}
				req := reqs[i%holders]
				req.Sequence++
				m.Serve(req)
			}
		})
	}
}

// BenchmarkExchange measures the cost of one claim on both sides, including encoding but not
// the network.
func BenchmarkExchange(b *testing.B) {
	m, c := managerWithLease(b)
	b.ReportAllocs()
	for b.Loop() {
		a := m.account(c)
		now := m.now()
		m.owner.heartbeat(now)
		m.holder.activate(a, now)
		for _, q := range m.holder.step(now) {
			req, answer := new(quotapb.Request), new(quotapb.Answer)
			copyProto(b, q.request, req)
			copyProto(b, m.Serve(req), answer)
			m.holder.finish(q, answer, nil, now)
		}
	}
}

func copyProto(b *testing.B, from, to proto.Message) {
	raw, err := proto.Marshal(from)
	if err == nil {
		err = proto.Unmarshal(raw, to)
	}
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkSetView measures the cost of a membership change in a fleet of 910 members.
func BenchmarkSetView(b *testing.B) {
	m, contracts, view := largeFleet()
	m.SetContracts(contracts, 0)
	b.ReportAllocs()
	for b.Loop() {
		for i, one := range view.Members[1:] {
			next := *one
			next.Boot++
			view.Members[i+1] = &next
			break
		}
		m.SetView(view)
	}
}

// largeFleet returns a Manager with 910 members in its view, and 300 contracts.
func largeFleet() (*Manager, map[string]*snapshot.Contract, *membership.View) {
	view := &membership.View{}
	for i := range 910 {
		view.Members = append(view.Members, &membership.Member{
			Host: fmt.Sprintf("h%03d", i), Boot: uint64(i + 1), Liveness: membership.Alive, Region: fmt.Sprint(i % 3),
		})
	}
	view.Self = view.Members[0]
	contracts := map[string]*snapshot.Contract{}
	for i := range 300 {
		c := &snapshot.Contract{Customer: fmt.Sprint("customer", i), Rate: 100, Burst: 100}
		contracts[c.Customer] = c
	}
	m := New(Options{Host: view.Self.Host})
	m.SetView(view)
	return m, contracts, view
}

// BenchmarkState reports the memory used per known contract, per lease held and per lease
// granted.
func BenchmarkState(b *testing.B) {
	for b.Loop() {
		m, contracts, _ := largeFleet()
		start := heapBytes()
		m.SetContracts(contracts, 0)
		known := heapBytes()
		for _, a := range *m.holder.accounts.Load() {
			a.lease.Store(newLease(amount{rate: 1, burst: 1}, true, 0, forever))
		}
		held := heapBytes()
		l := newLedger(DefaultOptions(), &snapshot.Contract{Rate: 1000, Burst: 1000}, 0, 0)
		for i := range 910 {
			l.claim(0, m.fleet.Load(), holderID{"h", uint64(i)}, 1, &quotapb.Claim{Demand: 1})
		}
		granted := heapBytes()
		b.ReportMetric(float64(known-start)/300, "B/contract")
		b.ReportMetric(float64(held-known)/300, "B/held")
		b.ReportMetric(float64(granted-held)/910, "B/granted")
		runtime.KeepAlive(l)
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkFleet reports the messages per daemon of a fleet under a typical load: 56 calls/s at
// each daemon, each customer's demand spread over all daemons of one zone, at half or nine
// tenths of its contract.
func BenchmarkFleet(b *testing.B) {
	const callsPerDaemon, length = 56, 30 * time.Second
	for _, n := range []struct {
		perZone, customers int
		load, burst        float64
	}{
		{14, 50, 0.5, 1}, {28, 50, 0.5, 1}, {57, 50, 0.5, 1}, {57, 100, 0.5, 1}, {57, 200, 0.5, 1},
		{114, 100, 0.5, 1}, {114, 300, 0.5, 1}, {114, 300, 0.9, 1}, {114, 300, 0.9, 3},
	} {
		daemons := n.perZone * simZones
		b.Run(fmt.Sprintf("daemons=%d/customers=%d/load=%.1f/burst=%.0fs", daemons, n.customers, n.load, n.burst), func(b *testing.B) {
			for b.Loop() {
				rate := callsPerDaemon * float64(daemons) / float64(n.customers) / n.load
				contracts := make([]*snapshot.Contract, n.customers)
				for i := range contracts {
					contracts[i] = &snapshot.Contract{Customer: fmt.Sprint("customer", i), Rate: rate, Burst: n.burst * rate}
				}
				w := newWorld(simZones, n.perZone, contracts...)
				w.runUntil(simWarmup)
				var k counter
				pair := callsPerDaemon * float64(simZones) / float64(n.customers)
				for i, c := range contracts {
					zone := i % simZones
					for _, d := range w.daemons[zone*n.perZone : (zone+1)*n.perZone] {
						w.load(d, c, pair, simWarmup+length, &k)
					}
				}
				w.runUntil(simWarmup + 10*time.Second)
				messages, bytes, waits := w.messages, w.bytes, w.waits
				w.runUntil(simWarmup + length)
				seconds := (length - 10*time.Second).Seconds() * float64(daemons)
				b.ReportMetric(float64(w.messages-messages)/seconds, "asks/s/daemon")
				b.ReportMetric(float64(w.bytes-bytes)/seconds, "B/s/daemon")
				b.ReportMetric(100*float64(w.waits-waits)/(callsPerDaemon*seconds), "%waiting")
				b.ReportMetric(100*k.share(simWarmup+10*time.Second, simWarmup+length), "%admitted")
			}
		})
	}
}
