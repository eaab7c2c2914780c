package once

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Lane is what a gate gives a sender to number its attempts with.
type Lane struct {
	// Boot is the life of the gate.
	Boot uint64
	// Number is unique within the boot.
	Number uint32
}

// GateID names one life of the daemon beside a backend server.
type GateID struct {
	Host string
	Boot uint64
}

// IDAllocatorOptions holds what a Lanes works with.
type IDAllocatorOptions struct {
	// OpenLane asks a gate to open a lane, in one exchange.
	OpenLane func(ctx context.Context, gate GateID) (Lane, error)
	// IdleAfter is how long an unused lane is trusted to be open still. It must
	// be well below the gates' LaneIdle.
	IdleAfter time.Duration
	Now       func() time.Time
}

// DefaultIDAllocatorOptions match DefaultAttemptsOptions.
func DefaultIDAllocatorOptions(open func(ctx context.Context, gate GateID) (Lane, error)) IDAllocatorOptions {
	return IDAllocatorOptions{OpenLane: open, IdleAfter: 5 * time.Minute, Now: time.Now}
}

// IDAllocator gives a sender's attempts their ids. It keeps one lane to each gate,
// so that only the first call to a gate costs an exchange. It is safe for
// concurrent use.
type IDAllocator struct {
	opts  IDAllocatorOptions
	clock clock
	gates sync.Map // Gate to *gateLane
}

// gateLane is the sender's side of the lane to one gate.
type gateLane struct {
	current atomic.Pointer[openLane]
	// opening holds a token that whoever opens a lane takes, so that all who
	// wait for it open one and each waits no longer than it may.
	opening chan struct{}
	// touched is when an id was last asked for, in the clock of Lanes.
	touched atomic.Int64
}

// openLane counts the attempts of one lane.
type openLane struct {
	lane Lane
	seq  atomic.Uint32
	// used is when an id was last given out, in the clock of Lanes.
	used atomic.Int64
}

// NewIDAllocator returns a Lanes that has no lane open.
func NewIDAllocator(opts IDAllocatorOptions) *IDAllocator {
	return &IDAllocator{opts: opts, clock: newClock(opts.Now)}
}

// Next returns the id of a new attempt at a gate. The error is Open's or
// ctx's; nothing of the attempt has been sent then.
func (l *IDAllocator) Next(ctx context.Context, gate GateID) (ID, error) {
	g := l.gate(gate)
	if id, ok := l.mint(g.current.Load()); ok {
		return id, nil
	}
	select {
	case <-g.opening:
		defer func() { g.opening <- struct{}{} }()
	case <-ctx.Done():
		return ID{}, ctx.Err()
	}
	if id, ok := l.mint(g.current.Load()); ok {
		return id, nil
	}
	l.prune()
	lane, err := l.opts.OpenLane(ctx, gate)
	if err != nil {
		return ID{}, err
	}
	o := &openLane{lane: lane}
	o.used.Store(int64(l.clock.elapsed()))
	id, _ := l.mint(o)
	g.current.Store(o)
	return id, nil
}

// Invalidate tells that a gate barred an attempt that it was sent: the lane may
// be closed there, and the next attempt opens another.
func (l *IDAllocator) Invalidate(gate GateID, id ID) {
	g := l.gate(gate)
	if o := g.current.Load(); o != nil && o.lane.Number == id.lane() {
		g.current.CompareAndSwap(o, nil)
	}
}

func (l *IDAllocator) gate(gate GateID) *gateLane {
	v, ok := l.gates.Load(gate)
	if !ok {
		g := &gateLane{opening: make(chan struct{}, 1)}
		g.opening <- struct{}{}
		v, _ = l.gates.LoadOrStore(gate, g)
	}
	g := v.(*gateLane)
	g.touched.Store(int64(l.clock.elapsed()))
	return g
}

// mint returns the lane's next id, unless there is no lane or it is idle or
// used up.
func (l *IDAllocator) mint(o *openLane) (ID, bool) {
	if o == nil {
		return ID{}, false
	}
	now := l.clock.elapsed()
	if now-time.Duration(o.used.Load()) >= l.opts.IdleAfter || o.seq.Load() >= math.MaxUint32/2 {
		return ID{}, false
	}
	o.used.Store(int64(now))
	return newID(o.lane.Boot, o.lane.Number, o.seq.Add(1)), true
}

// prune drops the gates that no attempt has been made at for long, so that
// those which are gone for good take no room.
func (l *IDAllocator) prune() {
	now := l.clock.elapsed()
	l.gates.Range(func(k, v any) bool {
		if now-time.Duration(v.(*gateLane).touched.Load()) >= l.opts.IdleAfter {
			l.gates.Delete(k)
		}
		return true
	})
}
