package gate

import (
	"math"
	"sync/atomic"
	"time"
)

// Load is the load that a gate reports.
type Load struct {
	InUse    int
	Queued   int
	Slots    int
	Draining bool
	// ServiceTime is the moving mean of the time that a call holds its slot.
	ServiceTime time.Duration
	// Wait is the expected wait until a call that arrives now starts.
	Wait time.Duration
	// LinkWait is the expected time until the network link of the gate's host has carried the
	// request bodies that are already requested. The daemon sets it, since the gate does not know
	// the link.
	LinkWait time.Duration
	// RateLimit is the maximum number of calls that start per second, 0 for no limit.
	RateLimit float64
	// RateRejected is the number of calls that were rejected because of the rate limit alone.
	RateRejected int64
	// ReservedSlots is the number of slots that calls which can wait leave to urgent calls.
	ReservedSlots int
	// WaitingAccounts is the number of accounts with waiting calls, each counted once for each of
	// its routes, if slots are shared between accounts.
	WaitingAccounts int
	// AccountRejected is the number of calls that were rejected because of the waiting calls of
	// their account alone.
	AccountRejected int64
	// RouteTime is the mean slot time of the calls of the answered call's route, 0 if it is not
	// known. Gate.Load does not set it; see Gate.RouteTime.
	RouteTime time.Duration
}

// UsableSlots returns the number of slots that the rate limit allows to be in use on average, at
// most Slots.
func (l Load) UsableSlots() int {
	if l.RateLimit == 0 {
		return l.Slots
	}
	inUse := math.Ceil(l.RateLimit * l.ServiceTime.Seconds())
	return int(max(min(inUse, float64(l.Slots)), 1))
}

// counters holds the latest Load for readers that do not hold the gate's mutex. A reader may see
// a mix of two consecutive states.
type counters struct {
	inUse, queued, slots atomic.Int64
	reserved             atomic.Int64
	// waitingAccounts and accountRejected hold the fields of Load with these names.
	waitingAccounts, accountRejected atomic.Int64
	draining                         atomic.Bool
	serviceTime, wait                atomic.Int64
	// rateLimit holds the bits of Load.RateLimit. rateReadyAt is when the rate limit allows a call
	// that is queued last to start, in nanoseconds since the gate was created.
	rateLimit   atomic.Uint64
	rateReadyAt atomic.Int64
	// rateRejected counts the calls that were rejected because of the rate limit alone.
	rateRejected atomic.Int64
}

// Load returns the current load without blocking.
func (g *Gate) Load() Load {
	l := Load{
		InUse:       int(g.load.inUse.Load()),
		Queued:      int(g.load.queued.Load()),
		Slots:       int(g.load.slots.Load()),
		Draining:    g.load.draining.Load(),
		ServiceTime: time.Duration(g.load.serviceTime.Load()),
		Wait:        time.Duration(g.load.wait.Load()),
		RateLimit:   math.Float64frombits(g.load.rateLimit.Load()),

		RateRejected:  g.load.rateRejected.Load(),
		ReservedSlots: int(g.load.reserved.Load()),

		WaitingAccounts: int(g.load.waitingAccounts.Load()),
		AccountRejected: g.load.accountRejected.Load(),
	}
	return g.withRateWait(l)
}

// LoadFor returns the current load with the expected wait of a call like c. The wait differs from
// the one of Load while slots are reserved: it is 0 for an urgent call if a reserved slot is free,
// and for a call that leaves these slots free only if one more is. If slots are shared between
// accounts, it is the wait of a call whose account has no other: the one load that a sender knows of
// a gate serves it for the calls of all accounts.
func (g *Gate) LoadFor(c Call) Load {
	l := g.Load()
	if l.ReservedSlots == 0 && !g.opts.AccountShares {
		return l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.queue.shares[c.key()]
	switch {
	case s == nil:
		return l
	case g.inUse < g.limit.allowed() && g.mayStart(s):
		l.Wait = 0
	default:
		l.Wait = g.newcomerWait(s, g.opts.Now())
	}
	return g.withRateWait(l)
}

// withRateWait returns the load with a wait of at least the time until the rate limit allows a
// start.
func (g *Gate) withRateWait(l Load) Load {
	if l.RateLimit > 0 {
		l.Wait = max(l.Wait, time.Duration(g.load.rateReadyAt.Load())-g.opts.Now().Sub(g.createdAt))
	}
	return l
}

// publish updates the state that Load returns, and closes the idle channel once the gate is
// draining and has no calls left. The caller holds mu.
func (g *Gate) publish() {
	g.load.inUse.Store(int64(g.inUse))
	g.load.queued.Store(int64(g.queue.len))
	g.load.slots.Store(int64(g.limit.allowed()))
	if g.opts.UrgentSlots {
		g.load.reserved.Store(int64(g.reservedSlots()))
	}
	if g.opts.AccountShares {
		g.load.waitingAccounts.Store(int64(g.queue.waitingAccounts()))
	}
	g.load.draining.Store(g.draining)
	g.load.serviceTime.Store(int64(g.queue.serviceTime.value))
	g.load.wait.Store(int64(g.expectedWait()))
	g.publishRate()
	if g.draining && !g.isIdle && g.inUse == 0 && g.queue.len == 0 {
		g.isIdle = true
		close(g.idleCh)
	}
}

func (g *Gate) publishRate() {
	perSecond := g.rate.perSecond()
	if perSecond > 0 {
		now := g.opts.Now()
		readyAt := now.Sub(g.createdAt) + g.rate.wait(g.queue.len+1, now)
		g.load.rateReadyAt.Store(int64(readyAt))
	}
	g.load.rateLimit.Store(math.Float64bits(perSecond))
}

// expectedWait returns the expected wait for a slot of a call that is queued last and has the
// mean service time. A slot that is reserved for urgent calls counts as in use. The caller holds
// mu.
func (g *Gate) expectedWait() time.Duration {
	if g.inUse+g.reservedForNested()+g.urgentHeadroom(lastRank) < g.limit.allowed() {
		return 0
	}
	ahead := g.queue.serviceTime.value
	for _, s := range g.queue.active {
		ahead += time.Duration(s.queued) * s.serviceTime.value
	}
	return ahead / time.Duration(g.limit.allowed())
}
