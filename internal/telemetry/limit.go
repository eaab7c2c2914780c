package telemetry

import (
	"sync/atomic"
	"time"
)

// LogLimiter limits the number of log lines per second. The zero value allows all lines. It is safe
// for concurrent use. When a new second begins, it may allow a few lines more than the limit.
type LogLimiter struct {
	perSecond int64
	state     *limiterState
}

// limiterState is shared by the copies of a LogLimiter.
type limiterState struct {
	// second is the Unix time in seconds that allowed counts lines for.
	second, allowed atomic.Int64
}

// NewLogLimiter returns a LogLimiter that allows perSecond lines per second.
func NewLogLimiter(perSecond int64) LogLimiter {
	return LogLimiter{perSecond: perSecond, state: &limiterState{}}
}

// Allow reports whether the next line may be written.
func (l LogLimiter) Allow() bool {
	if l.state == nil {
		return true
	}
	now := time.Now().Unix()
	if l.state.second.Swap(now) != now {
		l.state.allowed.Store(0)
	}
	return l.state.allowed.Add(1) <= l.perSecond
}
