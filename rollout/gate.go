package rollout

import (
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// errWithheld is made once: a gate that is closed refuses many calls.
var errWithheld = errkind.New(errkind.NoBackend, "no calls go to this version of the backend server for now")

// Gate lets calls through to the backend server beside a daemon as a rollout permits, and
// counts what becomes of them. Without a rollout it costs a call one atomic load. It is safe
// for concurrent use.
type Gate struct {
	tracker atomic.Pointer[Tracker]
	now     func() time.Time
}

// NewGate returns a gate that lets all calls through.
func NewGate(now func() time.Time) *Gate { return &Gate{now: now} }

// SetTracker puts a tracker in the place of the one before; nil lets all calls through.
func (g *Gate) SetTracker(w *Tracker) { g.tracker.Store(w) }

// Check returns the error with which Begin would refuse a call that came now.
func (g *Gate) Check() error {
	w := g.tracker.Load()
	if w == nil || w.modeAt(g.now()) != Closed {
		return nil
	}
	return errWithheld
}

// Begin lets a call through. The call that it returns, which is nil without a rollout, has
// to be ended.
func (g *Gate) Begin() (*Call, error) {
	w := g.tracker.Load()
	if w == nil {
		return nil, nil
	}
	if !w.take(g.now()) {
		return nil, errWithheld
	}
	w.inFlight.Add(1)
	return &Call{w}, nil
}

// Call is a call that a gate let through.
type Call struct{ w *Tracker }

// End tells how a call ended and how long the server took. Warm is whether the server's
// time counts: one that has just started is slow for that.
func (c *Call) End(route string, result Result, latency time.Duration, warm bool) {
	if c == nil {
		return
	}
	c.w.inFlight.Add(-1)
	c.w.recorder.ended(route, result, latency, warm)
}

// Tracker holds the permit of one life of a backend server in one rollout, and what was seen
// of it.
type Tracker struct {
	Order Order
	// Server is this server, NewVersion whether it has the version that traffic is to move to.
	Server     ServerID
	NewVersion bool
	// OrderKnownAt is when the daemon learned of the order.
	OrderKnownAt time.Time

	recorder recorder
	admitted atomic.Int64
	inFlight atomic.Int64
	permit   atomic.Pointer[held]
	outcome  atomic.Uint32
}

// held is a permit and the time at which it ends.
type held struct {
	mode  Mode
	limit int64
	until time.Time
}

// SetPermit holds from the moment at which the report was sent that it answers.
func (w *Tracker) SetPermit(p Permit, sent time.Time) {
	if p.Outcome != Undecided {
		w.outcome.CompareAndSwap(uint32(Undecided), uint32(p.Outcome))
	}
	w.permit.Store(&held{p.Mode, int64(p.AdmitUpTo), sent.Add(p.Lease)})
}

// Outcome returns how the rollout has ended, as far as is known.
func (w *Tracker) Outcome() Outcome { return Outcome(w.outcome.Load()) }

// Mode returns what the gate does with calls.
func (w *Tracker) Mode(now time.Time) Mode { return w.modeAt(now) }

// modeAt returns the mode by the outcome or the permit. Where a permit has lapsed, calls go
// where they went before the order.
func (w *Tracker) modeAt(now time.Time) Mode {
	switch w.Outcome() {
	case Succeeded:
		if w.NewVersion {
			return Open
		}
		return Closed
	case RolledBack:
		return safeMode(Report{NewVersion: w.NewVersion})
	}
	h := w.permit.Load()
	if h == nil || !now.Before(h.until) {
		return safeMode(Report{NewVersion: w.NewVersion})
	}
	return h.mode
}

// take counts a call that may go on to the server.
func (w *Tracker) take(now time.Time) bool {
	switch w.modeAt(now) {
	case Closed:
		return false
	case Open:
		w.admitted.Add(1)
		return true
	}
	if w.admitted.Add(1) <= w.permit.Load().limit {
		return true
	}
	w.admitted.Add(-1)
	return false
}

// Report returns what has been seen so far.
func (w *Tracker) Report(now time.Time) Report {
	return Report{
		Server: w.Server, NewVersion: w.NewVersion, OrderAge: now.Sub(w.OrderKnownAt), Outcome: w.Outcome(), Mode: w.modeAt(now),
		Admitted: uint64(max(w.admitted.Load(), 0)), InFlight: int(w.inFlight.Load()), Tally: w.recorder.copy(),
	}
}
