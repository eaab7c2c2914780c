// Package gate implements admission control for the calls to one backend server. A gate limits
// the calls in flight to the server's slots, queues the calls that can wait, and rejects a call
// before it starts if it could not be answered in time. Calls of a more urgent rank start first.
// Within a rank, slot time is shared fairly between customers, so that a customer's excess load
// delays only its own calls.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// The errors are allocated once: under overload many calls are rejected, and none of the errors
// needs a stack trace.
var (
	errDraining      = errkind.New(errkind.Draining, "the backend server is draining")
	errOverloaded    = errkind.New(errkind.Overloaded, "the queue is too long for the time left")
	errRateLimited   = errkind.New(errkind.Overloaded, "the backend server's rate limit allows no start in the time left")
	errAccountExcess = errkind.New(errkind.Overloaded, "the account's own waiting calls leave too little time")
	errDisplaced     = errkind.New(errkind.Overloaded, "displaced from the full queue by a customer with fewer waiting calls")
	errTooLittleTime = errkind.New(errkind.DeadlineNotRun, "too little time is left to run the call")
	errCanceled      = errkind.New(errkind.Canceled, "canceled before the call started")
)

// Gate admits calls to one backend server. It is safe for concurrent use.
type Gate struct {
	opts   Options
	load   counters
	idleCh chan struct{}
	// createdAt is the time that counters.rateReadyAt counts from.
	createdAt time.Time

	mu       sync.Mutex
	limit    limit
	rate     rateLimit
	inUse    int
	draining bool
	isIdle   bool
	queue    *fairQueue

	// nestedSlotReserved is set once a slot is reserved for nested calls.
	nestedSlotReserved atomic.Bool
}

// New returns a gate that admits calls.
func New(opts Options) *Gate {
	g := &Gate{
		opts:      opts,
		idleCh:    make(chan struct{}),
		createdAt: opts.Now(),
		limit:     newLimit(opts.Slots, opts.FixedSlots),
		queue:     newFairQueue(opts),
	}
	g.publish()
	return g
}

// Enter acquires a slot for a call that must be answered within the remaining time. It waits for
// a slot only as long as the call can still be answered in time. The error is an *errkind.Error,
// and the call must not start after an error of any kind: Overloaded or DeadlineNotRun if the
// time does not suffice, Draining if the gate drains, and Canceled if ctx ends first.
func (g *Gate) Enter(ctx context.Context, customer string, remaining time.Duration) (*Ticket, error) {
	return g.Admit(ctx, Call{Customer: customer, Remaining: remaining})
}

// Admit acquires a slot as Enter does, for a call with a rank, a maximum wait or an objective.
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
	if g.rate.perSecond() > 0 || g.queue.reserve.urgent != nil {
		// The rate limit may allow a start that the timer has not made yet, or a reservation may
		// have ended. The slot belongs to a waiting call.
		g.dispatch(now)
	}
	err := g.startOrQueue(t, c, now)
	queued := t.state == waiting
	g.publish()
	g.mu.Unlock()

	switch {
	case err != nil:
		g.countRejection(err)
		if t.exceedsAccount {
			g.load.accountRejected.Add(1)
		}
		return nil, err
	case queued:
		return g.wait(ctx, t)
	}
	return t, nil
}

// Check returns the error that Admit would return for the call at this moment, or nil if Admit
// would start or queue it. It does not consider MaxQueue. Check neither acquires a slot nor queues
// the call, so the result may be outdated at once.
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

// decide reports whether the ticket may start immediately. A non-nil error is the reason why it
// may not wait either. A free slot goes to the new call even if others wait: dispatch leaves a
// slot free only if none of the waiting calls may use it. The caller holds mu.
func (g *Gate) decide(t *Ticket, c Call, now time.Time) (start bool, err error) {
	if g.draining {
		return false, errDraining
	}
	t.share = g.queue.share(c.key(), now)
	t.account = g.queue.account(t.share, c.Account, c.Weight, now)
	if g.opts.UrgentSlots {
		t.share.recordTerms(c)
	}
	g.queue.classifyShares(g.limit.allowed(), now)
	t.maxWait = c.maxWait(t.share.serviceTime)
	if t.share.yields {
		t.maxWait = c.patientWait(t.share.serviceTime)
	}
	t.objectiveWait = c.objectiveWait(t.share.serviceTime)
	t.due = t.deadline
	if t.maxWait > 0 {
		slack := t.maxWait / maxWaitSlackDivisor
		if t.share.yields {
			// The maximum wait is the last moment at which most calls can still be answered in time.
			slack = 0
		}
		t.due = now.Add(min(t.maxWait+slack, t.deadline.Sub(now)-t.share.serviceTime.value))
	}
	if g.inUse < g.limit.allowed() && g.rate.allows(now) && g.mayStart(t.share) {
		return true, nil
	}
	return false, g.checkWait(t, now)
}

