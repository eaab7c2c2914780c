// Package gate admits calls to one backend server. A gate counts the slots in
// use, queues within the time that each call has left, and refuses before a
// call starts what could not be answered in time. Calls of a more urgent rank go
// first; within a rank slot time is shared fairly between customers, so that none
// waits for another's excess.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// Options holds the bounds of a Gate.
type Options struct {
	// Slots is how many calls the backend server runs at once.
	Slots int
	// FixedSlots is whether a backend server that sheds calls while it has no more
	// than its slots keeps all of them. It suits servers that shed part of their
	// calls whatever their load: fewer slots would shed no less of them.
	FixedSlots bool
	// RetryAfterIgnoresObjective has refused callers come back when the queue will have been served,
	// also where they can then no longer be answered within their objective.
	RetryAfterIgnoresObjective bool
	// MaxQueue is how many calls may wait. It bounds memory; the time that
	// calls have left bounds the wait.
	MaxQueue int
	// ServiceTime is the time that a call is assumed to hold its slot until
	// the first ones have told.
	ServiceTime time.Duration
	// Now reads a monotonic clock. It must run with the runtime's timers, which
	// end the waits.
	Now func() time.Time
}

// DefaultOptions suit a backend server with 10 slots and calls of a few
// milliseconds.
func DefaultOptions() Options {
	return Options{
		Slots:       10,
		MaxQueue:    1024,
		ServiceTime: 5 * time.Millisecond,
		Now:         time.Now,
	}
}

// Refusals are made once: under overload there are many, and none is worth a
// stack trace.
var (
	errDraining      = errkind.New(errkind.Draining, "the backend server is leaving")
	errOverloaded    = errkind.New(errkind.Overloaded, "the queue is too long for the time left")
	errDisplaced     = errkind.New(errkind.Overloaded, "the place in the queue went to a customer below its share")
	errTooLittleTime = errkind.New(errkind.DeadlineNotRun, "too little time is left to run the call")
	errCanceled      = errkind.New(errkind.Canceled, "canceled before the call started")
)

// Gate admits calls to one backend server. It is safe for concurrent use.
type Gate struct {
	opts   Options
	load   counters
	idleCh chan struct{}

	mu       sync.Mutex
	limit    limit
	inUse    int
	draining bool
	isIdle   bool
	queue    *fairQueue

	// nestedSlotReserved is set once a slot is kept for nested calls.
	nestedSlotReserved atomic.Bool
}

// New returns a gate that admits calls.
func New(opts Options) *Gate {
	g := &Gate{
		opts:   opts,
		idleCh: make(chan struct{}),
		limit:  newLimit(opts.Slots, opts.FixedSlots),
		queue:  newFairQueue(opts.ServiceTime),
	}
	g.publish()
	return g
}

// Enter takes a slot for a call that must be answered within remaining. It
// waits for a slot only as long as the call can still be answered in time. The
// error is an *errkind.Error, and none of its kinds lets the call start:
// Overloaded and DeadlineNotRun for lack of time, Draining, and Canceled when
// ctx ends first.
func (g *Gate) Enter(ctx context.Context, customer string, remaining time.Duration) (*Ticket, error) {
	return g.Admit(ctx, Call{Customer: customer, Remaining: remaining})
}

// Admit is Enter for calls with a rank.
func (g *Gate) Admit(ctx context.Context, c Call) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, errCanceled
	}
	if c.Remaining <= 0 {
		return nil, errTooLittleTime
	}
	now := g.opts.Now()
	t := &Ticket{gate: g, deadline: now.Add(c.Remaining)}

	g.mu.Lock()
	err := g.startOrQueue(t, c, now)
	queued := t.state == waiting
	g.publish()
	g.mu.Unlock()

	switch {
	case err != nil:
		return nil, err
	case queued:
		return g.wait(ctx, t)
	}
	return t, nil
}

// Check returns the error with which Admit would refuse a call that came now, nil if
// it would be let in. It takes no slot and queues nothing: what it finds may be outdated at
// once.
func (g *Gate) Check(c Call) error {
	if c.Remaining <= 0 {
		return errTooLittleTime
	}
	now := g.opts.Now()
	t := &Ticket{gate: g, deadline: now.Add(c.Remaining)}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, err := g.decide(t, c, now)
	return err
}

// decide reports whether the ticket may start at once; an error says why it may not
// even wait. The caller holds mu. A free slot goes to the newcomer even if others
// wait: dispatch has left it free because they may not have it.
func (g *Gate) decide(t *Ticket, c Call, now time.Time) (start bool, err error) {
	if g.draining {
		return false, errDraining
	}
	t.share = g.queue.share(c.key(), now)
	t.maxWait = c.maxWait(t.share.serviceTime)
	t.objectiveWait = c.objectiveWait(t.share.serviceTime)
	t.due = t.deadline
	if t.maxWait > 0 {
		t.due = now.Add(min(t.maxWait+t.maxWait/maxWaitSlackDivisor, t.deadline.Sub(now)-t.share.serviceTime.value))
	}
	g.queue.classifyShares(g.limit.allowed(), now)
	if g.inUse < g.limit.allowed() && g.mayStart(t.share) {
		return true, nil
	}
	return false, g.checkWait(t, now)
}

