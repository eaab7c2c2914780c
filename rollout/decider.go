package rollout

import (
	"log/slog"
	"sync"
	"time"
)

// Options holds the bounds that a Decider keeps.
type Options struct {
	// MaxShare of the calls of a service, and Slack calls beside it, are the most that a
	// bad version may get until the end of its order's time.
	MaxShare float64
	Slack    int
	Judge    Judge
	Logger   *slog.Logger
}

// DefaultOptions let a tenth of the calls reach a version that is not known to be good.
func DefaultOptions() Options {
	return Options{MaxShare: 0.1, Slack: 50, Judge: DefaultJudge(), Logger: slog.New(slog.DiscardHandler)}
}

const (
	// lease is how long a permit holds: some reports may be lost, and a gate that is cut
	// off closes well within the time in which a bad version has to be taken back.
	lease = time.Second
	// silence is how long a gate counts as there after its last report.
	silence = 1500 * time.Millisecond
	// forgetAfter is how long a rollout is remembered whose gates are all silent.
	forgetAfter = 10 * time.Second
	// evaluateGap is the least time between two looks at the evidence.
	evaluateGap = 200 * time.Millisecond
	// window is how far back the evidence of late goes, at least: a version that turns bad
	// after a while is not excused by its good answers before.
	window = 1500 * time.Millisecond

	// trialShare is the part of MaxShare that is granted, spentShare the part of Slack: the
	// rest covers calls under way, and the move at the end.
	trialShare = 0.9
	spentShare = 0.6
	// turns is how many servers are on trial one after the other in an order's time, where the
	// bound leaves calls for no two at once: what one host does wrong must not have a
	// version taken back, and a server needs a while under load to show anything.
	turns = 4
	// enoughCalls are enough on trial to open the gates of a version; where a service has few
	// calls, enoughShare of those that the bound would have let through.
	enoughCalls = 60
	enoughShare = 0.25
	// firstGrant is the least number of calls that a server on trial wants.
	firstGrant = 8
)

// Decider decides about the rollouts that gates report to it. Any daemon can be asked, and
// another one can go on at any time: all evidence comes with the next reports, and what has
// been decided is in the platform's directory and known to the gates.
type Decider struct {
	opts Options

	mu       sync.Mutex
	rollouts map[string]*active
}

// NewDecider returns a decider that knows of no rollout.
func NewDecider(opts Options) *Decider {
	return &Decider{opts: opts, rollouts: make(map[string]*active)}
}

// Report takes in what a gate has seen and returns what it may do.
func (d *Decider) Report(o Order, r Report, now time.Time) Permit {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.rollouts[o.Service]
	if c == nil || c.order.Offset < o.Offset {
		c = newActive(o, d.opts, now)
		d.rollouts[o.Service] = c
		d.opts.Logger.Info("rollout: decides", "service", o.Service, "to_version", o.ToVersion, "order", o.Offset, "duration", o.Duration)
	}
	if c.order.Offset > o.Offset {
		return SupersededPermit(r)
	}
	c.take(r, now)
	c.evaluate(now)
	return c.permit(r, now)
}

// SupersededPermit answers the report of a gate that has not heard of the order that took the
// place of its own.
func SupersededPermit(r Report) Permit { return Permit{Mode: safeMode(r), Lease: lease} }

// safeMode leaves calls where they were before the order.
func safeMode(r Report) Mode {
	if r.NewVersion {
		return Closed
	}
	return Open
}

// Task is something that has to be done for a rollout outside of the decider.
type Task struct {
	Order Order
	// Load asks for the outcome that is recorded for the order. Otherwise Outcome is to be
	// recorded and told to the operator.
	Load    bool
	Outcome Outcome
}

// Tasks returns what is to be done now.
func (d *Decider) Tasks(now time.Time) []Task {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tasks []Task
	for service, c := range d.rollouts {
		c.evaluate(now)
		t, due := c.task()
		switch {
		case due:
			tasks = append(tasks, t)
		case now.Sub(c.heard) > forgetAfter:
			delete(d.rollouts, service)
		}
	}
	return tasks
}

// Idle reports whether there is no rollout to decide about.
func (d *Decider) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.rollouts) == 0
}

// Loaded tells what a Load task has found. Until then no call reaches the new version.
func (d *Decider) Loaded(o Order, outcome Outcome) {
	d.with(o, func(c *active) {
		c.loaded = true
		if outcome != Undecided {
			c.end(outcome, "as recorded")
		}
	})
}

// Recorded tells that an outcome has been recorded and told, Undecided that the operator
// has been told of a rollout in progress.
func (d *Decider) Recorded(o Order, outcome Outcome) {
	d.with(o, func(c *active) {
		c.told = true
		c.toldOutcome = outcome
	})
}

func (d *Decider) with(o Order, f func(*active)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.rollouts[o.Service]; c != nil && c.order.Offset == o.Offset {
		f(c)
	}
}

// Status is how a rollout stands at the daemon that decides about it.
type Status struct {
	Service   string `json:"service"`
	ToVersion string `json:"to_version"`
	Outcome   string `json:"outcome"`
	// AgeS is the time since the order, DurationS the time that it has, in seconds.
	AgeS      float64 `json:"age_s"`
	DurationS float64 `json:"duration_s"`
	// Calls to the service and those of them to the new version since the order.
	Calls        uint64 `json:"calls"`
	NewCalls     uint64 `json:"new_calls"`
	Servers      int    `json:"servers"`
	NewServers   int    `json:"new_servers"`
	Reason       string `json:"reason,omitempty"`
	TrafficMoved bool   `json:"traffic_moved"`
}

// Status returns how the rollouts stand that this daemon decides about.
func (d *Decider) Status(now time.Time) []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Status
	for _, c := range d.rollouts {
		list = append(list, c.status(now))
	}
	return list
}
