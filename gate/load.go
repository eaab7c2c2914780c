package gate

import (
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
	// Wait is the expected wait for a slot of a call that arrives now.
	Wait time.Duration
}

// counters holds the latest Load for readers that do not hold the gate's mutex. A reader may see
// a mix of two consecutive states.
type counters struct {
	inUse, queued, slots atomic.Int64
	draining             atomic.Bool
	serviceTime, wait    atomic.Int64
}

// Load returns the current load without blocking.
func (g *Gate) Load() Load {
	return Load{
		InUse:       int(g.load.inUse.Load()),
		Queued:      int(g.load.queued.Load()),
		Slots:       int(g.load.slots.Load()),
		Draining:    g.load.draining.Load(),
		ServiceTime: time.Duration(g.load.serviceTime.Load()),
		Wait:        time.Duration(g.load.wait.Load()),
	}
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
	if g.draining && !g.isIdle && g.inUse == 0 && g.queue.len == 0 {
		g.isIdle = true
		close(g.idleCh)
	}
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