// startOrQueue starts the ticket, queues it or returns why neither. The caller holds mu.
func (g *Gate) startOrQueue(t *Ticket, c Call, now time.Time) error {
	start, err := g.decide(t, c, now)
	if err != nil {
		return err
	}
	if start {
		g.start(t, now)
		return nil
	}
	if g.queue.len >= g.opts.MaxQueue && !g.displaceFor(t.share) {
		return errOverloaded.After(maxRetryAfter)
	}
	t.ready = make(chan error, 1)
	t.waitTimeout = t.due.Sub(now)
	if t.maxWait == 0 {
		t.waitTimeout -= t.share.serviceTime.value
	}
	t.state = waiting
	g.queue.push(t)
	return nil
}

// displaceFor makes room for a call of the share by refusing one of the customer
// that has most calls waiting, if that is another one. A customer that fills
// the queue thus fills it with its own calls only.
func (g *Gate) displaceFor(s *share) bool {
	longest := g.queue.longest()
	if longest == nil || longest == s || len(longest.waiting) <= len(s.waiting)+1 {
		return false
	}
	g.reject(longest.waiting[len(longest.waiting)-1], errDisplaced)
	return true
}

// reject takes a ticket out of the queue and tells its waiter.
func (g *Gate) reject(t *Ticket, err error) {
	g.queue.remove(t)
	t.state = ended
	t.ready <- err
}

// start gives the ticket a slot.
func (g *Gate) start(t *Ticket, now time.Time) {
	g.inUse++
	t.state = running
	t.started = now
	t.inUseAtStart = g.inUse
	g.queue.charge(t)
}

// dispatch fills free slots from the queue. Calls that have waited too long for
// what they have left are refused instead of started: they would only take a
// slot from one that can still be answered.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.len > 0 && g.inUse < g.limit.allowed() {
		t := g.next()
		if t == nil {
			return
		}
		if t.deadline.Sub(now) < t.share.serviceTime.value {
			g.reject(t, errTooLittleTime)
			continue
		}
		g.queue.remove(t)
		g.start(t, now)
		t.ready <- nil
	}
}

// next returns the waiting ticket that goes next: of the most urgent rank and of
// the customer with the lowest tag in it among those that may start, the one with
// the earliest deadline.
func (g *Gate) next() *Ticket {
	var first *share
	for _, s := range g.queue.active {
		if (first == nil || s.before(first)) && g.mayStart(s) {
			first = s
		}
	}
	if first == nil {
		return nil
	}
	return first.waiting[0]
}

// wait blocks until the ticket has a slot, is refused, or its time is up.
func (g *Gate) wait(ctx context.Context, t *Ticket) (*Ticket, error) {
	timer := time.NewTimer(t.waitTimeout)
	defer timer.Stop()
	select {
	case err := <-t.ready:
		if err != nil {
			return nil, err
		}
		return t, nil
	case <-ctx.Done():
		return g.stopWaiting(t, errCanceled)
	case <-timer.C:
		return g.stopWaiting(t, g.waitTimeoutError(t))
	}
}

// waitTimeoutError is the reason of a call that has waited long enough: for its time, or
// for what it was ready to wait. A more urgent rank may have gone before it, or calls
// have taken longer than was to be expected.
func (g *Gate) waitTimeoutError(t *Ticket) *errkind.Error {
	if t.maxWait > 0 && t.deadline.Sub(g.opts.Now()) > t.share.serviceTime.value {
		return errOverloaded.After(t.retryAfter(g.Load().Wait))
	}
	return errTooLittleTime
}

// stopWaiting gives up waiting. A slot that was granted meanwhile is kept if only the
// time ran out, since the grant made sure that enough was left, and given back
// if the caller has gone.
func (g *Gate) stopWaiting(t *Ticket, reason *errkind.Error) (*Ticket, error) {
	g.mu.Lock()
	if t.state == waiting {
		g.queue.remove(t)
		t.state = ended
		g.publish()
		g.mu.Unlock()
		return nil, reason
	}
	g.mu.Unlock()
	if err := <-t.ready; err != nil {
		return nil, err
	}
	if reason == errCanceled {
		t.Done(NotStarted)
		return nil, reason
	}
	return t, nil
}

// SetSlots changes the number of slots. Calls beyond a lower number run on.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.setAnnounced(n)
	g.dispatch(g.opts.Now())
	g.publish()
}

// Drain refuses new calls from now on. Those that wait keep their place: they
// were promised an answer in time, and refusing them would cost their callers a
// second attempt.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.publish()
}

// Evict refuses new calls from now on and those that wait as well. The backend
// server will not serve them; another one may.
func (g *Gate) Evict() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for g.queue.len > 0 {
		g.reject(g.queue.longest().waiting[0], errDraining)
	}
	g.publish()
}

// Idle returns a channel that is closed once the gate drains and neither runs
// nor holds a call.
func (g *Gate) Idle() <-chan struct{} { return g.idleCh }
