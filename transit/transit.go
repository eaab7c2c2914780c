// Package transit estimates how long messages from other processes were queued in the network.
//
// Hosts share no clock, so a call carries its remaining time rather than an absolute deadline. If
// a link queues the call for a second, the call gains that second and still runs after its caller
// has given up. Senders therefore timestamp their messages with their local clock. The offset
// between the sender's and the receiver's clock is unknown but nearly constant: the lowest recent
// difference between receive time and send time belongs to a message that was not queued, and any
// excess over that lowest difference is queueing delay.
package transit

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// baselineWindow is the minimum time for which the lowest difference of a sender counts. While
// messages arrive, the maximum is twice as long. If no message of a sender crossed the link
// unqueued within that time, the lowest delay seen is taken for the normal one.
const baselineWindow = 15 * time.Second

// Sender identifies one run of a sending process. A restarted process may use another clock.
type Sender struct {
	Host string
	Boot uint64
}

// BootTimeMicros returns the time since this host booted in microseconds, or 0 if the clock is
// not available. The clock includes the time for which the host was suspended: with a clock that
// stops during suspension, every later message would appear to be delayed by that time.
func BootTimeMicros() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel lacks this clock; messages without a timestamp count as not delayed.
		return 0
	}
	return ts.Nano() / int64(time.Microsecond)
}

// Estimator tracks the lowest difference between receive time and send time for each sender. Use
// New to create one. It is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// current and previous hold the lowest differences, in microseconds, of the current and the
	// previous window.
	current, previous map[Sender]int64
	// rotatedAt is the time at which the current window began, as returned by BootTimeMicros.
	rotatedAt int64
}

// New returns an empty Estimator.
func New() *Estimator {
	return &Estimator{current: make(map[Sender]int64), previous: make(map[Sender]int64)}
}

// Delay records a message that was sent at sent and received at now, and returns its queueing
// delay. Both times come from BootTimeMicros, sent on the sender's host and now on this one. It
// returns 0 if either of them is 0.
func (e *Estimator) Delay(s Sender, sent, now int64) time.Duration {
	if sent == 0 || now == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate(now)
	offset := now - sent
	lowest, ok := e.current[s]
	if !ok || offset < lowest {
		lowest = offset
		e.current[s] = offset
	}
	if old, ok := e.previous[s]; ok {
		lowest = min(lowest, old)
	}
	return time.Duration(offset-lowest) * time.Microsecond
}

// rotate starts a new window once the current one is over. The current window replaces the
// previous one, whose values are discarded. The caller holds mu.
func (e *Estimator) rotate(now int64) {
	if now-e.rotatedAt < baselineWindow.Microseconds() {
		return
	}
	e.rotatedAt = now
	e.current, e.previous = make(map[Sender]int64), e.current
}
