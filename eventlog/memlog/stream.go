package memlog

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Stream is a stream of a Service. It implements eventlog.Log.
type Stream struct {
	svc *Service
	// The fields below are guarded by the lock of the service.
	first   eventlog.Offset
	entries []entry
	// changed is closed when records may have been added or the outage has started or ended.
	changed chan struct{}
}

var _ eventlog.Log = (*Stream)(nil)

type entry struct {
	data     []byte
	appended time.Time
}

func newStream(svc *Service) *Stream {
	return &Stream{svc: svc, first: 1, changed: make(chan struct{})}
}

type appendResult struct {
	offset eventlog.Offset
	err    error
}

// Append adds a copy of data. If data is larger than eventlog.MaxRecordBytes, it returns a
// *eventlog.RejectedError.
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

// Read implements eventlog.Log. The data of the returned records is shared with the stream and must
// not be modified.
func (st *Stream) Read(ctx context.Context, from eventlog.Offset, limit int, wait time.Duration) ([]eventlog.Record, error) {
	if limit < 1 {
		return nil, &eventlog.RejectedError{Reason: fmt.Sprintf("limit %d is below 1", limit)}
	}
	if err := st.admitRead(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	for {
		recs, changed, err := st.readAvailable(from, limit)
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

// Bounds implements eventlog.Log.
func (st *Stream) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	if err := st.admitRead(ctx); err != nil {
		return eventlog.Bounds{}, err
	}
	st.svc.mu.Lock()
	defer st.svc.mu.Unlock()
	st.expire()
	return eventlog.Bounds{First: st.first, End: st.end()}, nil
}

// TruncateBefore drops the records before first, as the service does when their retention time is
// over.
func (st *Stream) TruncateBefore(first eventlog.Offset) {
	st.svc.mu.Lock()
	defer st.svc.mu.Unlock()
	st.truncateBefore(first)
}

// TruncateEnd drops the records from end on, as if the service had lost its latest writes. Later
// appends reuse these offsets.
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

// admitRead admits a read and blocks until its delay is over and the service is not held.
func (st *Stream) admitRead(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return eventlog.Unavailable(err)
	}
	admitted := make(chan struct{})
	if err := st.svc.admit(opRead, func() { close(admitted) }); err != nil {
		return err
	}
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		return eventlog.Unavailable(ctx.Err())
	}
}

// commit applies an append, subject to the injected faults.
func (st *Stream) commit(data []byte) appendResult {
	s := st.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := eventlog.Unknown(errors.New("no response from the log service"))
	outcome := s.faults.nextAppendOutcome()
	if outcome == outcomeRequestLost {
		return appendResult{err: unknown}
	}
	offset := st.end()
	st.entries = append(st.entries, entry{data: data, appended: s.opts.Now()})
	s.counters.Appends++
	s.counters.BytesIn += uint64(len(data))
	st.expire()
	st.notifyReaders()
	if outcome == outcomeResponseLost {
		return appendResult{err: unknown}
	}
	return appendResult{offset: offset}
}

// readAvailable returns the available records from an offset on, and a channel that is closed when
// there may be more.
func (st *Stream) readAvailable(from eventlog.Offset, limit int) ([]eventlog.Record, <-chan struct{}, error) {
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

func (st *Stream) truncateBefore(first eventlog.Offset) {
	first = min(first, st.end())
	if first <= st.first {
		return
	}
	n := first - st.first
	clear(st.entries[:n])
	st.entries = st.entries[n:]
	st.first = first
}

// expire drops the records whose retention time is over. The caller holds the lock.
func (st *Stream) expire() {
	retention := st.svc.opts.RetainFor
	if retention <= 0 {
		return
	}
	now := st.svc.opts.Now()
	n := 0
	for n < len(st.entries) && now.Sub(st.entries[n].appended) >= retention {
		n++
	}
	st.truncateBefore(st.first + eventlog.Offset(n))
}

// notifyReaders makes waiting reads check the stream again. The caller holds the lock.
func (st *Stream) notifyReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}
