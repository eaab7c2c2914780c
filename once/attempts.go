package once

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// AttemptTableOptions configures an AttemptTable.
type AttemptTableOptions struct {
	// Boot identifies this run of the daemon. Attempts for another boot are rejected.
	Boot uint64
	// Bounds apply to all lanes together. KeepFor should exceed the maximum duration
	// of a call: an attempt that arrives more than KeepFor after later attempts of its
	// lane may be rejected.
	Bounds Bounds
	// MaxLanes is the maximum number of open lanes. At the limit, idle lanes are closed,
	// or the least recently used lane if none is idle.
	MaxLanes int
	// LaneIdleTimeout is how long a lane stays open without an attempt. If a sender's
	// process is paused for longer, all its attempts that have not yet arrived are
	// rejected.
	LaneIdleTimeout time.Duration
	// Now returns the current time. Only differences between times are used.
	Now func() time.Time
}

// DefaultAttemptTableOptions returns options for a gate that receives attempts from about
// a thousand daemons.
func DefaultAttemptTableOptions(boot uint64) AttemptTableOptions {
	return AttemptTableOptions{
		Boot: boot,
		Bounds: Bounds{
			KeepFor:          2 * time.Minute,
			MaxRecords:       128 << 10,
			MaxRunning:       16 << 10,
			MaxBytes:         64 << 20,
			MaxResponseBytes: 256 << 10,
		},
		MaxLanes:        16 << 10,
		LaneIdleTimeout: 10 * time.Minute,
		Now:             time.Now,
	}
}

// Outcome is the outcome of an attempt, as far as the gate knows it.
type Outcome uint8

// The possible outcomes.
const (
	// NotRun means that the attempt has not run and never will.
	NotRun Outcome = iota + 1
	// Running means that the attempt has started, or may still start.
	Running
	// Ran means that the attempt has run to completion.
	Ran
	// Unknown means that the attempt may or may not have run.
	Unknown
)

// QueryResult is the answer to a query for the outcome of an attempt.
type QueryResult struct {
	Outcome Outcome
	// Response is the complete response of an attempt that ran, or nil if it is not
	// stored.
	Response *Response
}

// AttemptTable records the attempts at a gate: which of them run, ran, or must never
// start. It is safe for concurrent use. Lanes are spread over shards, each with its own
// lock.
//
// Memory is bounded without relying on wall-clock time. Each lane has a floor, the
// highest sequence number whose entry was evicted. An attempt above the floor without an
// entry has neither started nor been barred, so it may start, or be barred and reported
// as NotRun. An attempt at or below the floor, or of a closed lane, may have started or
// been barred before: it never starts, and a query reports it as Unknown. Hence no
// attempt starts after it was reported as NotRun, however late it arrives, and none is
// reported as NotRun after it started.
//
// These guarantees require that a sender sends each attempt once, on one stream.
type AttemptTable struct {
	opts  AttemptTableOptions
	clock clock
	// lastLane is the number of the last lane that was opened.
	lastLane atomic.Uint64
	shards   [attemptShards]attemptShard
}

// attemptShards is the number of shards of an AttemptTable.
const attemptShards = 16

// attemptShard holds the lanes whose numbers are congruent modulo attemptShards.
type attemptShard struct {
	mu    sync.Mutex
	lanes map[uint32]*lane
	calls *callTable
}

// lane is the gate's state of a Lane.
type lane struct {
	// floor is the highest sequence number whose entry was evicted.
	floor uint32
	// lastUsed is when an attempt last started, on the table's clock, or when the lane
	// was opened.
	lastUsed time.Duration
}

// NewAttemptTable returns an empty table.
func NewAttemptTable(opts AttemptTableOptions) *AttemptTable {
	a := &AttemptTable{opts: opts, clock: newClock(opts.Now)}
	bounds := opts.Bounds.split(attemptShards)
	for i := range a.shards {
		s := &a.shards[i]
		s.lanes = make(map[uint32]*lane)
		s.calls = newCallTable(bounds, s.raiseFloor)
	}
	return a
}

// raiseFloor raises the floor of a lane when the entry of a call number is evicted.
func (s *attemptShard) raiseFloor(n uint64) {
	if l := s.lanes[uint32(n>>32)]; l != nil {
		l.floor = max(l.floor, uint32(n))
	}
}

func (a *AttemptTable) shard(lane uint32) *attemptShard { return &a.shards[lane%attemptShards] }

// OpenLane opens a lane for a sender. Lane numbers are not reused. The error is
// errkind.Overloaded once all numbers have been used.
func (a *AttemptTable) OpenLane() (Lane, error) {
	n := a.lastLane.Add(1)
	if n > math.MaxUint32 {
		return Lane{}, errkind.New(errkind.Overloaded, "no lane numbers are left")
	}
	number := uint32(n)
	s := a.shard(number)
	now := a.clock.elapsed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lanes) >= max(1, a.opts.MaxLanes/attemptShards) {
		s.evictLanes(now, a.opts.LaneIdleTimeout)
	}
	s.lanes[number] = &lane{lastUsed: now}
	return Lane{Boot: a.opts.Boot, Number: number}, nil
}

