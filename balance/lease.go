package balance

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

// Result tells how a call ended.
type Result struct {
	// Kind is the daemon's error, errkind.None for a backend server's answer.
	Kind errkind.Kind
	// Status is the answer's HTTP status, 0 without an answer.
	Status int
	// Latency is the time from the choice to the head of the answer, or to the
	// end without one. 0 if it says nothing of the server, as with an upload
	// that took the caller long.
	Latency time.Duration
	// Load is what the gate reported with the answer, nil if nothing came.
	Load *Load
}

// freeSlotReportTTL is how long a gate's word that it has a free slot counts. Queues form within
// the time that a call takes, some 100 ms.
const freeSlotReportTTL = instant(100 * time.Millisecond)

// Lease is one call's hold on the server that was picked for it.
type Lease struct {
	picker *Picker
	pool   *pool
	member *member
	trial  bool
	ended  atomic.Bool
}

// Server returns the server picked.
func (l *Lease) Server() *backend.Server { return l.member.server }

// HasFreeSlot reports whether the server's gate has told of late that a call has not to wait.
func (l *Lease) HasFreeSlot() bool {
	e, now := l.member.stats, l.picker.now()
	return e.reportedAt.load() != 0 && now-e.reportedAt.load() < freeSlotReportTTL && e.reportedWait.load() == 0
}

// Done ends the call at the server and takes its result as evidence. Only the
// first call has an effect.
func (l *Lease) Done(r Result) {
	if l.ended.Swap(true) {
		return
	}
	e := l.member.stats
	e.inFlight.Add(-1)
	if e.record(l.observe(r), l.picker.now()) {
		l.pool.stale.Store(true)
	}
	if l.trial {
		e.trialInFlight.Store(false)
	}
}

// observation is a result beside what is typical of the peers.
type observation struct {
	outcome outcome
	// latency is in seconds, without the hop.
	latency  float64
	slow     bool
	trial    bool
	load     *Load
	baseline baseline
}

func (l *Lease) observe(r Result) observation {
	baseline := l.pool.current.Load().baseline
	seconds := r.Latency.Seconds()
	latency := max(seconds-l.member.hop, seconds/2)
	outcome, ratio := outcomeOf(r), slowRatio
	if outcome == outcomeAborted {
		ratio = abortedSlowRatio
	}
	return observation{
		outcome:  outcome,
		latency:  latency,
		slow:     latency > ratio*baseline.latency,
		baseline: baseline,
		trial:    l.trial,
		load:     r.Load,
	}
}

// outcome is what a result says about the server. A caller's own mistakes are
// answers like others, and our own refusals are no evidence: a server that is
// left alone because of refusals would never be seen to have recovered.
type outcome uint8

const (
	// outcomeNeutral results say nothing about the server.
	outcomeNeutral outcome = iota
	outcomeAnswered
	// outcomeAborted calls ended without the server's doing before it answered. They would
	// have taken longer, which tells something if it was long already.
	outcomeAborted
	// outcomeDraining servers take no calls.
	outcomeDraining
	outcomeFailed
)

func outcomeOf(r Result) outcome {
	switch r.Kind {
	case errkind.None:
		return outcomeOfStatus(r.Status)
	case errkind.Draining:
		return outcomeDraining
	case errkind.Unreachable, errkind.BackendFailed, errkind.BackendEnded, errkind.OutcomeUnknown, errkind.Shed:
		return outcomeFailed
	case errkind.Canceled, errkind.Deadline:
		return outcomeAborted
	case errkind.DeadlineNotRun:
		if r.Load == nil {
			// The time ran out before the gate said a word: its host may be
			// silent, which no other kind would ever show.
			return outcomeAborted
		}
	}
	return outcomeNeutral
}

func outcomeOfStatus(status int) outcome {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return outcomeFailed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return outcomeNeutral
	}
	return outcomeAnswered
}
