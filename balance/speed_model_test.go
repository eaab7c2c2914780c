package balance_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// speedRoute is a route of a speedLoad.
type speedRoute struct {
	name string
	// rate is the number of calls per second, which burst multiplies from burstFrom to burstTo.
	rate               float64
	burst              float64
	burstFrom, burstTo time.Duration
	// work is the mean time of a call at a server of speed 1, variation its standard deviation over
	// the mean. A share of long calls takes longBy times as long.
	work                time.Duration
	variation           float64
	longShare, longBy   float64
	objective, timeout  time.Duration
	priority            int
	nested              bool
	kilobytes           float64
	waitShare, waitTime float64 // share of the calls that wait for nested calls, and seconds of it
}

// speedLoad describes services of servers that differ in speed, with callers in several zones.
type speedLoad struct {
	routes []speedRoute
	// zones holds the number of servers by zone, callers the weight of the calls by zone.
	zones, callers []int
	speeds         []float64 // in turn
	slots          int
	length         time.Duration
	// Each server is slowBy times as slow for slowTime at a time, in all for slowShare of the time.
	slowShare, slowBy float64
	slowTime          time.Duration
	// slowAt holds the time from which on a server is slow once, for slowTime.
	slowAt map[int]time.Duration
	// daemons is the number of daemons, speedDaemons if it is 0.
	daemons int
	// onAttempt is called for each attempt with the server it is sent to.
	onAttempt func(server int, age time.Duration)
	// report changes the load that a server reports.
	report func(server int, l *gate.Load)
	// restartAt is when the daemons with an even number lose what they know.
	restartAt time.Duration
	seed      uint64
}

const (
	speedDaemons    = 63
	speedWarmUp     = 3 * time.Second
	kilobyteCost    = 100 * time.Millisecond // requests.kilobyte_cost
	retryShare      = 0.2
	speedAttempts   = 5
	speedRemoteHop  = 600 * time.Microsecond
	speedLocalHop   = 100 * time.Microsecond
	speedRetryBurst = 20
)

// speedRun is the state of one run.
type speedRun struct {
	speedLoad
	start   time.Time
	servers []*backend.Server
	gates   []*gate.Gate
	slow    [][]time.Duration // starts of the slow times by server

	mu       sync.Mutex
	pickers  []*balance.Picker
	counts   map[string]*speedCount
	started  map[string][]int // calls that started, by route and server
	slowRuns int              // attempts that were sent to a server while it was slow
	attempts int
	leftZone float64 // kilobytes that left the zone
	allBytes float64
	budget   float64
	latency  map[string]time.Duration
}

func (l speedLoad) run(t *testing.T, bySpeed bool) *speedRun {
	t.Helper()
	r := &speedRun{speedLoad: l, counts: make(map[string]*speedCount), started: make(map[string][]int), budget: speedRetryBurst, latency: make(map[string]time.Duration)}
	if r.daemons == 0 {
		r.daemons = speedDaemons
	}
	synctest.Test(t, func(*testing.T) {
		r.start = time.Now()
		rng := rand.New(rand.NewPCG(l.seed, 7))
		r.setUp(rng, bySpeed)
		var calls sync.WaitGroup
		for _, route := range r.routes {
			calls.Go(func() { r.offer(route, rand.New(rand.NewPCG(l.seed, uint64(len(route.name)))), &calls) })
		}
		if r.restartAt > 0 {
			time.Sleep(r.restartAt)
			r.mu.Lock()
			for i := 0; i < r.daemons; i += 2 {
				r.pickers[i] = r.newPicker(i, bySpeed)
			}
			r.mu.Unlock()
		}
		calls.Wait()
	})
	return r
}

func (r *speedRun) newPicker(daemon int, bySpeed bool) *balance.Picker {
	opts := balance.DefaultOptions()
	opts.AvailabilityZone = zoneName(r.zoneOf(daemon))
	opts.SlowStart, opts.DisableSlowEjection, opts.SpeedPlacement = 0, true, bySpeed
	opts.Rand = rand.New(rand.NewPCG(r.seed, uint64(daemon))).IntN
	return balance.New(opts)
}