// evictLanes closes all lanes that have been idle for the given time, or, if there is
// none, the least recently used lane.
func (s *attemptShard) evictLanes(now, idle time.Duration) {
	var oldest uint32
	closed := false
	for n, l := range s.lanes {
		if now-l.lastUsed >= idle {
			delete(s.lanes, n)
			closed = true
			continue
		}
		if o := s.lanes[oldest]; o == nil || l.lastUsed < o.lastUsed {
			oldest = n
		}
	}
	if !closed {
		delete(s.lanes, oldest)
	}
}

// Start records the start of an attempt. It must be called right before the first byte of
// the attempt is sent to the backend server. If it returns an error, the attempt must not
// be sent: errkind.Barred and errkind.Overloaded mean that the attempt has not run and
// never will, errkind.OutcomeUnknown that it has started before.
func (a *AttemptTable) Start(id ID) error {
	if id.Boot() != a.opts.Boot {
		return errkind.New(errkind.Barred, "the attempt is addressed to another boot of this daemon")
	}
	s := a.shard(id.lane())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := a.clock.elapsed()
	s.calls.evict(now)
	if e := s.calls.entries[id.callNumber()]; e != nil {
		return duplicateStartError(e)
	}
	l := s.lanes[id.lane()]
	switch {
	case l == nil || now-l.lastUsed >= a.opts.LaneIdleTimeout:
		delete(s.lanes, id.lane())
		return errkind.New(errkind.Barred, "the lane of the attempt is closed")
	case id.seq() <= l.floor:
		return errkind.New(errkind.Barred, "the attempt arrived too late to determine whether it was barred")
	case s.calls.full():
		s.calls.bar(id.callNumber(), now)
		return errkind.New(errkind.Overloaded, "too many non-idempotent calls are running at this gate")
	}
	l.lastUsed = now
	s.calls.begin(id.callNumber(), Fingerprint{})
	return nil
}

// duplicateStartError returns the error of Start for an attempt that already has an entry.
func duplicateStartError(e *entry) error {
	if e.state == barred {
		return errkind.New(errkind.Barred, "the attempt was barred")
	}
	return errkind.New(errkind.OutcomeUnknown, "the attempt has already started")
}

// Finish ends an attempt that ran. resp is nil if the response was too large to be
// copied. Finish, Fail and Cancel have no effect on an attempt that is not running.
func (a *AttemptTable) Finish(id ID, resp *Response) { a.end(id, ran, resp) }

// Fail ends an attempt that may or may not have run.
func (a *AttemptTable) Fail(id ID) { a.end(id, outcomeUnknown, nil) }

// Cancel ends an attempt for which Start returned nil but of which no byte reached the
// backend server. The attempt is barred from then on.
func (a *AttemptTable) Cancel(id ID) { a.end(id, barred, nil) }

// end sets the final state of a running attempt.
func (a *AttemptTable) end(id ID, st state, resp *Response) {
	s := a.shard(id.lane())
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.calls.entries[id.callNumber()]
	if e == nil || e.state != running {
		return
	}
	s.calls.end(id.callNumber(), e, st, resp, a.clock.elapsed())
}

// Query returns the outcome of an attempt. If the attempt has not started and bar is
// true, Query bars it and reports NotRun; if bar is false, Query reports Running.
func (a *AttemptTable) Query(id ID, bar bool) QueryResult {
	r, _ := a.query(id, bar)
	return r
}

// Await is like Query, but waits for a running attempt to end. It reports Running for an
// attempt that has started only if ctx is done before the attempt ends.
func (a *AttemptTable) Await(ctx context.Context, id ID, bar bool) QueryResult {
	r, w := a.query(id, bar)
	if w == nil {
		return r
	}
	select {
	case <-w.done:
		return queryResult(w.state, w.response)
	case <-ctx.Done():
		return r
	}
}

// query implements Query. For an attempt that runs, it also returns the completion to wait
// for.
func (a *AttemptTable) query(id ID, bar bool) (QueryResult, *completion) {
	if id.Boot() != a.opts.Boot {
		return QueryResult{Outcome: Unknown}, nil
	}
	s := a.shard(id.lane())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := a.clock.elapsed()
	s.calls.evict(now)
	if e := s.calls.entries[id.callNumber()]; e != nil {
		r := queryResult(e.state, e.response)
		if e.state == running {
			return r, e.subscribe()
		}
		return r, nil
	}
	l := s.lanes[id.lane()]
	if l == nil || id.seq() <= l.floor {
		return QueryResult{Outcome: Unknown}, nil
	}
	if !bar {
		return QueryResult{Outcome: Running}, nil
	}
	s.calls.bar(id.callNumber(), now)
	return QueryResult{Outcome: NotRun}, nil
}

// queryResult converts the state and the response of an entry to a QueryResult.
func queryResult(s state, resp *Response) QueryResult {
	switch s {
	case running:
		return QueryResult{Outcome: Running}
	case ran:
		return QueryResult{Outcome: Ran, Response: resp}
	case barred:
		return QueryResult{Outcome: NotRun}
	}
	return QueryResult{Outcome: Unknown}
}
