package telemetry

import (
	"sync/atomic"
	"time"
)

// LogLimiter lets a number of log lines through each second, the zero value all. It is
// safe for concurrent use; around the turn of a second a few lines too many may pass.
type LogLimiter struct {
	perSecond int64
	state     *limitState
}

type limitState struct {
	second, passed atomic.Int64
}

// NewLogLimiter returns a limit of so many lines a second.
func NewLogLimiter(perSecond int64) LogLimiter {
	return LogLimiter{perSecond: perSecond, state: &limitState{}}
}

// Allow reports whether the next line may be written.
func (l LogLimiter) Allow() bool {
	if l.state == nil {
		return true
	}
	now := time.Now().Unix()
	if l.state.second.Swap(now) != now {
		l.state.passed.Store(0)
	}
	return l.state.passed.Add(1) <= l.perSecond
}
