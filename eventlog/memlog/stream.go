package memlog

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Stream is one stream of a Service.
type Stream struct {
	svc *Service
	// Guarded by the service's lock.
	first   eventlog.Offset
	entries []entry
	// changed is closed when records may have come or an outage began.
	changed chan struct{}
}

var _ eventlog.Log = (*Stream)(nil)

type entry struct {
	data []byte
	at   time.Time
}

func newStream(svc *Service) *Stream {
	return &Stream{svc: svc, first: 1, changed: make(chan struct{})}
}

type appendResult struct {
	offset eventlog.Offset
	err    error
}

// Append adds a copy of data. Data above eventlog.MaxRecordBytes is rejected
// with a *eventlog.RejectedError.
func (st *Stream) Append(ctx context.Context, data []byte) (eventlog.Offset, error) {
	if len(data) > eventlog.MaxRecordBytes {
		return 0, &eventlog.RejectedError{Reason: fmt.Sprintf("record of %d bytes is too large", len(data))}
	}
	if err := ctx.Err(); err != nil {
		return 0, eventlog.Unavailable(err)
	}
	data = bytes.Clone(data)
	done := make(chan appendResult, 1)
	if err := st.svc.admit(opAppend, func() { done <- st.commit(data) }); err != nil {
		return 0, err
	}
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, eventlog.Unknown(ctx.Err())
	}
}

// Read returns records whose data is shared with the stream and must not be
// changed.
func (st *Stream) Read(ctx context.Context, from eventlog.Offset, limit int, wait time.Duration) ([]eventlog.Record, error) {
	if limit < 1 {
		return nil, &eventlog.RejectedError{Reason: fmt.Sprintf("limit %d is below 1", limit)}
	}
	if err := st.enter(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	for {
		recs, changed, err := st.slice(from, limit)
		if err != nil || len(recs) > 0 || expired {
			return recs, err
		}
		select {
		case <-ctx.Done():
			return nil, eventlog.Unavailable(ctx.Err())
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// Bounds returns the current first and end offset.
func (st *Stream) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	if err := st.enter(ctx); err != nil {
		return eventlog.Bounds{}, err
	}
	st.svc.mu.Lock()
	defer st.svc.mu.Unlock()
	st.expire()
	return eventlog.Bounds{First: st.first, End: st.end()}, nil
}

// TruncateBefore drops the records before first, as the service does when their time is
// up.
func (st *Stream) TruncateBefore(first eventlog.Offset) {
	st.svc.mu.Lock()
	defer st.svc.mu.Unlock()
	st.cut(first)
}

// TruncateEnd drops the records from end on, as when the service loses its
// latest writes. Later appends get these offsets again.
func (st *Stream) TruncateEnd(end eventlog.Offset) {
	st.svc.mu.Lock()
	defer st.svc.mu.Unlock()
	if end < st.first {
		end = st.first
	}
	if end < st.end() {
		st.entries = st.entries[:end-st.first]
	}
}

// enter waits for the delay and for the release of a held service.
func (st *Stream) enter(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return eventlog.Unavailable(err)
	}
	through := make(chan struct{})
	if err := st.svc.admit(opRead, func() { close(through) }); err != nil {
		return err
	}
	select {
	case <-through:
		return nil
	case <-ctx.Done():
		return eventlog.Unavailable(ctx.Err())
	}
}

// commit is the effect of an append.
func (st *Stream) commit(data []byte) appendResult {
	s := st.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := eventlog.Unknown(errors.New("log service gave no answer"))
	fate := s.faults.nextFate()
	if fate == fateRequestLost {
		return appendResult{err: unknown}
	}
	offset := st.end()
	st.entries = append(st.entries, entry{data: data, at: s.opts.Now()})
	s.counters.Appends++
	s.counters.BytesIn += uint64(len(data))
	st.expire()
	st.wake()
	if fate == fateAnswerLost {
		return appendResult{err: unknown}
	}
	return appendResult{offset: offset}
}

// slice returns what is there, and the channel that is closed when there may
// be more.
func (st *Stream) slice(from eventlog.Offset, limit int) ([]eventlog.Record, <-chan struct{}, error) {
	s := st.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage {
		s.counters.Refused++
		return nil, nil, eventlog.Unavailable(errors.New("log service went down"))
	}
	st.expire()
	if from < st.first {
		return nil, nil, &eventlog.TruncatedError{Requested: from, First: st.first}
	}
	var recs []eventlog.Record
	size := 0
	for off := from; off < st.end() && len(recs) < limit; off++ {
		data := st.entries[off-st.first].data
		size += len(data)
		if len(recs) > 0 && size > s.opts.MaxReadBytes {
			break
		}
		recs = append(recs, eventlog.Record{Offset: off, Data: data})
		s.counters.BytesOut += uint64(len(data))
	}
	return recs, st.changed, nil
}

func (st *Stream) end() eventlog.Offset { return st.first + eventlog.Offset(len(st.entries)) }

func (st *Stream) cut(first eventlog.Offset) {
	first = min(first, st.end())
	if first <= st.first {
		return
	}
	n := first - st.first
	clear(st.entries[:n])
	st.entries = st.entries[n:]
	st.first = first
}

// expire drops the records whose time is up.
func (st *Stream) expire() {
	keep := st.svc.opts.RetainFor
	if keep <= 0 {
		return
	}
	now := st.svc.opts.Now()
	n := 0
	for n < len(st.entries) && now.Sub(st.entries[n].at) >= keep {
		n++
	}
	st.cut(st.first + eventlog.Offset(n))
}

// wake makes the reads that wait look again.
func (st *Stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}
