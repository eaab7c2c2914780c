package once

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// serials counts the keys issued and tells by number how old one is. A key is
// good for at least the lifetime and for a little more than that at most.
type serials struct {
	lifetime time.Duration
	// max bounds the numbers between forgotten and next.
	max uint64

	next atomic.Uint64
	// limits is replaced when a limit moves, so that reading it takes no lock.
	limits atomic.Pointer[limits]

	mu sync.Mutex
	// epochs are the stretches of issued keys that are not forgotten, oldest
	// first; the first expired of them have expired.
	epochs  fifo[epoch]
	expired int
}

// limits tells what has become of keys by number: those below forgotten
// expired a lifetime ago, and those below expired may not start any more.
type limits struct {
	forgotten, expired uint64
	// until is when the next limit moves.
	until time.Duration
}

// epoch is a stretch of keys that were issued at about the same time.
type epoch struct {
	// first is the lowest number, since the time of its issue.
	first uint64
	since time.Duration
}

// epochsPerLifetime is into how many stretches a lifetime is cut.
const epochsPerLifetime = 64

func newSerials(lifetime time.Duration, maxKeys int) *serials {
	s := &serials{lifetime: lifetime, max: uint64(maxKeys)}
	s.next.Store(1)
	s.limits.Store(&limits{forgotten: 1, expired: 1, until: math.MaxInt64})
	return s
}

// issue takes up to n numbers and returns the first and how many there are.
func (s *serials) issue(n int, now time.Duration) (first uint64, got int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	first = s.next.Load()
	got = int(min(uint64(max(n, 0)), s.max-(first-s.limits.Load().forgotten)))
	if got == 0 {
		return 0, 0
	}
	if k := s.epochs.len(); k == 0 || now-s.epochs.at(k-1).since >= s.epochTime() {
		s.epochs.push(epoch{first, now})
	}
	s.next.Store(first + uint64(got))
	s.advance(now)
	return first, got
}

// at returns the limits as of now.
func (s *serials) at(now time.Duration) *limits {
	if l := s.limits.Load(); now < l.until {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.limits.Load()
}

// advance moves the limits to where they are at now.
func (s *serials) advance(now time.Duration) {
	l := *s.limits.Load()
	for s.expired < s.epochs.len() && now >= s.expiry(s.expired) {
		s.expired++
		l.expired = s.start(s.expired)
	}
	for s.expired > 0 && now >= s.expiry(0)+s.lifetime {
		l.forgotten = s.start(1)
		s.epochs.pop()
		s.expired--
	}
	l.until = math.MaxInt64
	if s.expired < s.epochs.len() {
		l.until = s.expiry(s.expired)
	}
	if s.expired > 0 {
		l.until = min(l.until, s.expiry(0)+s.lifetime)
	}
	s.limits.Store(&l)
}

// epochTime is how long one epoch takes in new keys.
func (s *serials) epochTime() time.Duration { return s.lifetime / epochsPerLifetime }

// expiry returns when the last key that the i-th epoch can hold expires.
func (s *serials) expiry(i int) time.Duration {
	return s.epochs.at(i).since + s.epochTime() + s.lifetime
}

// start returns the first number of the i-th epoch, or what it would be.
func (s *serials) start(i int) uint64 {
	if i < s.epochs.len() {
		return s.epochs.at(i).first
	}
	return s.next.Load()
}
