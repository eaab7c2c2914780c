package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

// Lease is one call's hold on the server that was picked for it.
type Lease struct {
	picker *Picker
	pool   *pool
	member *member
	done   atomic.Bool
}

// Server returns the server picked.
func (l *Lease) Server() *backend.Server { return l.member.server }

// Done ends the call at the server and takes its result as evidence. Only the
// first call has an effect.
func (l *Lease) Done(r Result) {
	if l.done.Swap(true) {
		return
	}
	e := l.member.evidence
	e.inFlight.Add(-1)
	if e.learn(r, l.picker.opts.Now()) {
		l.pool.stale.Store(true)
	}
}

// learn takes in a result and reports whether it changes who takes calls.
func (e *evidence) learn(r Result, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := stamp(now)
	if r.Load != nil {
		others := max(float64(r.Load.InUse+r.Load.Queued)-float64(e.inFlight.Load()), 0)
		e.others.Store(math.Float64bits(others))
		e.slots.Store(int64(r.Load.Slots))
		e.reportAt.Store(at)
	}
	switch verdictOf(r) {
	case leaving:
		e.drainingUntil.Store(at + int64(drainingFor))
		return true
	case failed:
		e.failures++
		if e.failures < failuresToEject {
			return false
		}
		e.ejection = min(max(2*e.ejection, firstEjection), maxEjection)
		e.ejectedUntil.Store(at + int64(e.ejection))
		return true
	case answered:
		e.failures = 0
		e.ejection = 0
		e.learnLatency(r.Latency.Seconds(), at)
	}
	return false
}

func (e *evidence) learnLatency(sample float64, at int64) {
	old := math.Float64frombits(e.latencySeconds.Load())
	if old == 0 {
		old = sample
	}
	const weight = 0.1
	e.latencySeconds.Store(math.Float64bits(old + weight*(sample-old)))
	e.latencyAt.Store(at)
}

// verdict is what a result says about the server.
type verdict uint8

const (
	// neutral results say nothing about the server.
	neutral verdict = iota
	answered
	// refused calls were turned away for lack of room: a matter of load.
	refused
	leaving
	failed
)

func verdictOf(r Result) verdict {
	switch r.Kind {
	case errkind.None:
		return verdictOfStatus(r.Status)
	case errkind.Draining:
		return leaving
	case errkind.Overloaded, errkind.DeadlineNotRun:
		return refused
	case errkind.Unreachable, errkind.BackendFailed, errkind.OutcomeUnknown, errkind.Deadline:
		return failed
	}
	return neutral
}

func verdictOfStatus(status int) verdict {
	switch {
	case status == 429 || status == 503:
		return refused
	case status == 500 || status == 502 || status == 504:
		return failed
	}
	return answered
}