func (r *speedRun) zoneOf(daemon int) int { return daemon % len(r.zones) }

func (r *speedRun) setUp(rng *rand.Rand, bySpeed bool) {
	for i := range r.daemons {
		r.pickers = append(r.pickers, r.newPicker(i, bySpeed))
	}
	for zone, n := range r.zones {
		for range n {
			i := len(r.servers)
			r.servers = append(r.servers, &backend.Server{
				ID: backend.ID{Host: fmt.Sprint(i), Service: "s"}, AvailabilityZone: zoneName(zone), Slots: r.slots, FirstSeen: r.start.Add(-time.Hour),
			})
			o := gate.DefaultOptions()
			o.Slots, o.FixedSlots = r.slots, true
			r.gates = append(r.gates, gate.New(o))
			var slow []time.Duration
			if r.slowShare > 0 {
				pause := r.slowTime.Seconds() * (1 - r.slowShare) / r.slowShare
				for at := time.Duration(0); at < r.length+10*time.Second; at += r.slowTime {
					at += time.Duration(rng.ExpFloat64() * pause * float64(time.Second))
					slow = append(slow, at)
				}
			}
			if at, ok := r.slowAt[i]; ok {
				slow = append(slow, at)
			}
			r.slow = append(r.slow, slow)
		}
	}
}

func (r *speedRun) age() time.Duration { return time.Since(r.start) }

// isSlow reports whether a server is slow at an age of the run.
func (r *speedRun) isSlow(server int, age time.Duration) bool {
	i, found := slices.BinarySearch(r.slow[server], age)
	return found || i > 0 && age < r.slow[server][i-1]+r.slowTime
}

// work runs work at a server, in steps so that the server may become slow meanwhile.
func (r *speedRun) work(server int, need time.Duration, deadline time.Time) {
	const step = 5 * time.Millisecond
	for speed := r.speeds[server%len(r.speeds)]; need > 0 && time.Now().Before(deadline); {
		if r.slowBy == 0 {
			time.Sleep(min(time.Duration(float64(need)/speed), time.Until(deadline)))
			return
		}
		rate := speed
		if r.isSlow(server, r.age()) {
			rate /= r.slowBy
		}
		d := min(step, time.Duration(float64(need)/rate)+1)
		time.Sleep(d)
		need -= time.Duration(float64(d) * rate)
	}
}

