package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// latencyWeight is the weight of a call in the mean latency, shareWeight in
	// the shares of failed and slow calls.
	latencyWeight = 0.05
	rateWeight    = 0.07
	// latencyHalfLife and failureMemory are the times without a call after which
	// half of what was seen is replaced by what is usual. Without forgetting, a
	// server that is passed over would be so for good.
	latencyHalfLife = instant(2 * time.Second)
	failureHalfLife = instant(10 * time.Second)
	// slowRatio is how many times the baseline latency a slow call takes,
	// cutRatio one that was cut before it was answered. Without the second, a
	// server that hangs would not be noticed by callers with little time.
	slowRatio        = 8.0
	abortedSlowRatio = 2.0
	// ejectMargin is by how much the share of failed or of slow calls must exceed
	// what is typical of the peers for a server to be ejected.
	ejectMargin = 0.5
	// drainingReportTTL is how long a gate's word that it drains holds; by then the
	// membership has told everyone.
	drainingReportTTL = instant(10 * time.Second)
	// An ejected server gets one of callsPerTrial calls to try it, but one every
	// minTrial to maxTrial. It is restored after goodTrials good ones in a row,
	// since a slow server now and then answers quickly.
	callsPerTrial    = 4000
	minTrialInterval = instant(500 * time.Millisecond)
	maxTrialInterval = instant(30 * time.Second)
	trialsToRestore  = 3
)

// serverStats is what this daemon has seen of one server. It is read without a
// lock; those who write take the server's own.
type serverStats struct {
	inFlight atomic.Int64

	// latency is the geometric moving mean, in seconds and without the hop. The
	// geometric mean is not led astray by a few long calls among short ones.
	latency   atomicFloat
	updatedAt atomicInstant
	// otherLoad is the part of the slots that calls of other daemons take or wait
	// for, as the gate told at othersAt.
	otherLoad  atomicFloat
	reportedAt atomicInstant
	// reportedWait is how long a call had to reportedWait for a slot, as told at othersAt.
	reportedWait  atomicInstant
	reportedSlots atomic.Int64
	// failureRate and slowRate are the moving shares of calls that failed and of those
	// answered that were slowRate.
	failureRate, slowRate atomicFloat
	drainingUntil         atomicInstant

	ejected     atomic.Bool
	nextTrialAt atomicInstant
	// trialInFlight is set while a trial is under way.
	trialInFlight atomic.Bool
	// endedCalls counts the endedCalls that ended.
	endedCalls atomic.Int64

	mu sync.Mutex
	// latencySamples counts the samples in latency, goodTrials the run of goodTrials trials.
	latencySamples, goodTrials int
}

func (e *serverStats) draining(now instant) bool { return now < e.drainingUntil.load() }

// record takes in a result and reports whether it changes who takes calls.
func (e *serverStats) record(o observation, now instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endedCalls.Add(1)
	if o.load != nil {
		e.recordLoad(o.load, now)
	}
	if o.outcome == outcomeDraining || o.load != nil && o.load.Draining {
		known := e.draining(now)
		e.drainingUntil.store(now + drainingReportTTL)
		return !known
	}
	if o.outcome == outcomeNeutral || o.outcome == outcomeAborted && !o.slow {
		return false
	}
	e.applyDecay(o.baseline, now)
	e.recordOutcome(o)
	switch {
	case !e.ejected.Load():
		return e.isOutlier(o.baseline) && e.eject(o.baseline, now)
	case o.trial:
		return e.recordTrial(o.outcome == outcomeAnswered && !o.slow, o.baseline, now)
	}
	return false
}

func (e *serverStats) recordOutcome(o observation) {
	if o.outcome == outcomeFailed {
		e.failureRate.addSample(true)
		return
	}
	e.failureRate.addSample(false)
	e.slowRate.addSample(o.slow)
	e.recordLatency(o.latency)
}

// applyDecay replaces what has become old since the last call.
func (e *serverStats) applyDecay(b baseline, now instant) {
	e.latency.store(e.currentLatency(b, now))
	e.slowRate.store(e.slowRate.load() * e.freshness(failureHalfLife, now))
	e.failureRate.store(e.currentFailureRate(now))
	e.updatedAt.store(now)
}

// currentLatency returns the latency that is expected now, the usual one if none was
// seen.
func (e *serverStats) currentLatency(b baseline, now instant) float64 {
	seen := e.latency.load()
	if seen == 0 {
		return b.latency
	}
	return blend(b.latency, seen, e.freshness(latencyHalfLife, now))
}

// currentFailureRate returns the share of calls that is expected to fail now.
func (e *serverStats) currentFailureRate(now instant) float64 {
	return e.failureRate.load() * e.freshness(failureHalfLife, now)
}

// freshness returns the part of what was seen that still counts.
func (e *serverStats) freshness(halfLife, now instant) float64 {
	return decay(now-e.updatedAt.load(), halfLife)
}

// blend returns seen as far as it is fresh, and what is usual for the rest.
func blend(typical, seen, freshness float64) float64 { return typical + (seen-typical)*freshness }

// decay returns the part of something seen that still counts at an age.
func decay(age, halfLife instant) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

func (e *serverStats) recordLoad(l *Load, now instant) {
	others := max(float64(l.InUse+l.Queued)-float64(e.inFlight.Load()), 0)
	e.reportedSlots.Store(int64(l.Slots))
	e.otherLoad.store(others / float64(max(l.Slots, 1)))
	e.reportedWait.store(instant(l.Wait))
	e.reportedAt.store(now)
}

func (e *serverStats) recordLatency(seconds float64) {
	if seconds <= 0 {
		return
	}
	e.latencySamples++
	weight := max(latencyWeight, 1/float64(e.latencySamples))
	old := e.latency.load()
	e.latency.store(old * math.Pow(seconds/old, weight))
}

// isOutlier compares the server with its peers. What fails or is slow at all of
// them is not the server's fault.
func (e *serverStats) isOutlier(b baseline) bool {
	return e.failureRate.load() > b.failureRate+ejectMargin || e.slowRate.load() > b.slowRate+ejectMargin
}

func (e *serverStats) eject(b baseline, now instant) bool {
	e.goodTrials = 0
	e.nextTrialAt.store(now + b.trialInterval())
	e.ejected.Store(true)
	return true
}

// recordTrial takes in the result of a trial.
func (e *serverStats) recordTrial(good bool, b baseline, now instant) bool {
	if !good {
		return e.eject(b, now)
	}
	e.goodTrials++
	if e.goodTrials < trialsToRestore {
		return false
	}
	e.failureRate.store(0)
	e.slowRate.store(0)
	e.latency.store(0)
	e.latencySamples = 0
	e.ejected.Store(false)
	return true
}

// trialInterval returns the time between two trials of a server.
func (b baseline) trialInterval() instant {
	if b.callRate == 0 {
		return minTrialInterval
	}
	seconds := callsPerTrial / b.callRate
	return min(max(instant(seconds*float64(time.Second)), minTrialInterval), maxTrialInterval)
}

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// addSample takes in whether a call was of a kind whose moving share f is.
func (f *atomicFloat) addSample(hit bool) {
	share := f.load() * (1 - rateWeight)
	if hit {
		share += rateWeight
	}
	f.store(share)
}

// atomicInstant is an instant that is read and written atomically.
type atomicInstant struct{ v atomic.Int64 }

func (i *atomicInstant) load() instant   { return instant(i.v.Load()) }
func (i *atomicInstant) store(v instant) { i.v.Store(int64(v)) }
