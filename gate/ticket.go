package gate

import "time"

// Outcome is the result of a call that held a slot.
type Outcome uint8

const (
	// Answered means that the backend server answered the call, with any status but the one of
	// Shed.
	Answered Outcome = iota + 1
	// Shed means that the backend server rejected the call for lack of capacity, with status 503.
	// Status 429 concerns the caller and counts as Answered.
	Shed
	// Failed means that the call got no complete answer.
	Failed
	// NotStarted means that the slot was released unused.
	NotStarted
)

type ticketState uint8

const (
	waiting ticketState = iota + 1
	running
	ended
)

// Ticket represents a call that waits for a slot or holds one.
type Ticket struct {
	gate     *Gate
	share    *share
	account  *account
	deadline time.Time
	// due orders the waiting calls of an account. It is the deadline or, for a call with a maximum
	// wait, the time at which it leaves the queue.
	due time.Time
	// ready receives nil when a waiting call gets a slot, or the error with which it is rejected.
	ready chan error
	// maxWait is the longest expected wait that the call accepts, 0 for no limit.
	maxWait time.Duration
	// objectiveWait is the longest wait after which the call is expected to be answered within
	// its objective. It is negative if the call has no objective or can no longer meet it.
	objectiveWait time.Duration
	// exceedsAccount is whether the call was rejected because of the waiting calls of its account
	// alone.
	exceedsAccount bool
	// waitTimeout is how long the call waits at most: until its due time, or if it has no maximum
	// wait, until its remaining time is the expected service time.
	waitTimeout time.Duration

	// The fields below are guarded by the gate's mutex.
	state   ticketState
	started time.Time
	// inUseAtStart is the number of slots in use right after the start, this one included.
	inUseAtStart int
	// charged is the expected slot time that the share was charged at the start.
	charged time.Duration
	// fast is whether the customer was classified as fast at the start.
	fast bool
}

// Done releases the slot and records the outcome. Only the first call of Done has an effect.
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