// offer makes the calls of a route.
func (r *speedRun) offer(route speedRoute, rng *rand.Rand, calls *sync.WaitGroup) {
	r.mu.Lock()
	r.counts[route.name], r.started[route.name] = &speedCount{}, make([]int, len(r.servers))
	r.mu.Unlock()
	weights := 0
	for _, w := range r.callers {
		weights += w
	}
	sigma := math.Sqrt(math.Log(1 + route.variation*route.variation))
	for r.age() < r.length {
		rate := route.rate
		if route.burst > 0 && r.age() >= route.burstFrom && r.age() < route.burstTo {
			rate *= route.burst
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		zone, w := 0, rng.IntN(weights)
		for w >= r.callers[zone] {
			w -= r.callers[zone]
			zone++
		}
		daemon := zone + len(r.zones)*rng.IntN(r.daemons/len(r.zones))
		work := route.work.Seconds() * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
		if rng.Float64() < route.longShare {
			work *= route.longBy
		}
		waits := rng.Float64() < route.waitShare
		calls.Go(func() { r.call(route, daemon, time.Duration(work*float64(time.Second)), waits) })
	}
}

// call makes attempts until one runs, within the retry budget.
func (r *speedRun) call(route speedRoute, daemon int, work time.Duration, waits bool) {
	start := time.Now()
	counted := r.age() > speedWarmUp
	req := admission.Request{
		Nested: route.nested, Priority: route.priority, Objective: route.objective,
		FirstSent: start, Arrived: start, Deadline: start.Add(route.timeout),
	}
	remote := time.Duration(route.kilobytes * route.objective.Seconds() * float64(kilobyteCost))
	var tried []backend.ID
	history := admission.AttemptHistory{RemoteCost: remote}
	result := balance.Result{Kind: errkind.NoBackend}
	for again := true; again; {
		opts := balance.PickOptions{
			Exclude:    func(id backend.ID) bool { return slices.Contains(tried, id) },
			RemoteCost: remote, Objective: route.objective, MaxWait: req.MaxWait(history, time.Now()),
			Route: route.name, Nested: route.nested,
		}
		r.mu.Lock()
		lease, err := r.pickers[daemon].PickWithOptions(r.servers, opts)
		r.mu.Unlock()
		if err != nil && !history.FullWait {
			history.FullWait, tried = true, nil
			continue
		}
		if err != nil {
			result = balance.Result{Kind: errkind.Of(err)}
			break
		}
		tried = append(tried, lease.Server().ID)
		result = r.attempt(route, req, lease.Server(), daemon, work, waits, opts.MaxWait)
		lease.Done(result)
		history.Refusals++
		again = result.Kind != errkind.None && result.Kind.Response().Run == errkind.NotRun &&
			len(tried) < speedAttempts && time.Now().Before(req.Deadline) && r.withdraw()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = min(r.budget+retryShare, speedRetryBurst)
	if !counted {
		return
	}
	count, took := r.counts[route.name], time.Since(start)
	switch {
	case result.Kind == errkind.None && took <= route.objective:
		count.inTime++
	case result.Kind == errkind.None:
		count.late++
	case result.Kind == errkind.Deadline:
		count.expired++
	default:
		count.rejected++
	}
	if result.Kind == errkind.None {
		r.latency[route.name] += took
	}
}

func (r *speedRun) withdraw() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

func (r *speedRun) attempt(route speedRoute, req admission.Request, s *backend.Server, daemon int, work time.Duration, waits bool, maxWait time.Duration) balance.Result {
	start, hop := time.Now(), speedRemoteHop
	server := slices.Index(r.servers, s)
	if s.AvailabilityZone == zoneName(r.zoneOf(daemon)) {
		hop = speedLocalHop
	}
	r.mu.Lock()
	if r.onAttempt != nil {
		r.onAttempt(server, r.age())
	}
	if r.age() > speedWarmUp {
		r.attempts++
		r.allBytes += route.kilobytes
		if hop != speedLocalHop {
			r.leftZone += route.kilobytes
		}
		if r.isSlow(server, r.age()) {
			r.slowRuns++
		}
	}
	r.mu.Unlock()
	time.Sleep(hop)
	call := gate.Call{Route: route.name, Nested: route.nested, Priority: req.Rank(), Remaining: time.Until(req.Deadline)}
	if !route.nested {
		call.MaxWait, call.ObjectiveLeft = maxWait, req.ObjectiveLeft(time.Now())
	}
	result := balance.Result{Status: 200}
	g := r.gates[server]
	ticket, err := g.Admit(context.Background(), call)
	var load gate.Load
	if err != nil {
		result.Kind = errkind.Of(err)
		load = g.Load()
	} else {
		r.mu.Lock()
		if r.age() > speedWarmUp {
			r.started[route.name][server]++
		}
		r.mu.Unlock()
		r.work(server, work, req.Deadline)
		if waits {
			time.Sleep(time.Duration(route.waitTime * float64(time.Second)))
		}
		outcome := gate.Answered
		if !time.Now().Before(req.Deadline) {
			result.Kind, outcome = errkind.Deadline, gate.Failed
		}
		load = g.Load()
		ticket.Done(outcome)
	}
	load.RouteTime = g.RouteTime(call)
	if r.report != nil {
		r.report(server, &load)
	}
	time.Sleep(hop)
	result.Latency, result.Load = time.Since(start), &load
	return result
}
