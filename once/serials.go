package once

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// serials allocates the serial numbers of keys, and derives from a number whether its key
// has expired. A key is valid for at least the lifetime, and at most one epoch longer.
type serials struct {
	lifetime time.Duration
	// maxRetained is the maximum of next minus limits.droppedBelow.
	maxRetained uint64

	// next is the next serial number to be issued.
	next atomic.Uint64
	// limits is replaced when a limit changes, so that readers need no lock.
	limits atomic.Pointer[limits]

	mu sync.Mutex
	// epochs are the epochs at or above limits.droppedBelow, oldest first. The first
	// expiredEpochs of them have expired.
	epochs        fifo[epoch]
	expiredEpochs int
}

// limits divides serial numbers by age. Keys below expiredBelow have expired, and no call
// may start under them. Keys below droppedBelow expired at least one lifetime ago, and
// their bits are dropped.
type limits struct {
	droppedBelow, expiredBelow uint64
	// validUntil is when one of the limits changes next.
	validUntil time.Duration
}

// epoch is a range of keys that were issued at about the same time.
type epoch struct {
	// firstSerial is the lowest serial number of the epoch.
	firstSerial uint64
	// since is when firstSerial was issued, on the KeyStore's clock.
	since time.Duration
}

// epochsPerLifetime is the number of epochs that a lifetime is divided into.
const epochsPerLifetime = 64

func newSerials(lifetime time.Duration, maxKeys int) *serials {
	s := &serials{lifetime: lifetime, maxRetained: uint64(maxKeys)}
	s.next.Store(1)
	s.limits.Store(&limits{droppedBelow: 1, expiredBelow: 1, validUntil: math.MaxInt64})
	return s
}

// issue allocates up to n consecutive serial numbers. It returns the first one and their
// count.
func (s *serials) issue(n int, now time.Duration) (first uint64, got int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	first = s.next.Load()
	got = int(min(uint64(max(n, 0)), s.maxRetained-(first-s.limits.Load().droppedBelow)))
	if got == 0 {
		return 0, 0
	}
	if k := s.epochs.len(); k == 0 || now-s.epochs.at(k-1).since >= s.epochLength() {
		s.epochs.push(epoch{first, now})
	}
	s.next.Store(first + uint64(got))
	s.advance(now)
	return first, got
}

// limitsAt returns the limits that apply at the given time.
func (s *serials) limitsAt(now time.Duration) *limits {
	if l := s.limits.Load(); now < l.validUntil {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.limits.Load()
}

// advance updates the limits to the given time. The caller holds the lock.
func (s *serials) advance(now time.Duration) {
	l := *s.limits.Load()
	for s.expiredEpochs < s.epochs.len() && now >= s.epochExpiry(s.expiredEpochs) {
		s.expiredEpochs++
		l.expiredBelow = s.epochStart(s.expiredEpochs)
	}
	for s.expiredEpochs > 0 && now >= s.epochExpiry(0)+s.lifetime {
		l.droppedBelow = s.epochStart(1)
		s.epochs.pop()
		s.expiredEpochs--
	}
	l.validUntil = math.MaxInt64
	if s.expiredEpochs < s.epochs.len() {
		l.validUntil = s.epochExpiry(s.expiredEpochs)
	}
	if s.expiredEpochs > 0 {
		l.validUntil = min(l.validUntil, s.epochExpiry(0)+s.lifetime)
	}
	s.limits.Store(&l)
}

// epochLength returns the period in which new keys are assigned to the same epoch.
func (s *serials) epochLength() time.Duration { return s.lifetime / epochsPerLifetime }

// epochExpiry returns when the last possible key of the i-th epoch expires.
func (s *serials) epochExpiry(i int) time.Duration {
	return s.epochs.at(i).since + s.epochLength() + s.lifetime
}

// epochStart returns the first serial number of the i-th epoch, or the next one to be issued
// if there is no such epoch.
func (s *serials) epochStart(i int) uint64 {
	if i < s.epochs.len() {
		return s.epochs.at(i).firstSerial
	}
	return s.next.Load()
}
