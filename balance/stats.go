package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of a call in the mean latency, rateWeight its weight in the
	// failure rate and the slow rate.
	latencyWeight = 0.05
	rateWeight    = 0.07
	// latencyHalfLife is the time without a call after which half of an observed latency is
	// replaced by the baseline, failureHalfLife the time after which the failure rate and the slow
	// rate are halved. Without this decay, a server that gets no calls because of old observations
	// would never get calls again.
	latencyHalfLife = instant(2 * time.Second)
	failureHalfLife = instant(10 * time.Second)
	// slowRatio is the multiple of the baseline latency from which on a call is slow,
	// abortedSlowRatio the multiple for a call that was aborted before it was answered. Without
	// the second one, callers with short deadlines would not notice a server that hangs.
	slowRatio        = 8.0
	abortedSlowRatio = 2.0
	// ejectMargin is the amount by which the failure rate or the slow rate of a server must
	// exceed the typical one of its peers for the server to be ejected.
	ejectMargin = 0.5
	// drainingReportTTL is how long a gate's report that it drains is valid. By then, the
	// membership has spread the state to all daemons.
	drainingReportTTL = instant(10 * time.Second)
	// An ejected server gets one trial call per callsPerTrial calls of the pool, at intervals
	// between minTrialInterval and maxTrialInterval. It is restored after trialsToRestore
	// successful trials in a row, since even a slow server occasionally answers quickly.
	callsPerTrial    = 4000
	minTrialInterval = instant(500 * time.Millisecond)
	maxTrialInterval = instant(30 * time.Second)
	trialsToRestore  = 3
)

// serverStats holds this daemon's observations of one server. It is read without a lock; writers
// of the fields derived from results hold mu.
type serverStats struct {
	inFlight atomic.Int64

	// latency is the geometric moving mean of the latency, in seconds and without the hop. A few
	// long calls among short ones distort a geometric mean less than an arithmetic one.
	latency   atomicFloat
	updatedAt atomicInstant
	// otherLoad is the fraction of the slots that calls of other daemons use or wait for, as the
	// gate reported at reportedAt.
	otherLoad  atomicFloat
	reportedAt atomicInstant
	// reportedWait is the expected wait for a slot, as reported at reportedAt.
	reportedWait  atomicInstant
	reportedSlots atomic.Int64
	// link holds what is known of the network link of the server's host.
	link linkState
	// rateInterval is the time between two calls that the server's rate limit allows, as reported at
	// reportedAt, 0 without a limit. rateReadyAt is when the next call is expected to start under it.
	rateInterval, rateReadyAt atomicInstant
	// failureRate is the moving fraction of calls that failed, slowRate that of answered calls
	// that were slow.
	failureRate, slowRate atomicFloat
	drainingUntil         atomicInstant

	ejected     atomic.Bool
	nextTrialAt atomicInstant
	// trialInFlight is set while a trial call is in flight.
	trialInFlight atomic.Bool
	// endedCalls is the number of calls that have ended.
	endedCalls atomic.Int64
	speed      speedStats

	mu sync.Mutex
	// latencySamples is the number of samples in latency, goodTrials the number of successful
	// trials in a row.
	latencySamples, goodTrials int
}

func (st *serverStats) draining(now instant) bool { return now < st.drainingUntil.load() }

// record adds a result to the statistics and reports whether the plan must be rebuilt.
func (st *serverStats) record(o observation, now instant) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.endedCalls.Add(1)
	if o.load != nil {
		st.recordLoad(o.load, now)
	}
	if o.outcome == outcomeDraining || o.load != nil && o.load.Draining {
		known := st.draining(now)
		st.drainingUntil.store(now + drainingReportTTL)
		return !known
	}
	if o.outcome == outcomeNeutral || o.outcome == outcomeAborted && !o.slow {
		return false
	}
	st.applyDecay(o.baseline, now)
	st.recordOutcome(o)
	switch {
	case !st.ejected.Load():
		return st.isOutlier(o.baseline) && st.eject(o.baseline, now)
	case o.trial:
		return st.recordTrial(o.outcome == outcomeAnswered && !o.slow, o.baseline, now)
	}
	return false
}

func (st *serverStats) recordOutcome(o observation) {
	if o.outcome == outcomeFailed {
		st.failureRate.addSample(true)
		return
	}
	st.failureRate.addSample(false)
	st.slowRate.addSample(o.slow)
	st.recordLatency(o.latency)
}

// applyDecay applies the decay since the last recorded call to the stored values.
func (st *serverStats) applyDecay(b baseline, now instant) {
	st.latency.store(st.currentLatency(b, now))
	st.slowRate.store(st.slowRate.load() * st.freshness(failureHalfLife, now))
	st.failureRate.store(st.currentFailureRate(now))
	st.updatedAt.store(now)
}

// currentLatency returns the expected latency at the instant now, or the baseline latency if none
// has been measured.
func (st *serverStats) currentLatency(b baseline, now instant) float64 {
	seen := st.latency.load()
	if seen == 0 {
		return b.latency
	}
	return blend(b.latency, seen, st.freshness(latencyHalfLife, now))
}

// currentFailureRate returns the expected failure rate at the instant now.
func (st *serverStats) currentFailureRate(now instant) float64 {
	return st.failureRate.load() * st.freshness(failureHalfLife, now)
}

