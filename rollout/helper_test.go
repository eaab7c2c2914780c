package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// simStep is the step of the simulated time, modeDelay the time until senders receive a
	// change of a gate's mode.
	simStep   = 25 * time.Millisecond
	modeDelay = 300 * time.Millisecond
	// startDelay is the time from the order until the new servers have started.
	startDelay = 500 * time.Millisecond
)

// behavior describes the faults of the servers of a version.
type behavior struct {
	// failShare is the share of calls that fail, slowShare the share that take slowFactor
	// times as long.
	failShare, slowShare, slowFactor float64
	// from is the time from the order until the faults begin.
	from time.Duration
	// route is the only route with faults, empty for all routes.
	route string
	// minLoad is the load in calls per second from which a server has faults.
	minLoad float64
}

// affects reports whether the faults apply to a call.
func (b behavior) affects(age time.Duration, route string, rate float64) bool {
	return age >= b.from && (b.route == "" || b.route == route) && rate >= b.minLoad
}

// simRoute is a kind of call.
type simRoute struct {
	name string
	// share is the share of all calls, time the usual latency, and failShare the share of
	// calls that fail regardless of the version.
	share     float64
	time      time.Duration
	failShare float64
}

// simServer is a backend server with its gate.
type simServer struct {
	tracker *Tracker
	gate    *Gate
	// ownFaults describes faults of this server in addition to those of its version.
	ownFaults behavior
	// recent holds the times of the calls in the last second, to compute the load.
	recent []time.Time
	// open is the state of the gate as known to senders, changed the time since which the
	// actual state differs from it.
	open    bool
	changed time.Time
	// nextReport is the time from the order until the next report.
	nextReport time.Duration
}

// sim simulates a rollout with servers of two versions, senders that choose among the gates
// which are open as far as they know, and the actual Gate and Decider, connected by reports.
type sim struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Time
	orderedAt  time.Time
	order      Order
	opts       Options
	decider    *Decider
	oldServers []*simServer
	newServers []*simServer
	routes     []simRoute
	rate       func(age time.Duration) float64
	// version and oldVersion are the behaviors of the new and the old servers.
	version, oldVersion behavior
	// reports returns whether the decider can be reached at a time after the order.
	reports func(age time.Duration) bool
	// store returns whether outcomes can be recorded at a time after the order.
	store func(age time.Duration) bool

	recorded Outcome
	// reportedAt holds the time at which the operator received each outcome.
	reportedAt map[Outcome]time.Duration
	// dueCalls is the number of calls that are due, with a fraction.
	dueCalls float64
	// calls and exposed count the calls to the service and to the new version until the end
	// of the order's duration, bad the bad answers of the new version.
	calls, exposed, bad int
	// fiftieth is the time of the 50th bad answer, last that of the last call to the new
	// version, and served that of the last call to any server.
	fiftieth, last, served time.Duration
	// rejected counts the calls that no gate admitted.
	rejected int
}

func newSim(t *testing.T, seed uint64, oldCount, newCount int, rate float64) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		order: Order{Service: "signs", ToVersion: "v2", Duration: 12 * time.Second, Offset: 7},
		opts:  DefaultOptions(),
		routes: []simRoute{
			{"lookup", 0.6, 100 * time.Millisecond, 0.01}, {"hold", 0.37, 130 * time.Millisecond, 0.002}, {"rare", 0.03, 80 * time.Millisecond, 0.002},
		},
		rate:       func(time.Duration) float64 { return rate },
		reports:    func(time.Duration) bool { return true },
		store:      func(time.Duration) bool { return true },
		reportedAt: map[Outcome]time.Duration{},
	}
	s.orderedAt = s.now
	s.decider = NewDecider(s.opts)
	for i := range oldCount {
		s.oldServers = append(s.oldServers, s.server(fmt.Sprintf("old-%d", i), false))
	}
	for i := range newCount {
		s.newServers = append(s.newServers, s.server(fmt.Sprintf("new-%d", i), true))
	}
	return s
}

func (s *sim) server(host string, newVersion bool) *simServer {
	v := &simServer{open: !newVersion}
	v.gate = NewGate(func() time.Time { return s.now })
	v.tracker = &Tracker{Order: s.order, Server: ServerID{Host: host, Boot: 1}, NewVersion: newVersion, OrderKnownAt: s.orderedAt}
	v.gate.SetTracker(v.tracker)
	v.nextReport = time.Duration(s.rng.Int64N(int64(250 * time.Millisecond)))
	return v
}

func (s *sim) age() time.Duration { return s.now.Sub(s.orderedAt) }

