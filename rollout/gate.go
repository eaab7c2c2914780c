package rollout

import (
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// errWithheld is created only once, since a closed gate rejects many calls.
var errWithheld = errkind.New(errkind.NoBackend, "the rollout withholds calls from this version of the backend server")

// Gate admits calls to the backend server beside a daemon as far as a rollout permits, and
// counts their results. Without a rollout it adds a single atomic load to a call. It is safe
// for concurrent use.
type Gate struct {
	tracker atomic.Pointer[Tracker]
	now     func() time.Time
}

// NewGate returns a gate that admits all calls. now returns the current time.
func NewGate(now func() time.Time) *Gate { return &Gate{now: now} }

// SetTracker replaces the tracker of the gate. With nil the gate admits all calls.
func (g *Gate) SetTracker(t *Tracker) { g.tracker.Store(t) }

// Check returns an error if the gate is closed, so that Begin would reject a call. It counts
// nothing and does not check the limit of mode Limited.
func (g *Gate) Check() error {
	w := g.tracker.Load()
	if w == nil || w.modeAt(g.now()) != Closed {
		return nil
	}
	return errWithheld
}

// Begin admits a call or returns an error. The caller must call End on the returned Call, which
// is nil without a rollout.
func (g *Gate) Begin() (*Call, error) {
	w := g.tracker.Load()
	if w == nil {
		return nil, nil
	}
	if !w.admit(g.now()) {
		return nil, errWithheld
	}
	w.inFlight.Add(1)
	return &Call{w}, nil
}

// Call is a call that a gate admitted. The methods of a nil Call do nothing.
type Call struct{ tracker *Tracker }

// End records the result of a call and the latency of the server. warm is false if the server
// has started recently and is slow for that reason; its latency is not counted then.
func (c *Call) End(route string, result Result, latency time.Duration, warm bool) {
	if c == nil {
		return
	}
	c.tracker.inFlight.Add(-1)
	c.tracker.recorder.record(route, result, latency, warm)
}

// Tracker holds the permit and the call results of one run of a backend server in one rollout.
// It is safe for concurrent use.
type Tracker struct {
	Order Order
	// Server identifies the server. NewVersion is true if it has the version that traffic is
	// to move to.
	Server     ServerID
	NewVersion bool
	// OrderKnownAt is when the daemon received the order.
	OrderKnownAt time.Time

	recorder recorder
	admitted atomic.Int64
	inFlight atomic.Int64
	permit   atomic.Pointer[leasedPermit]
	// outcome holds an Outcome, recorded whether that is recorded.
	outcome  atomic.Uint32
	recorded atomic.Bool
}

// leasedPermit is a permit with its expiry time.
type leasedPermit struct {
	mode  Mode
	limit int64
	until time.Time
}

// SetPermit stores the answer to a report. Its lease starts at sent, the time at which the
// report was sent. The first outcome other than Undecided is final, unless another one is recorded.
func (t *Tracker) SetPermit(p Permit, sent time.Time) {
	switch {
	case p.Outcome == Undecided:
	case p.Recorded:
		t.outcome.Store(uint32(p.Outcome))
		t.recorded.Store(true)
	default:
		t.outcome.CompareAndSwap(uint32(Undecided), uint32(p.Outcome))
	}
	t.permit.Store(&leasedPermit{p.Mode, int64(p.AdmitUpTo), sent.Add(p.Lease)})
}

// Outcome returns the outcome of the rollout as known to this daemon.
func (t *Tracker) Outcome() Outcome { return Outcome(t.outcome.Load()) }

// OutcomeRecorded reports whether Outcome is recorded in the directory.
func (t *Tracker) OutcomeRecorded() bool { return t.recorded.Load() }

// Mode returns the mode of the gate at the given time.
func (t *Tracker) Mode(now time.Time) Mode { return t.modeAt(now) }

// modeAt returns the mode that follows from the outcome or, without one, from the permit. If
// the permit has expired, calls go to the servers that received them before the order.
func (t *Tracker) modeAt(now time.Time) Mode {
	switch t.Outcome() {
	case Succeeded:
		if t.NewVersion {
			return Open
		}
		return Closed
	case RolledBack:
		return modeBeforeOrder(Report{NewVersion: t.NewVersion})
	}
	h := t.permit.Load()
	if h == nil || !now.Before(h.until) {
		return modeBeforeOrder(Report{NewVersion: t.NewVersion})
	}
	return h.mode
}

// admit reports whether a call may be forwarded to the server, and counts it if so.
func (t *Tracker) admit(now time.Time) bool {
	switch t.modeAt(now) {
	case Closed:
		return false
	case Open:
		t.admitted.Add(1)
		return true
	}
	if t.admitted.Add(1) <= t.permit.Load().limit {
		return true
	}
	t.admitted.Add(-1)
	return false
}

// Report returns the report on the calls so far.
func (t *Tracker) Report(now time.Time) Report {
	return Report{
		Server: t.Server, NewVersion: t.NewVersion, OrderAge: now.Sub(t.OrderKnownAt), Outcome: t.Outcome(), Mode: t.modeAt(now),
		Admitted: uint64(max(t.admitted.Load(), 0)), InFlight: int(t.inFlight.Load()), Routes: t.recorder.snapshot(),
	}
}
