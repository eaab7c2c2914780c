package telemetry

import (
	"sync/atomic"
	"time"
)

// LineLimit lets a number of log lines through each second, the zero value all. It is
// safe for concurrent use; around the turn of a second a few lines too many may pass.
type LineLimit struct {
	perSecond int64
	state     *limitState
}

type limitState struct {
	second, passed atomic.Int64
}

// NewLineLimit returns a limit of so many lines a second.
func NewLineLimit(perSecond int64) LineLimit {
	return LineLimit{perSecond: perSecond, state: &limitState{}}
}

// Allow reports whether the next line may be written.
func (l LineLimit) Allow() bool {
	if l.state == nil {
		return true
	}
	now := time.Now().Unix()
	if l.state.second.Swap(now) != now {
		l.state.passed.Store(0)
	}
	return l.state.passed.Add(1) <= l.perSecond
}
