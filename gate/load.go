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
	// RateLimit is the maximum number of calls that start per second, 0 for no limit.
	RateLimit float64
	// RateRejected is the number of calls that were rejected because of the rate limit alone.
	RateRejected int64
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
	draining             atomic.Bool
	serviceTime, wait    atomic.Int64
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

		RateRejected: g.load.rateRejected.Load(),
	}
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
// mean service time. The caller holds mu.
func (g *Gate) expectedWait() time.Duration {
	if g.inUse+g.reservedForNested() < g.limit.allowed() {
		return 0
	}
	ahead := g.queue.serviceTime.value
	for _, s := range g.queue.active {
		ahead += time.Duration(len(s.waiting)) * s.serviceTime.value
	}
	return ahead / time.Duration(g.limit.allowed())
}
