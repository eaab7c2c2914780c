package gate

import "time"

// Outcome tells how a call that had a slot ended.
type Outcome uint8

const (
	// Answered calls got the backend server's answer, whatever its status but
	// for Shed.
	Answered Outcome = iota + 1
	// Shed calls were turned away by the backend server itself for lack of
	// room: status 503. A 429 is about the caller and counts as answered.
	Shed
	// Failed calls got no whole answer.
	Failed
	// NotStarted calls gave the slot back unused.
	NotStarted
)

type ticketState uint8

const (
	waiting ticketState = iota + 1
	running
	ended
)

// Ticket is a call's hold on one slot.
type Ticket struct {
	gate     *Gate
	share    *share
	deadline time.Time
	// due orders the waiting calls of a share: the deadline or, for a call that may wait
	// so long only, when it leaves.
	due time.Time
	// ready tells a waiting call that it has a slot, or why not.
	ready chan error
	// maxWait is how long the call may be expected to wait, 0 for no bound.
	maxWait time.Duration
	// objectiveWait is how long it may wait and still be answered within its objective; below 0
	// where it has none or it is too late for that.
	objectiveWait time.Duration
	// waitTimeout is how long the call may wait and still be answered in time.
	waitTimeout time.Duration

	// The rest is guarded by the gate's mutex.
	state   ticketState
	started time.Time
	// inUseAtStart is how many slots were in use from the start on, this one included.
	inUseAtStart int
	// charged is the slot time that the customer was charged at the start.
	charged time.Duration
	// fast is whether the customer was fast at the start.
	fast bool
}

// Done gives the slot back. Only the first call has an effect.
func (t *Ticket) Done(o Outcome) {
	g := t.gate
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != running {
		return
	}
	t.state = ended
	g.inUse--
	g.queue.settle(t, now, o)
	g.limit.recordOutcome(o, t.inUseAtStart, now)
	g.dispatch(now)
	g.publish()
}
