// Package memlog implements the platform's log service in memory, for tests, examples and the
// stand-in server. It can inject faults: outages, delayed or held requests, lost requests and
// responses, expired records, and the loss of the latest records.
package memlog

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Options configures a Service.
type Options struct {
	// MaxAppendsPerSecond limits the rate of appends over all streams. Appends above the limit fail
	// with eventlog.ErrUnavailable. The burst is the number of appends allowed in one second. 0
	// means no limit.
	MaxAppendsPerSecond float64
	// RetainFor is how long records are retained. 0 means forever.
	RetainFor time.Duration
	// MaxReadBytes limits the record data that one read returns. A read returns the first record
	// even if it exceeds the limit.
	MaxReadBytes int
	// Now returns the current time. It is used for MaxAppendsPerSecond and RetainFor.
	Now func() time.Time
}

// DefaultOptions returns options that limit only the size of a read.
func DefaultOptions() Options {
	return Options{MaxReadBytes: 4 << 20, Now: time.Now}
}

// Counters counts the requests to a Service since it was created.
type Counters struct {
	// Appends counts the appends that took effect, including those whose responses were lost.
	Appends uint64 `json:"appends"`
	// Reads counts the accepted calls of Read and Bounds, including reads that returned no record.
	Reads uint64 `json:"reads"`
	// Refused counts the requests rejected because of an outage or the rate limit of appends.
	Refused uint64 `json:"refused"`
	// BytesIn and BytesOut count the data bytes of appended and returned records.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Service is a set of streams with common faults. It is safe for concurrent use.
type Service struct {
	opts Options

	mu       sync.Mutex
	streams  map[string]*Stream
	faults   faults
	bucket   bucket
	counters Counters
}

// New returns a service without streams.
func New(opts Options) *Service {
	s := &Service{opts: opts, streams: map[string]*Stream{}}
	s.bucket = bucket{rate: opts.MaxAppendsPerSecond, tokens: opts.MaxAppendsPerSecond, lastRefill: opts.Now()}
	return s
}

// Stream returns the named stream and creates it on first use.
func (s *Service) Stream(name string) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		st = newStream(s)
		s.streams[name] = st
	}
	return st
}

// Counters returns the current counts.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// operation is the type of a request.
type operation uint8

const (
	opRead operation = iota
	opAppend
)

// admit accepts a request and runs its effect immediately, after the delay, or when the service is
// released. As with a remote service, the effect runs even if the caller has given up by then. If
// admit returns an error, the effect never runs.
func (s *Service) admit(op operation, effect func()) error {
	s.mu.Lock()
	if err := s.checkAccepted(op); err != nil {
		s.counters.Refused++
		s.mu.Unlock()
		return err
	}
	if op == opRead {
		s.counters.Reads++
	}
	if s.faults.held {
		s.faults.pending = append(s.faults.pending, effect)
		s.mu.Unlock()
		return nil
	}
	delay := s.faults.delay
	s.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, effect)
		return nil
	}
	effect()
	return nil
}

func (s *Service) checkAccepted(op operation) error {
	if s.faults.outage {
		return eventlog.Unavailable(errors.New("log service is down"))
	}
	if op == opAppend && !s.bucket.take(s.opts.Now()) {
		return eventlog.Unavailable(errors.New("log service append rate exceeded"))
	}
	return nil
}

// bucket is a token bucket whose capacity is the number of tokens added in one second.
type bucket struct {
	rate       float64
	tokens     float64
	lastRefill time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