// startOrQueue starts the ticket, queues it, or returns the reason why it does neither. The
// caller holds mu.
func (g *Gate) startOrQueue(t *Ticket, c Call, now time.Time) error {
	start, err := g.decide(t, c, now)
	if err != nil {
		return err
	}
	if start {
		g.start(t, now)
		return nil
	}
	if g.queue.len >= g.opts.MaxQueue && !g.displaceFor(t.account) {
		return errOverloaded.WithRetryAfter(maxRetryAfter)
	}
	t.ready = make(chan error, 1)
	t.waitTimeout = t.due.Sub(now)
	if t.maxWait == 0 {
		t.waitTimeout -= t.share.serviceTime.value
	}
	t.state = waiting
	g.queue.push(t)
	g.setRateTimer(now)
	return nil
}

// displaceFor makes room in a full queue for a call of the account by rejecting the last call of
// the account with the most waiting calls relative to its weight, provided that it is another
// account and, at equal weights, has at least two more waiting calls. A customer that fills the queue
// therefore displaces only its own calls, and the only waiting call of an account is never displaced.
// It reports whether it made room.
func (g *Gate) displaceFor(a *account) bool {
	longest := g.queue.longest()
	if longest == nil || longest == a || longest.excessCalls() <= float64(len(a.waiting))/a.relativeWeight() {
		return false
	}
	g.reject(longest.waiting[len(longest.waiting)-1], errDisplaced)
	return true
}

// reject removes a ticket from the queue and sends the error to its waiter.
func (g *Gate) reject(t *Ticket, err error) {
	g.queue.remove(t)
	t.state = ended
	t.ready <- err
}

// start assigns a slot to the ticket.
func (g *Gate) start(t *Ticket, now time.Time) {
	g.inUse++
	g.rate.take(now)
	t.state = running
	t.started = now
	t.inUseAtStart = g.inUse
	g.queue.charge(t)
}

// dispatch assigns free slots to queued calls. It rejects a call whose remaining time is shorter
// than its expected service time, since the call would occupy a slot that another call can still
// use in time.
func (g *Gate) dispatch(now time.Time) {
	defer g.setRateTimer(now)
	if g.queue.reserve.urgent != nil {
		// A reservation ends when no urgent call has arrived for a while.
		g.queue.classifyShares(g.limit.allowed(), now)
	}
	for g.queue.len > 0 && g.inUse < g.limit.allowed() && g.rate.allows(now) {
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

// next returns the ticket that starts next. Among the shares that may start a call, it selects
// the most urgent rank, within the rank the share and the account with the lowest tags, and within
// the account the call with the earliest due time. It returns nil if no share may start a call.
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
	return first.next()
}

// wait blocks until the ticket has a slot, is rejected, or its wait times out.
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
		return g.stopWaiting(t, func(*Ticket) *errkind.Error { return errCanceled })
	case <-timer.C:
		return g.stopWaiting(t, g.waitTimeoutError)
	}
}

// waitTimeoutError returns the error for a call whose wait timed out: DeadlineNotRun if its
// remaining time is too short to run it, Overloaded if only its maximum wait has passed. Waits
// exceed the forecast if calls of a more urgent rank arrive or if calls take longer than
// expected. The caller holds mu.
func (g *Gate) waitTimeoutError(t *Ticket) *errkind.Error {
	if t.maxWait > 0 && t.deadline.Sub(g.opts.Now()) > t.share.serviceTime.value {
		return g.overloadedError().WithRetryAfter(t.retryAfter(g.Load().Wait))
	}
	return errTooLittleTime
}

// stopWaiting ends the wait of a ticket and returns the reason as its error. If a slot was
// assigned concurrently, the call keeps it when only its wait timed out, because dispatch has
// checked that the remaining time suffices; if the caller canceled, the slot is released.
func (g *Gate) stopWaiting(t *Ticket, reasonFor func(*Ticket) *errkind.Error) (*Ticket, error) {
	g.mu.Lock()
	reason := reasonFor(t)
	if t.state == waiting {
		g.queue.remove(t)
		t.state = ended
		g.countRejection(reason)
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

// SetSlots changes the number of slots. If the number is reduced, the calls that already run
// continue.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.setAnnounced(n)
	g.dispatch(g.opts.Now())
	g.publish()
}

// Drain rejects new calls from now on. Waiting calls keep their place: they were admitted because
// they can be answered in time, and rejecting them would cost their callers another attempt.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.publish()
}

// Evict rejects new calls from now on and all waiting calls as well. The backend server will not
// serve them, but another one may.
func (g *Gate) Evict() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for g.queue.len > 0 {
		g.reject(g.queue.longest().waiting[0], errDraining)
	}
	g.publish()
}

// Idle returns a channel that is closed once the gate is draining and has no running or waiting
// calls.
func (g *Gate) Idle() <-chan struct{} { return g.idleCh }
