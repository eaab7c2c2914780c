package once

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// AttemptTableOptions holds the bounds of an Attempts.
type AttemptTableOptions struct {
	// Boot is the life of this daemon; ids for another are refused.
	Boot uint64
	// Bounds hold for all lanes together. KeepFor should exceed the longest
	// time that a call may take: an attempt that arrives later than KeepFor
	// behind others of its lane may be refused.
	Bounds Bounds
	// MaxLanes bounds the lanes kept; the one unused for the longest time goes
	// first.
	MaxLanes int
	// LaneIdleTimeout is how long a lane stays open without an attempt. A sender that
	// was paused for longer finds all that it had under way refused.
	LaneIdleTimeout time.Duration
	Now             func() time.Time
}

// DefaultAttemptTableOptions suit a gate that a thousand daemons talk to.
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

// Outcome is what is known of an attempt.
type Outcome uint8

// The outcomes.
const (
	// NotRun attempts have not run and never will.
	NotRun Outcome = iota + 1
	// Running attempts have started, or may still start.
	Running
	// Ran attempts have run to their end.
	Ran
	// Unknown attempts may have run; the gate cannot tell.
	Unknown
)

// QueryResult is what a gate tells of an attempt.
type QueryResult struct {
	Outcome Outcome
	// Response is the whole answer of an attempt that ran, nil where it is not
	// kept.
	Response *Response
}

// AttemptTable is the table of a gate: which attempts run, ran, or must never
// start. It is safe for concurrent use; attempts of different lanes seldom
// share a lock.
//
// Memory is bounded without a wall clock. Each lane has a floor, the highest
// number of it that was ever forgotten. An attempt above the floor that is not
// remembered has neither started nor been barred, so it may start, or be
// barred and told as not run. One at or below the floor, or of a lane that is
// gone, may have been either: it is never started and, if asked for, unknown.
// So no attempt starts after it was told as not run, however late it arrives,
// and none is told as not run after it started.
//
// This rests on a sender sending each attempt once, on one stream.
type AttemptTable struct {
	opts   AttemptTableOptions
	clock  clock
	lanes  atomic.Uint64
	shards [attemptShards]attemptShard
}

const attemptShards = 16

// attemptShard holds the lanes whose number leaves the same rest.
type attemptShard struct {
	mu     sync.Mutex
	lanes  map[uint32]*lane
	ledger *ledger
}

// lane is the sequence of attempts of one sender.
type lane struct {
	// floor is the highest number forgotten.
	floor uint32
	used  time.Duration
}

// NewAttemptTable returns an empty table.
func NewAttemptTable(opts AttemptTableOptions) *AttemptTable {
	a := &AttemptTable{opts: opts, clock: newClock(opts.Now)}
	bounds := opts.Bounds.split(attemptShards)
	for i := range a.shards {
		s := &a.shards[i]
		s.lanes = make(map[uint32]*lane)
		s.ledger = newLedger(bounds, s.raiseFloor)
	}
	return a
}

func (s *attemptShard) raiseFloor(n uint64) {
	if l := s.lanes[uint32(n>>32)]; l != nil {
		l.floor = max(l.floor, uint32(n))
	}
}

func (a *AttemptTable) shard(lane uint32) *attemptShard { return &a.shards[lane%attemptShards] }

// OpenLane opens a lane for a sender. Numbers are never given out twice.
func (a *AttemptTable) OpenLane() (Lane, error) {
	n := a.lanes.Add(1)
	if n > math.MaxUint32 {
		return Lane{}, errkind.New(errkind.Overloaded, "no lane numbers are left")
	}
	number := uint32(n)
	s := a.shard(number)
	now := a.clock.elapsed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lanes) >= max(1, a.opts.MaxLanes/attemptShards) {
		s.closeLanes(now, a.opts.LaneIdleTimeout)
	}
	s.lanes[number] = &lane{used: now}
	return Lane{Boot: a.opts.Boot, Number: number}, nil
}

