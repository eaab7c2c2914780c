package rollout

import (
	"log/slog"
	"sync"
	"time"
)

// Options configures a Decider.
type Options struct {
	// MaxShare and Slack bound the calls that reach a bad version until the end of its order's
	// duration: the share MaxShare of the service's calls, plus Slack calls.
	MaxShare float64
	Slack    int
	Analyzer Analyzer
	Logger   *slog.Logger
}

// DefaultOptions returns options by which a bad version receives at most a tenth of the calls
// plus 50.
func DefaultOptions() Options {
	return Options{MaxShare: 0.1, Slack: 50, Analyzer: DefaultAnalyzer(), Logger: slog.New(slog.DiscardHandler)}
}

const (
	// permitLease is how long a permit is valid: long enough that a few reports may be lost,
	// and short enough that an isolated gate of the new version closes well within the time
	// in which a bad version has to be rolled back.
	permitLease = time.Second
	// gateTimeout is how long a server counts as alive after the last report of its gate.
	gateTimeout = 1500 * time.Millisecond
	// rolloutRetention is how long a rollout is kept after the last report of any of its gates.
	rolloutRetention = 10 * time.Second
	// evaluateInterval is the minimum time between two evaluations of a rollout.
	evaluateInterval = 200 * time.Millisecond
	// recentWindow is the minimum period of the recent results, which are evaluated beside the
	// results since the order: otherwise the earlier good answers of a version that turns bad
	// after a while would hide its failures.
	recentWindow = 1500 * time.Millisecond

	// trialShare and trialSlackShare are the fractions of MaxShare and Slack that are granted
	// to the trial. The rest covers calls in flight and the move at the end.
	trialShare      = 0.9
	trialSlackShare = 0.6
	// trialTurns is the number of servers that are on trial one after the other during an
	// order, if the bound is too low for two at a time. More than one is needed since faults
	// of a single host must not cause a rollback, and few since each server needs some time
	// under load for its faults to show.
	trialTurns = 4
	// minTrialCalls is the number of trial calls that are needed before the gates of the new
	// version open. For services with few calls, the fraction minTrialShare of the calls that
	// the bound allows is enough.
	minTrialCalls = 60
	minTrialShare = 0.25
	// minGrant is the number of calls that a permit for a server on trial grants at least, as
	// long as the bound allows them.
	minGrant = 8
)

// Decider decides about the rollouts that gates report to it. Any daemon can do this, and
// another daemon can take over at any time: the next reports contain all results since the
// order, and outcomes are stored in the platform's directory and known to the gates. It is
// safe for concurrent use.
type Decider struct {
	opts Options

	mu sync.Mutex
	// rollouts holds the rollout of the latest order by service.
	rollouts map[string]*activeRollout
}

// NewDecider returns a decider without rollouts.
func NewDecider(opts Options) *Decider {
	return &Decider{opts: opts, rollouts: make(map[string]*activeRollout)}
}

// Report processes the report of a gate on an order and returns the gate's next permit. A newer
// order replaces the rollout of an older one.
func (d *Decider) Report(o Order, r Report, now time.Time) Permit {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.rollouts[o.Service]
	if c == nil || c.order.Offset < o.Offset {
		c = newActiveRollout(o, d.opts, now)
		d.rollouts[o.Service] = c
		d.opts.Logger.Info("rollout: decides", "service", o.Service, "to_version", o.ToVersion, "order", o.Offset, "duration", o.Duration)
	}
	if c.order.Offset > o.Offset {
		return SupersededPermit(r)
	}
	c.addReport(r, now)
	c.evaluate(now)
	return c.permitFor(r, now)
}

// SupersededPermit returns the permit for a gate whose order was replaced by a newer one that
// its daemon has not received yet.
func SupersededPermit(r Report) Permit { return Permit{Mode: modeBeforeOrder(r), Lease: permitLease} }

// modeBeforeOrder returns the mode in which calls go to the servers that received them before
// the order.
func modeBeforeOrder(r Report) Mode {
	if r.NewVersion {
		return Closed
	}
	return Open
}

// Task is an operation on the platform's directory or the operator's interface that the caller
// of a Decider has to perform for a rollout.
type Task struct {
	Order Order
	// Load asks the caller to look up the recorded outcome of the order and pass it to Loaded.
	// Otherwise the caller records Outcome, reports it to the operator and calls Recorded.
	Load    bool
	Outcome Outcome
}

// Tasks evaluates all rollouts and returns the operations that are due. A failed operation is
// returned again by the next call.
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
		case now.Sub(c.lastReport) > rolloutRetention:
			delete(d.rollouts, service)
		}
	}
	return tasks
}

// Idle reports whether the decider has no rollouts.
func (d *Decider) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.rollouts) == 0
}

// Loaded passes the result of a Load task, Undecided if no outcome is recorded. Until then no
// calls are granted to the new version.
func (d *Decider) Loaded(o Order, outcome Outcome) {
	d.withRollout(o, func(c *activeRollout) {
		c.loaded = true
		if outcome != Undecided {
			c.end(outcome, "recorded earlier")
		}
	})
}

// Recorded confirms that an outcome is recorded and was reported to the operator. It replaces the
// decider's own outcome if another daemon has recorded one before. Undecided confirms that the
// operator was informed of a rollout in progress.
func (d *Decider) Recorded(o Order, outcome Outcome) {
	d.withRollout(o, func(c *activeRollout) {
		if outcome != Undecided && c.outcome != outcome {
			c.outcome, c.reason = outcome, "recorded by another daemon"
			c.opts.Logger.Warn("rollout: another outcome is recorded", "service", o.Service, "order", o.Offset, "outcome", outcome.String())
		}
		c.published = true
		c.publishedOutcome = outcome
	})
}

// withRollout calls f with the rollout of an order, if that is the latest order of its service.
func (d *Decider) withRollout(o Order, f func(*activeRollout)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.rollouts[o.Service]; c != nil && c.order.Offset == o.Offset {
		f(c)
	}
}

// Status is the state of a rollout at the daemon that decides about it.
type Status struct {
	Service   string `json:"service"`
	ToVersion string `json:"to_version"`
	Outcome   string `json:"outcome"`
	// AgeS is the time since the order and DurationS its duration, both in seconds.
	AgeS      float64 `json:"age_s"`
	DurationS float64 `json:"duration_s"`
	// Calls counts the calls to the service since the order, NewCalls those of them that went
	// to the new version.
	Calls    uint64 `json:"calls"`
	NewCalls uint64 `json:"new_calls"`
	// Servers and NewServers count the live servers of the old and the new version.
	Servers    int    `json:"servers"`
	NewServers int    `json:"new_servers"`
	Reason     string `json:"reason,omitempty"`
	// TrafficMoved is true once the gates of the old version have been closed.
	TrafficMoved bool `json:"traffic_moved"`
}

// Status returns the states of all rollouts that this daemon decides about.
func (d *Decider) Status(now time.Time) []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Status
	for _, c := range d.rollouts {
		list = append(list, c.status(now))
	}
	return list
}
