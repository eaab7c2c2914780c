// Package transit tells how long messages of other processes were held up on the way.
//
// Hosts share no clock, so a call carries the time that is left and not when it ends.
// A link with a queue of a second then gives the call a second more: it runs for a
// caller that has gone. A sender therefore stamps its messages by a clock of its own.
// The difference between its clock and the receiver's is unknown but nearly constant;
// the least difference seen of late belongs to a message that was not held up, and what
// another one's is above it was lost on the way.
package transit

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// memory is for how long the least difference counts, at least; at most twice as long.
// A sender that never had a free link in that time is believed to be at its usual
// distance.
const memory = 15 * time.Second

// Sender names one life of a sending process: another life may run on another clock.
type Sender struct {
	Host string
	Boot uint64
}

// BootTimeMicros returns the time by this host's clock since it was started, in microseconds. The
// clock counts times in which the host was suspended: one that does not would make
// everything that comes after look as if it had been held up for as long.
func BootTimeMicros() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel lacks the clock; without stamps nothing counts as held up.
		return 0
	}
	return ts.Nano() / int64(time.Microsecond)
}

// Estimator holds the least differences. The zero value is not ready; see New. It is
// safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// recent and older hold the least differences of two spans of time, in
	// microseconds.
	recent, older map[Sender]int64
	rotated       int64
}

// New returns an estimator that has seen nothing.
func New() *Estimator {
	return &Estimator{recent: make(map[Sender]int64), older: make(map[Sender]int64)}
}

// Delay takes in a message that was stamped at sent and arrived at now, both from Stamp
// at either end, and returns how long it was held up. Without a stamp that is 0.
func (e *Estimator) Delay(s Sender, sent, now int64) time.Duration {
	if sent == 0 || now == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate(now)
	difference := now - sent
	least, ok := e.recent[s]
	if !ok || difference < least {
		least = difference
		e.recent[s] = difference
	}
	if old, ok := e.older[s]; ok {
		least = min(least, old)
	}
	return time.Duration(difference-least) * time.Microsecond
}

// rotate forgets what is too old. The caller holds mu.
func (e *Estimator) rotate(now int64) {
	if now-e.rotated < memory.Microseconds() {
		return
	}
	e.rotated = now
	e.recent, e.older = make(map[Sender]int64), e.recent
}