// freshness returns the weight of the latest observations at the instant now, between 0 and 1.
func (st *serverStats) freshness(halfLife, now instant) float64 {
	return decay(now-st.updatedAt.load(), halfLife)
}

// blend interpolates between the typical value and the one seen, with the freshness as the weight
// of the latter.
func blend(typical, seen, freshness float64) float64 { return typical + (seen-typical)*freshness }

// decay returns the weight of an observation of the given age, between 0 and 1.
func decay(age, halfLife instant) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

func (st *serverStats) recordLoad(l *Load, now instant) {
	others := max(float64(l.InUse+l.Queued)-float64(st.inFlight.Load()), 0)
	slots := l.UsableSlots()
	st.reportedSlots.Store(int64(slots))
	st.otherLoad.store(others / float64(max(slots, 1)))
	st.reportedWait.store(instant(l.Wait))
	st.link.record(l)
	st.recordRate(l, now)
	st.reportedAt.store(now)
}

// recordRate records the rate limit in a load report.
func (st *serverStats) recordRate(l *Load, now instant) {
	if l.RateLimit == 0 {
		st.rateInterval.store(0)
		return
	}
	st.rateInterval.store(instant(float64(time.Second) / l.RateLimit))
	st.rateReadyAt.store(now + instant(l.Wait))
}

// reserveStart moves the time at which the rate limit allows the next call, for a call that is sent
// now. Until the gate's next report, the calls of this daemon would otherwise all expect the same
// start.
func (st *serverStats) reserveStart(now instant) {
	if interval := st.rateInterval.load(); interval > 0 {
		st.rateReadyAt.store(max(st.rateReadyAt.load(), now) + interval)
	}
}

// rateWait returns the expected wait of a call sent now until the rate limit allows its start. The
// last report counts however old it is, since a limit does not end while no call is sent.
func (st *serverStats) rateWait(now instant) time.Duration {
	if st.rateInterval.load() == 0 {
		return 0
	}
	return time.Duration(max(st.rateReadyAt.load()-now, 0))
}

// waitReportTTL is how long a gate's report of a long queue diverts calls. A queue that is too
// long does not empty within that time.
const waitReportTTL = instant(30 * time.Millisecond)

// waitHistoryTTL is how long a reported wait is part of the time that a call is expected to take.
const waitHistoryTTL = instant(time.Second)

// knownWait returns the wait that a call sent now would certainly meet at the gate: the one that the
// gate has just reported, or that its rate limit causes.
func (st *serverStats) knownWait(now instant) time.Duration {
	if now-st.reportedAt.load() < waitReportTTL {
		return max(time.Duration(st.reportedWait.load()), st.rateWait(now))
	}
	return st.rateWait(now)
}

// lastWait returns the wait for a slot that the gate reported in the last second, less the time
// since then.
func (st *serverStats) lastWait(now instant) instant {
	age := now - st.reportedAt.load()
	if age > waitHistoryTTL {
		return 0
	}
	return max(st.reportedWait.load()-age, 0)
}

func (st *serverStats) recordLatency(seconds float64) {
	if seconds <= 0 {
		return
	}
	st.latencySamples++
	weight := max(latencyWeight, 1/float64(st.latencySamples))
	old := st.latency.load()
	st.latency.store(old * math.Pow(seconds/old, weight))
}

// isOutlier reports whether the server fails or is slow markedly more often than its peers.
// Failures and slow calls that all servers have are not attributed to the server.
func (st *serverStats) isOutlier(b baseline) bool {
	return st.failureRate.load() > b.failureRate+ejectMargin || st.slowRate.load() > b.slowRate+ejectMargin
}

func (st *serverStats) eject(b baseline, now instant) bool {
	st.goodTrials = 0
	st.nextTrialAt.store(now + b.trialInterval())
	st.ejected.Store(true)
	return true
}

// recordTrial records the result of a trial and reports whether the plan must be rebuilt.
func (st *serverStats) recordTrial(good bool, b baseline, now instant) bool {
	if !good {
		return st.eject(b, now)
	}
	st.goodTrials++
	if st.goodTrials < trialsToRestore {
		return false
	}
	st.failureRate.store(0)
	st.slowRate.store(0)
	st.latency.store(0)
	st.latencySamples = 0
	st.ejected.Store(false)
	return true
}

// trialInterval returns the time between two trials of an ejected server.
func (b baseline) trialInterval() instant {
	if b.callRate == 0 {
		return minTrialInterval
	}
	seconds := callsPerTrial / b.callRate
	return min(max(instant(seconds*float64(time.Second)), minTrialInterval), maxTrialInterval)
}

// atomicFloat is a float64 with atomic access.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// addSample updates the moving fraction of hits in f with one sample.
func (f *atomicFloat) addSample(hit bool) {
	share := f.load() * (1 - rateWeight)
	if hit {
		share += rateWeight
	}
	f.store(share)
}

// atomicInstant is an instant with atomic access.
type atomicInstant struct{ v atomic.Int64 }

func (i *atomicInstant) load() instant   { return instant(i.v.Load()) }
func (i *atomicInstant) store(v instant) { i.v.Store(int64(v)) }