// run simulates the duration of the order and some seconds after it.
func (s *sim) run() {
	for s.age() < s.order.Duration+6*time.Second {
		s.step()
	}
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	if s.reports(s.age()) {
		s.report()
		s.runTasks()
	}
	s.deliverModes()
	s.dueCalls += s.rate(s.age()) * simStep.Seconds()
	for ; s.dueCalls >= 1; s.dueCalls-- {
		s.call()
	}
}

// report sends the reports that are due.
func (s *sim) report() {
	for _, v := range s.all() {
		if s.age() < v.nextReport || v.tracker.NewVersion && s.age() < startDelay {
			continue
		}
		v.nextReport = s.age() + 250*time.Millisecond
		if !v.tracker.NewVersion && s.order.Duration-s.age() > 4*time.Second {
			v.nextReport += 250 * time.Millisecond
		}
		v.tracker.SetPermit(s.decider.Report(s.order, v.tracker.Report(s.now), s.now), s.now)
	}
}

func (s *sim) all() []*simServer {
	return append(append([]*simServer(nil), s.oldServers...), s.newServers...)
}

// runTasks performs the decider's tasks.
func (s *sim) runTasks() { s.runTasksOf(s.decider) }

// runTasksOf performs the tasks of one of several deciders.
func (s *sim) runTasksOf(d *Decider) {
	for _, task := range d.Tasks(s.now) {
		switch {
		case !s.store(s.age()):
		case task.Load:
			d.Loaded(task.Order, s.recorded)
		default:
			if _, ok := s.reportedAt[task.Outcome]; !ok {
				s.reportedAt[task.Outcome] = s.age()
			}
			if task.Outcome != Undecided {
				s.recorded = task.Outcome
			}
			d.Recorded(task.Order, task.Outcome)
		}
	}
}

// deliverModes passes changes of the gates' modes to the senders after modeDelay.
func (s *sim) deliverModes() {
	for _, v := range s.all() {
		open := v.tracker.Mode(s.now) != Closed && (!v.tracker.NewVersion || s.age() >= startDelay)
		switch {
		case open == v.open:
			v.changed = time.Time{}
		case v.changed.IsZero():
			v.changed = s.now
		case s.now.Sub(v.changed) >= modeDelay:
			v.open, v.changed = open, time.Time{}
		}
	}
}

// call sends one call to up to eight gates in turn until one admits it.
func (s *sim) call() {
	var open []*simServer
	for _, v := range s.all() {
		// Old servers are stopped once the operator has received the success.
		if at, ok := s.reportedAt[Succeeded]; v.open && !(ok && !v.tracker.NewVersion && s.age() >= at) {
			open = append(open, v)
		}
	}
	for range 8 {
		if len(open) == 0 {
			break
		}
		i := s.rng.IntN(len(open))
		v := open[i]
		if c, err := v.gate.Begin(); err == nil {
			s.serve(v, c)
			return
		}
		open = slices.Delete(open, i, i+1)
	}
	s.rejected++
}

// serve processes a call at a server.
func (s *sim) serve(v *simServer, c *Call) {
	route := s.drawRoute()
	for len(v.recent) > 0 && s.now.Sub(v.recent[0]) > time.Second {
		v.recent = v.recent[1:]
	}
	v.recent = append(v.recent, s.now)
	result, took := Answered, time.Duration(float64(route.time)*(0.8+0.6*s.rng.Float64()))
	failed := s.rng.Float64() < route.failShare
	versionFaults := s.oldVersion
	if v.tracker.NewVersion {
		versionFaults = s.version
	}
	bad := false
	for _, b := range []behavior{versionFaults, v.ownFaults} {
		if !b.affects(s.age(), route.name, float64(len(v.recent))) {
			continue
		}
		if s.rng.Float64() < b.failShare {
			failed, bad = true, true
		}
		if s.rng.Float64() < b.slowShare {
			took, bad = time.Duration(float64(took)*b.slowFactor), true
		}
	}
	if failed {
		result = Failed
	}
	c.End(route.name, result, took, true)
	s.count(v, bad)
}

// count updates the statistics after a call.
func (s *sim) count(v *simServer, bad bool) {
	s.served = s.age()
	if s.age() <= s.order.Duration {
		s.calls++
	}
	if !v.tracker.NewVersion {
		return
	}
	if s.age() <= s.order.Duration {
		s.exposed++
	}
	s.last = s.age()
	if bad {
		s.bad++
		if s.bad == 50 {
			s.fiftieth = s.age()
		}
	}
}

// drawRoute returns a random route according to the shares.
func (s *sim) drawRoute() simRoute {
	x := s.rng.Float64()
	for _, r := range s.routes {
		if x -= r.share; x < 0 {
			return r
		}
	}
	return s.routes[0]
}
