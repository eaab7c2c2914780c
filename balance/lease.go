package balance

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

// Result describes how a call ended.
type Result struct {
	// Kind is the kind of the daemon's error, or errkind.None if the backend server answered.
	Kind errkind.Kind
	// Status is the HTTP status of the answer, or 0 without an answer.
	Status int
	// Latency is the time from the choice of the server to the head of the answer, or to the end
	// of the call without one. It is 0 if it does not reflect the server, as for an upload that
	// the caller sent slowly.
	Latency time.Duration
	// Load is the load that the gate reported with the answer, or nil without a report.
	Load *Load
}

// freeSlotReportTTL is how long a gate's report of a free slot is valid. Queues form within the
// time that a call takes, about 100 ms.
const freeSlotReportTTL = instant(100 * time.Millisecond)

// Lease represents one call that is assigned to the picked server.
type Lease struct {
	picker *Picker
	pool   *pool
	member *member
	trial  bool
	ended  atomic.Bool
	// link accounts for the body of a call that was placed by the hosts' links.
	link linkLease
	// route is the route of the call if calls are placed by speed, empty otherwise. startedAt is when
	// the server was picked, expectedWait the wait for a slot that its gate had reported.
	route                   string
	startedAt, expectedWait instant
	// index is the position in speedStats.inFlight, whose mutex guards it.
	index int
}

// Server returns the server picked.
func (l *Lease) Server() *backend.Server { return l.member.server }

// HasFreeSlot reports whether a recent load report of the server's gate says that a call would
// not wait.
func (l *Lease) HasFreeSlot() bool {
	st, now := l.member.stats, l.picker.now()
	return st.reportedAt.load() != 0 && now-st.reportedAt.load() < freeSlotReportTTL && st.reportedWait.load() == 0
}

// Done ends the call and adds its result to the server's statistics. Only the first call of Done
// has an effect.
func (l *Lease) Done(r Result) {
	if l.ended.Swap(true) {
		return
	}
	st := l.member.stats
	l.link.settle(st)
	st.inFlight.Add(-1)
	now := l.picker.now()
	if l.route != "" {
		l.recordSpeed(r, now)
	}
	if st.record(l.observe(r), now) {
		l.pool.stale.Store(true)
	}
	if l.trial {
		st.trialInFlight.Store(false)
	}
}

// WithoutHop returns a time that includes the network delay of the call without that delay.
func (l *Lease) WithoutHop(d time.Duration) time.Duration {
	return time.Duration(l.withoutHop(d.Seconds()) * float64(time.Second))
}

// withoutHop subtracts the hop from a time in seconds. At least half remains: the hop is a setting
// and may exceed the real delay.
func (l *Lease) withoutHop(seconds float64) float64 { return max(seconds-l.member.hop, seconds/2) }

// recordSpeed records what the result shows about the speed of the server.
func (l *Lease) recordSpeed(r Result, now instant) {
	speed := &l.member.stats.speed
	switch {
	case r.Load != nil:
		speed.end(l, false, 0, now)
		if r.Load.RouteTime > 0 {
			speed.record(l.route, r.Load.RouteTime.Seconds(), now)
		}
	default:
		speed.end(l, outcomeOf(r) == outcomeAborted, r.Latency.Seconds()-l.member.hop, now)
	}
}

// observation is a result together with the pool's baseline at that time.
type observation struct {
	outcome outcome
	// latency is in seconds and excludes the hop.
	latency  float64
	slow     bool
	trial    bool
	load     *Load
	baseline baseline
}

func (l *Lease) observe(r Result) observation {
	baseline := l.pool.current.Load().baseline
	seconds := r.Latency.Seconds()
	latency := l.withoutHop(seconds)
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

// outcome is what a result indicates about the server. An error that the caller caused counts as
// an answer, and the daemons' own rejections are ignored: if rejections counted, a server that
// gets no calls because of them would never be observed to have recovered.
type outcome uint8

const (
	// outcomeNeutral results indicate nothing about the server.
	outcomeNeutral outcome = iota
	outcomeAnswered
	// outcomeAborted calls ended before the server answered, for a reason other than the server.
	// They would have taken longer, which matters if they had already taken long.
	outcomeAborted
	// outcomeDraining means that the server accepts no calls.
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
			// The deadline passed before the gate sent anything. The host may be silent, which no
			// other kind would reveal.
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
