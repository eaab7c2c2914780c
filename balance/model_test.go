package balance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// The model: daemons in four availability zones send calls to ten backend servers behind their
// gates, with a virtual clock.
const (
	zones       = 4
	daemons     = 24
	targets     = 10
	slots       = 10
	service     = 8 * time.Millisecond // mean of an exponential distribution
	callTime    = 200 * time.Millisecond
	localHop    = 100 * time.Microsecond
	zoneHop     = 500 * time.Microsecond
	connectTime = 50 * time.Millisecond // until a connection attempt to an unreachable host fails
	warmUp      = 500 * time.Millisecond
)

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

type (
	exclude func(backend.ID) bool
	done    func(balance.Result)
	// chooser selects a server; the model compares choosers.
	chooser func([]*backend.Server, exclude) (*backend.Server, done)
	// newChooser returns the chooser of a daemon in a zone.
	newChooser func(zone int, rng *rand.Rand) chooser
)

func newPicker(zone int, rng *rand.Rand) chooser {
	opts := balance.DefaultOptions()
	opts.AvailabilityZone, opts.Rand = zoneName(zone), rng.IntN
	p := balance.New(opts)
	return func(servers []*backend.Server, ex exclude) (*backend.Server, done) {
		l, err := p.Pick(servers, ex)
		if err != nil {
			return nil, nil
		}
		return l.Server(), l.Done
	}
}

// newUniform returns a chooser that selects a server at random.
func newUniform(_ int, rng *rand.Rand) chooser {
	return func(servers []*backend.Server, ex exclude) (*backend.Server, done) {
		return leastOf(servers, ex, rng, nil), func(balance.Result) {}
	}
}

// newLeastLoad returns a chooser that selects the server with the lowest load reported.
func newLeastLoad(_ int, rng *rand.Rand) chooser {
	loads := make(map[backend.ID]int)
	return func(servers []*backend.Server, ex exclude) (*backend.Server, done) {
		s := leastOf(servers, ex, rng, loads)
		return s, func(r balance.Result) {
			if r.Load != nil {
				loads[s.ID] = r.Load.InUse + r.Load.Queued
			}
		}
	}
}

func leastOf(servers []*backend.Server, ex exclude, rng *rand.Rand, loads map[backend.ID]int) *backend.Server {
	var least *backend.Server
	for _, i := range rng.Perm(len(servers)) {
		s := servers[i]
		if !ex(s.ID) && !s.Suspect && (least == nil || loads[s.ID] < loads[least.ID]) {
			least = s
		}
	}
	return least
}

// target is one backend server.
type target struct {
	gate *gate.Gate
	// slowness returns the factor by which the server's calls take longer at an age of the run.
	// failing is the fraction of its calls that fail immediately.
	slowness func(age time.Duration) float64
	failing  float64
	// goneFrom is the age of the run from which on the server's host is unreachable.
	goneFrom time.Duration
	// hidesLoad makes the server report no load.
	hidesLoad bool
}

func steady(time.Duration) float64 { return 1 }

// scenario describes one run of the model.
type scenario struct {
	name string
	// load is the offered load as a fraction of the capacity of all targets.
	load   float64
	length time.Duration
	// oneZone makes all calls come from one availability zone.
	oneZone bool
	// worst limits the picker's 99.9th percentile latency, as a multiple of that in the calm
	// scenario.
	worst  float64
	change func([]*target)
	// view changes the servers as the daemons know them.
	view func([]*backend.Server)
	// viewAt is the age of the run at which view is applied.
	viewAt time.Duration
}

// run holds the state of a scenario with one chooser. The fields below mu are guarded by it.
type run struct {
	scenario
	start    time.Time
	mu       sync.Mutex
	servers  []*backend.Server
	targets  map[backend.ID]*target
	calls    map[backend.ID]int
	answered []time.Duration
	offered  int
	leftZone int // attempts outside the availability zone
}

func (sc scenario) run(t *testing.T, choose newChooser) *run {
	t.Helper()
	r := &run{scenario: sc, targets: make(map[backend.ID]*target), calls: make(map[backend.ID]int)}
	synctest.Test(t, func(*testing.T) {
		r.start = time.Now()
		r.setUp()
		rng := rand.New(rand.NewPCG(1, 2))
		var choosers []chooser
		for i := range daemons {
			choosers = append(choosers, choose(i, rand.New(rand.NewPCG(3, uint64(i)))))
		}
		rate := sc.load * targets * slots / service.Seconds()
		var calls sync.WaitGroup
		for r.age() < sc.length+warmUp {
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			daemon, work, failureDraw := rng.IntN(daemons), rng.ExpFloat64()*float64(service), rng.Float64()
			if sc.oneZone {
				daemon -= daemon % zones
			}
			calls.Go(func() { r.call(choosers[daemon], daemon, work, failureDraw) })
		}
		calls.Wait()
	})
	return r
}

