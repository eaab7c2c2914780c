package once

import "time"

// Bounds limits what a table remembers. What goes beyond them is forgotten
// oldest first, which costs certainty ("unknown") and never correctness.
type Bounds struct {
	// KeepFor is how long a call that has ended is remembered.
	KeepFor time.Duration
	// MaxRecords bounds the calls remembered, running ones included.
	MaxRecords int
	// MaxRunning bounds the calls that run at once.
	MaxRunning int
	// MaxBytes bounds the memory of all answers kept, in bytes.
	MaxBytes int64
	// MaxResponseBytes bounds the memory of one answer kept, in bytes.
	MaxResponseBytes int64
}

// split returns each shard's part of the bounds.
func (b Bounds) split(shards int) Bounds {
	b.MaxRecords = max(1, b.MaxRecords/shards)
	b.MaxRunning = max(1, b.MaxRunning/shards)
	b.MaxBytes /= int64(shards)
	return b
}

// state is how far a call has come.
type state uint8

const (
	running state = iota + 1
	ran
	// unsure calls have ended without anyone knowing whether they ran.
	unsure
	// barred calls have not run and never will.
	barred
)

// entry is what is remembered of one call.
type entry struct {
	state  state
	fp     Fingerprint
	answer *Response
	// waiting is set while somebody waits for the end.
	waiting *waiting
}

// waiting hands the end of a call to those who wait for it, so that they get
// the answer even where the table has no room to keep it.
type waiting struct {
	done chan struct{}
	// Set before done is closed.
	state  state
	answer *Response
}

// join returns what tells of the running entry's end.
func (e *entry) join() *waiting {
	if e.waiting == nil {
		e.waiting = &waiting{done: make(chan struct{})}
	}
	return e.waiting
}

// ledger remembers calls by number within bounds. Its owner locks it.
type ledger struct {
	bounds  Bounds
	entries map[uint64]*entry
	// ended holds the calls that have ended, oldest first; the first stripped
	// of them have no answer any more.
	ended    fifo[ending]
	stripped int
	running  int
	bytes    int64
	// forgotten is called with each call that goes for lack of room or time.
	forgotten func(n uint64)
}

// ending is when a call ended.
type ending struct {
	n  uint64
	at time.Duration
}

func newLedger(b Bounds, forgotten func(n uint64)) *ledger {
	return &ledger{bounds: b, entries: make(map[uint64]*entry), forgotten: forgotten}
}

// full reports whether another call may not start.
func (l *ledger) full() bool { return l.running >= l.bounds.MaxRunning }

// begin remembers a call as running.
func (l *ledger) begin(n uint64, fp Fingerprint) *entry {
	e := &entry{state: running, fp: fp}
	l.entries[n] = e
	l.running++
	return e
}

// end remembers how a running call ended, and its answer if there is room.
func (l *ledger) end(n uint64, e *entry, s state, ans *Response, now time.Duration) {
	l.running--
	e.state = s
	e.wake(ans)
	if size := ans.size(); size <= l.bounds.MaxResponseBytes {
		e.answer = ans
		l.bytes += size
	}
	l.ended.push(ending{n, now})
	l.trim(now)
}

// cancel forgets a running call that proved not to have started.
func (l *ledger) cancel(n uint64, e *entry) {
	l.running--
	e.state = barred
	e.wake(nil)
	delete(l.entries, n)
}

func (e *entry) wake(ans *Response) {
	if e.waiting == nil {
		return
	}
	e.waiting.state, e.waiting.answer = e.state, ans
	close(e.waiting.done)
	e.waiting = nil
}

// bar remembers a call that must not start.
func (l *ledger) bar(n uint64, now time.Duration) {
	l.entries[n] = &entry{state: barred}
	l.ended.push(ending{n, now})
	l.trim(now)
}

// trim forgets what exceeds the bounds. Answers go first: an entry without its
// answer still tells that the call ran.
func (l *ledger) trim(now time.Duration) {
	for l.bytes > l.bounds.MaxBytes && l.stripped < l.ended.len() {
		l.strip(l.ended.at(l.stripped).n)
		l.stripped++
	}
	for l.ended.len() > 0 && l.excess(now) {
		n := l.ended.pop().n
		l.strip(n)
		l.stripped = max(0, l.stripped-1)
		delete(l.entries, n)
		l.forgotten(n)
	}
}

func (l *ledger) excess(now time.Duration) bool {
	return len(l.entries) > l.bounds.MaxRecords || now-l.ended.at(0).at >= l.bounds.KeepFor
}

func (l *ledger) strip(n uint64) {
	e := l.entries[n]
	l.bytes -= e.answer.size()
	e.answer = nil
}
