// Package memlog is the platform's log service in memory, for tests, examples
// and the stand-in server. It misbehaves on command: outage, slow or held
// requests, answers and requests that get lost, records that expire, an end
// that goes back.
package memlog

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Options holds the bounds of a Service.
type Options struct {
	// MaxAppendsPerSecond bounds the appends of all streams together; above it
	// they are refused with eventlog.ErrUnavailable. 0 means no bound. One
	// second's worth may arrive at once.
	MaxAppendsPerSecond float64
	// RetainFor is how long records are kept. 0 keeps them for good.
	RetainFor time.Duration
	// MaxReadBytes bounds the data of one read, which returns at least one
	// record all the same.
	MaxReadBytes int
	// Now is the clock for MaxAppendsPerSecond and RetainFor.
	Now func() time.Time
}

// DefaultOptions bound nothing but the size of a read.
func DefaultOptions() Options {
	return Options{MaxReadBytes: 4 << 20, Now: time.Now}
}

// Counters tells what a Service has been asked since it began.
type Counters struct {
	// Appends took effect, whether or not their answers were lost.
	Appends uint64 `json:"appends"`
	// Reads were let in, whether or not there was a record; Bounds counts as one.
	Reads uint64 `json:"reads"`
	// Refused counts requests that met an outage or the append rate.
	Refused uint64 `json:"refused"`
	// BytesIn and BytesOut count the data of records appended and read.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Service is a set of streams that share their faults. It is safe for
// concurrent use.
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
	s.bucket = bucket{rate: opts.MaxAppendsPerSecond, tokens: opts.MaxAppendsPerSecond, filled: opts.Now()}
	return s
}

// Stream returns the stream of a name, a new one at its first use.
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

// Counters returns the counts so far.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// operation is what a request asks for.
type operation uint8

const (
	opRead operation = iota
	opAppend
)

// admit lets a request in and runs its effect: at once, after the delay, or
// when the service is released. The effect runs even if the caller has gone by
// then, as it would at a remote service. The error means that it never runs.
func (s *Service) admit(op operation, effect func()) error {
	s.mu.Lock()
	if err := s.refusal(op); err != nil {
		s.counters.Refused++
		s.mu.Unlock()
		return err
	}
	if op == opRead {
		s.counters.Reads++
	}
	if s.faults.held {
		s.faults.waiting = append(s.faults.waiting, effect)
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

func (s *Service) refusal(op operation) error {
	if s.faults.outage {
		return eventlog.Unavailable(errors.New("log service is down"))
	}
	if op == opAppend && !s.bucket.take(s.opts.Now()) {
		return eventlog.Unavailable(errors.New("log service is over its append rate"))
	}
	return nil
}

// bucket is a token bucket that holds at most one second's worth.
type bucket struct {
	rate   float64
	tokens float64
	filled time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