func (r *run) age() time.Duration { return time.Since(r.start) }

func (r *run) setUp() {
	var all []*target
	for i := range targets {
		s := &backend.Server{
			ID:               backend.ID{Host: fmt.Sprint(i), Service: "s"},
			AvailabilityZone: zoneName(i), Slots: slots, FirstSeen: r.start.Add(-time.Hour),
		}
		x := &target{gate: gate.New(gate.DefaultOptions()), slowness: steady, goneFrom: time.Hour}
		r.servers, r.targets[s.ID], all = append(r.servers, s), x, append(all, x)
	}
	if r.change != nil {
		r.change(all)
	}
	if r.view == nil {
		return
	}
	time.AfterFunc(r.viewAt, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		next := make([]*backend.Server, len(r.servers))
		for i, s := range r.servers {
			c := *s
			next[i] = &c
		}
		r.view(next)
		r.servers = next
	})
}

// call makes up to three attempts at different servers, as long as the attempts do not run.
func (r *run) call(c chooser, zone int, work, failureDraw float64) {
	start := time.Now()
	counted := r.age() > warmUp
	var tried []backend.ID
	var ok, again bool
	for again = true; again && len(tried) < 3; {
		r.mu.Lock()
		s, end := c(r.servers, func(id backend.ID) bool { return slices.Contains(tried, id) })
		r.mu.Unlock()
		tried = append(tried, s.ID)
		result := r.attempt(s, zone, work, failureDraw, start.Add(callTime))
		r.mu.Lock()
		end(result)
		if counted {
			r.calls[s.ID]++
			if s.AvailabilityZone != zoneName(zone) {
				r.leftZone++
			}
		}
		r.mu.Unlock()
		ok = result.Kind == errkind.None && result.Status == http.StatusOK
		again = result.Kind != errkind.None && result.Kind.Response().Run == errkind.NotRun
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !counted {
		return
	}
	r.offered++
	if ok {
		r.answered = append(r.answered, time.Since(start))
	}
}

func (r *run) attempt(s *backend.Server, zone int, work, failureDraw float64, deadline time.Time) balance.Result {
	start, x, hop := time.Now(), r.targets[s.ID], zoneHop
	if s.AvailabilityZone == zoneName(zone) {
		hop = localHop
	}
	if r.age() > x.goneFrom {
		time.Sleep(connectTime)
		return balance.Result{Kind: errkind.Unreachable, Latency: connectTime}
	}
	time.Sleep(hop)
	result := balance.Result{Status: http.StatusOK}
	ticket, err := x.gate.Enter(context.Background(), "a", time.Until(deadline))
	switch {
	case err != nil:
		result.Kind = errkind.Of(err)
	case failureDraw < x.failing:
		result.Status = http.StatusInternalServerError
		ticket.Done(gate.Answered)
	default:
		need, left := time.Duration(work*x.slowness(r.age())), time.Until(deadline)
		time.Sleep(min(need, left))
		ticket.Done(gate.Answered)
		if need > left {
			result.Kind = errkind.Deadline
		}
	}
	load := x.gate.Load()
	if x.hidesLoad {
		load.InUse, load.Queued = 0, 0
	}
	time.Sleep(hop)
	result.Latency, result.Load = time.Since(start), &load
	return result
}

// quantile returns a quantile of the latency of the answered calls.
func (r *run) quantile(q float64) time.Duration {
	slices.Sort(r.answered)
	return r.answered[int(q*float64(len(r.answered)-1))]
}

func (r *run) remoteShare() float64 { return float64(r.leftZone) / float64(r.offered) }

func (r *run) log(t *testing.T, chooser string) {
	t.Helper()
	t.Logf("%-19s %-10s p50 %5.1f p99 %5.1f p99.9 %5.1f ms, refused %.4f, out of zone %.2f, at the first server %.3f",
		r.name, chooser, ms(r.quantile(0.5)), ms(r.quantile(0.99)), ms(r.quantile(0.999)), r.refused(),
		r.remoteShare(), float64(r.calls[r.servers[0].ID])/float64(r.offered))
}

func (r *run) refused() float64 { return 1 - float64(len(r.answered))/float64(r.offered) }
