package once

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Lane identifies a sequence of attempts from one sender to one gate. The gate opens the
// lane, and the sender numbers its attempts within it.
type Lane struct {
	// Boot identifies the run of the gate's daemon.
	Boot uint64
	// Number is unique within a boot of the gate.
	Number uint32
}

// GateID identifies one boot of the gate on a host.
type GateID struct {
	Host string
	Boot uint64
}

// IDAllocatorOptions configures an IDAllocator.
type IDAllocatorOptions struct {
	// OpenLane requests a new lane from a gate, in one round trip.
	OpenLane func(ctx context.Context, gate GateID) (Lane, error)
	// IdleAfter is how long an unused lane is assumed to be open at the gate. It must be
	// well below the gates' LaneIdleTimeout.
	IdleAfter time.Duration
	// Now returns the current time. Only differences between times are used.
	Now func() time.Time
}

// DefaultIDAllocatorOptions returns options that match DefaultAttemptTableOptions.
func DefaultIDAllocatorOptions(open func(ctx context.Context, gate GateID) (Lane, error)) IDAllocatorOptions {
	return IDAllocatorOptions{OpenLane: open, IdleAfter: 5 * time.Minute, Now: time.Now}
}

// IDAllocator allocates the IDs of a sender's attempts. It reuses one lane per gate, so
// that only the first call to a gate costs an additional round trip. It is safe for
// concurrent use.
type IDAllocator struct {
	opts  IDAllocatorOptions
	clock clock
	gates sync.Map // GateID to *gateLane
}

// gateLane is the sender's state of the lane to one gate.
type gateLane struct {
	// current is the open lane, or nil if there is none.
	current atomic.Pointer[openLane]
	// openToken holds one token. A goroutine takes it to open a lane, so that only one
	// lane is opened at a time, and the others wait no longer than their contexts allow.
	openToken chan struct{}
	// lastRequested is when the gate was last looked up, on the allocator's clock.
	lastRequested atomic.Int64
}

// openLane is a lane with the sequence number of its last attempt.
type openLane struct {
	lane Lane
	seq  atomic.Uint32
	// lastUsed is when an ID was last allocated, on the allocator's clock.
	lastUsed atomic.Int64
}

// NewIDAllocator returns an IDAllocator without open lanes.
func NewIDAllocator(opts IDAllocatorOptions) *IDAllocator {
	return &IDAllocator{opts: opts, clock: newClock(opts.Now)}
}

// Next returns the ID of a new attempt at a gate. The error is that of OpenLane or of ctx.
// The attempt must not be sent then.
func (a *IDAllocator) Next(ctx context.Context, gate GateID) (ID, error) {
	g := a.gate(gate)
	if id, ok := a.nextID(g.current.Load()); ok {
		return id, nil
	}
	select {
	case <-g.openToken:
		defer func() { g.openToken <- struct{}{} }()
	case <-ctx.Done():
		return ID{}, ctx.Err()
	}
	if id, ok := a.nextID(g.current.Load()); ok {
		return id, nil
	}
	a.pruneGates()
	lane, err := a.opts.OpenLane(ctx, gate)
	if err != nil {
		return ID{}, err
	}
	o := &openLane{lane: lane}
	o.lastUsed.Store(int64(a.clock.elapsed()))
	id, _ := a.nextID(o)
	g.current.Store(o)
	return id, nil
}

// Invalidate records that a gate rejected an attempt as barred. The gate may have closed
// the attempt's lane, so the next attempt opens a new one.
func (a *IDAllocator) Invalidate(gate GateID, id ID) {
	g := a.gate(gate)
	if o := g.current.Load(); o != nil && o.lane.Number == id.lane() {
		g.current.CompareAndSwap(o, nil)
	}
}

// gate returns the state of the lane to a gate, and creates it if necessary.
func (a *IDAllocator) gate(gate GateID) *gateLane {
	v, ok := a.gates.Load(gate)
	if !ok {
		g := &gateLane{openToken: make(chan struct{}, 1)}
		g.openToken <- struct{}{}
		v, _ = a.gates.LoadOrStore(gate, g)
	}
	g := v.(*gateLane)
	g.lastRequested.Store(int64(a.clock.elapsed()))
	return g
}

// nextID returns the next ID of a lane. It reports false if o is nil, or if the lane is idle
// or its sequence numbers are used up.
func (a *IDAllocator) nextID(o *openLane) (ID, bool) {
	if o == nil {
		return ID{}, false
	}
	now := a.clock.elapsed()
	if now-time.Duration(o.lastUsed.Load()) >= a.opts.IdleAfter || o.seq.Load() >= math.MaxUint32/2 {
		return ID{}, false
	}
	o.lastUsed.Store(int64(now))
	return newID(o.lane.Boot, o.lane.Number, o.seq.Add(1)), true
}

// pruneGates removes the gates that no attempt has been sent to for IdleAfter, so that gates
// that no longer exist take no memory.
func (a *IDAllocator) pruneGates() {
	now := a.clock.elapsed()
	a.gates.Range(func(k, v any) bool {
		if now-time.Duration(v.(*gateLane).lastRequested.Load()) >= a.opts.IdleAfter {
			a.gates.Delete(k)
		}
		return true
	})
}