// closeLanes makes room: all idle lanes go, or else the one that was unused
// for the longest time.
func (s *attemptShard) closeLanes(now, idle time.Duration) {
	var oldest uint32
	closed := false
	for n, l := range s.lanes {
		if now-l.used >= idle {
			delete(s.lanes, n)
			closed = true
			continue
		}
		if o := s.lanes[oldest]; o == nil || l.used < o.used {
			oldest = n
		}
	}
	if !closed {
		delete(s.lanes, oldest)
	}
}

// Start lets an attempt start, right before the first byte of it goes to the
// backend server. The error is errkind.Barred where it must not start, now or
// later.
func (a *AttemptTable) Start(id ID) error {
	if id.Boot() != a.opts.Boot {
		return errkind.New(errkind.Barred, "the attempt was meant for an earlier life of this host")
	}
	s := a.shard(id.lane())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := a.clock.elapsed()
	s.ledger.trim(now)
	if e := s.ledger.entries[id.number()]; e != nil {
		return startedTwice(e)
	}
	l := s.lanes[id.lane()]
	switch {
	case l == nil || now-l.used >= a.opts.LaneIdleTimeout:
		delete(s.lanes, id.lane())
		return errkind.New(errkind.Barred, "the attempt's lane is closed")
	case id.seq() <= l.floor:
		return errkind.New(errkind.Barred, "the attempt came too late")
	case s.ledger.full():
		s.ledger.bar(id.number(), now)
		return errkind.New(errkind.Overloaded, "too many non-idempotent calls run here")
	}
	l.used = now
	s.ledger.begin(id.number(), Fingerprint{})
	return nil
}

func startedTwice(e *entry) error {
	if e.state == barred {
		return errkind.New(errkind.Barred, "the attempt was barred")
	}
	return errkind.New(errkind.OutcomeUnknown, "the attempt has started before")
}

// Finish ends an attempt that ran. A nil answer means that the answer was too
// large to be copied. All of Finish, Fail and Cancel do nothing for an attempt
// that is not running.
func (a *AttemptTable) Finish(id ID, ans *Response) { a.end(id, ran, ans) }

// Fail ends an attempt of which nobody knows whether it ran.
func (a *AttemptTable) Fail(id ID) { a.end(id, unsure, nil) }

// Cancel ends an attempt that was let start and proved not to have: nothing of
// it reached the backend server. It counts as barred from now on.
func (a *AttemptTable) Cancel(id ID) { a.end(id, barred, nil) }

func (a *AttemptTable) end(id ID, st state, ans *Response) {
	s := a.shard(id.lane())
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.ledger.entries[id.number()]
	if e == nil || e.state != running {
		return
	}
	s.ledger.end(id.number(), e, st, ans, a.clock.elapsed())
}

// Query tells what became of an attempt. With bar, an attempt that has not
// started is barred and told as NotRun; without, it is told as Running.
func (a *AttemptTable) Query(id ID, bar bool) QueryResult {
	r, _ := a.ask(id, bar)
	return r
}

// Await is Ask for a caller that can wait: it tells Running only once ctx is
// done.
func (a *AttemptTable) Await(ctx context.Context, id ID, bar bool) QueryResult {
	r, w := a.ask(id, bar)
	if w == nil {
		return r
	}
	select {
	case <-w.done:
		return resultOf(w.state, w.answer)
	case <-ctx.Done():
		return r
	}
}

// ask returns what to wait for beside the result of an attempt that runs.
func (a *AttemptTable) ask(id ID, bar bool) (QueryResult, *waiting) {
	if id.Boot() != a.opts.Boot {
		return QueryResult{Outcome: Unknown}, nil
	}
	s := a.shard(id.lane())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := a.clock.elapsed()
	s.ledger.trim(now)
	if e := s.ledger.entries[id.number()]; e != nil {
		r := resultOf(e.state, e.answer)
		if e.state == running {
			return r, e.join()
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
	s.ledger.bar(id.number(), now)
	return QueryResult{Outcome: NotRun}, nil
}

func resultOf(s state, ans *Response) QueryResult {
	switch s {
	case running:
		return QueryResult{Outcome: Running}
	case ran:
		return QueryResult{Outcome: Ran, Response: ans}
	case barred:
		return QueryResult{Outcome: NotRun}
	}
	return QueryResult{Outcome: Unknown}
}
