package once

import "time"

// Bounds limits the number, the age and the memory of a table's entries. Entries in
// excess of the bounds are evicted, oldest first. An eviction may cause an "unknown"
// outcome, but never an incorrect one.
type Bounds struct {
	// KeepFor is how long the entry of an ended call is retained.
	KeepFor time.Duration
	// MaxRecords is the maximum number of entries, including those of running calls.
	MaxRecords int
	// MaxRunning is the maximum number of calls that run concurrently.
	MaxRunning int
	// MaxBytes is the maximum memory of all stored responses, in bytes.
	MaxBytes int64
	// MaxResponseBytes is the maximum memory of one stored response, in bytes.
	MaxResponseBytes int64
}

// split returns the bounds of one of the given number of shards.
func (b Bounds) split(shards int) Bounds {
	b.MaxRecords = max(1, b.MaxRecords/shards)
	b.MaxRunning = max(1, b.MaxRunning/shards)
	b.MaxBytes /= int64(shards)
	return b
}

// state is the state of a call.
type state uint8

const (
	// running calls have started and not yet ended.
	running state = iota + 1
	// ran calls have run to completion.
	ran
	// outcomeUnknown calls have ended, and may or may not have run.
	outcomeUnknown
	// barred calls have not run and never will.
	barred
)

// entry is the record of one call.
type entry struct {
	state state
	// fp is the fingerprint of the request, zero in an AttemptTable.
	fp Fingerprint
	// response is the stored response of a call that ran, or nil if there is none.
	response *Response
	// completion is set while requests wait for the call to end.
	completion *completion
}

// completion passes the result of a call to the requests that wait for it, so that
// they receive the response even if the bounds don't allow the table to store it.
type completion struct {
	done chan struct{}
	// state and response are set before done is closed.
	state    state
	response *Response
}

// subscribe returns the completion of a running entry, and creates it if necessary.
func (e *entry) subscribe() *completion {
	if e.completion == nil {
		e.completion = &completion{done: make(chan struct{})}
	}
	return e.completion
}

// callTable holds the entries of calls by call number, within bounds. It is not safe for
// concurrent use: the owner holds a lock.
type callTable struct {
	bounds  Bounds
	entries map[uint64]*entry
	// ended holds the calls that have ended, oldest first. The responses of the first
	// withoutResponse of them have been dropped.
	ended           fifo[endedCall]
	withoutResponse int
	// running is the number of running calls.
	running int
	// responseBytes is the memory of all stored responses, in bytes.
	responseBytes int64
	// onEvict is called with the number of each call that evict removes.
	onEvict func(n uint64)
}

// endedCall is the number of an ended call and the time when it ended, on the owner's
// clock.
type endedCall struct {
	number  uint64
	endedAt time.Duration
}

func newCallTable(b Bounds, onEvict func(n uint64)) *callTable {
	return &callTable{bounds: b, entries: make(map[uint64]*entry), onEvict: onEvict}
}

// full reports whether the maximum number of calls run.
func (t *callTable) full() bool { return t.running >= t.bounds.MaxRunning }

// begin adds an entry for a call that starts to run.
func (t *callTable) begin(n uint64, fp Fingerprint) *entry {
	e := &entry{state: running, fp: fp}
	t.entries[n] = e
	t.running++
	return e
}

// end records the final state of a running call, and its response if that is small
// enough.
func (t *callTable) end(n uint64, e *entry, s state, resp *Response, now time.Duration) {
	t.running--
	e.state = s
	e.notify(resp)
	if size := resp.size(); size <= t.bounds.MaxResponseBytes {
		e.response = resp
		t.responseBytes += size
	}
	t.ended.push(endedCall{n, now})
	t.evict(now)
}

// cancel removes the entry of a running call that is known not to have started.
func (t *callTable) cancel(n uint64, e *entry) {
	t.running--
	e.state = barred
	e.notify(nil)
	delete(t.entries, n)
}

// notify passes the state and the response to the requests that wait for the call.
func (e *entry) notify(resp *Response) {
	if e.completion == nil {
		return
	}
	e.completion.state, e.completion.response = e.state, resp
	close(e.completion.done)
	e.completion = nil
}

// bar adds an entry for a call that must never start.
func (t *callTable) bar(n uint64, now time.Duration) {
	t.entries[n] = &entry{state: barred}
	t.ended.push(endedCall{n, now})
	t.evict(now)
}

// evict removes what exceeds the bounds. It drops responses before entries, because an
// entry without its response still records that the call ran.
func (t *callTable) evict(now time.Duration) {
	for t.responseBytes > t.bounds.MaxBytes && t.withoutResponse < t.ended.len() {
		t.dropResponse(t.ended.at(t.withoutResponse).number)
		t.withoutResponse++
	}
	for t.ended.len() > 0 && t.evictionDue(now) {
		n := t.ended.pop().number
		t.dropResponse(n)
		t.withoutResponse = max(0, t.withoutResponse-1)
		delete(t.entries, n)
		t.onEvict(n)
	}
}

// evictionDue reports whether the oldest ended call must be evicted.
func (t *callTable) evictionDue(now time.Duration) bool {
	return len(t.entries) > t.bounds.MaxRecords || now-t.ended.at(0).endedAt >= t.bounds.KeepFor
}

func (t *callTable) dropResponse(n uint64) {
	e := t.entries[n]
	t.responseBytes -= e.response.size()
	e.response = nil
}
