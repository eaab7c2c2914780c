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
	shareWeight   = 0.07
	// latencyMemory and failureMemory are the times without a call after which
	// half of what was seen is replaced by what is usual. Without forgetting, a
	// server that is passed over would be so for good.
	latencyMemory = instant(2 * time.Second)
	failureMemory = instant(10 * time.Second)
	// slowRatio is how many times the baseline latency a slow call takes,
	// cutRatio one that was cut before it was answered. Without the second, a
	// server that hangs would not be noticed by callers with little time.
	slowRatio = 8.0
	cutRatio  = 2.0
	// ejectMargin is by how much the share of failed or of slow calls must exceed
	// what is typical of the peers for a server to be ejected.
	ejectMargin = 0.5
	// drainingFor is how long a gate's word that it drains holds; by then the
	// membership has told everyone.
	drainingFor = instant(10 * time.Second)
	// An ejected server gets one of trialShare calls to try it, but one every
	// minTrial to maxTrial. It is restored after goodTrials good ones in a row,
	// since a slow server now and then answers quickly.
	trialShare = 4000
	minTrial   = instant(500 * time.Millisecond)
	maxTrial   = instant(30 * time.Second)
	goodTrials = 3
)

// evidence is what this daemon has seen of one server. It is read without a
// lock; those who write take the server's own.
type evidence struct {
	inFlight atomic.Int64

	// latency is the geometric moving mean, in seconds and without the hop. The
	// geometric mean is not led astray by a few long calls among short ones.
	latency atomicFloat
	seenAt  atomicInstant
	// others is the part of the slots that calls of other daemons take or wait
	// for, as the gate told at othersAt.
	others   atomicFloat
	othersAt atomicInstant
	// wait is how long a call had to wait for a slot, as told at othersAt.
	wait  atomicInstant
	slots atomic.Int64
	// failing and slow are the moving shares of calls that failed and of those
	// answered that were slow.
	failing, slow atomicFloat
	drainingUntil atomicInstant

	ejected atomic.Bool
	trialAt atomicInstant
	// trying is set while a trial is under way.
	trying atomic.Bool
	// calls counts the calls that ended.
	calls atomic.Int64

	mu sync.Mutex
	// latencies counts the samples in latency, good the run of good trials.
	latencies, good int
}

func (e *evidence) draining(now instant) bool { return now < e.drainingUntil.load() }

// learn takes in a result and reports whether it changes who takes calls.
func (e *evidence) learn(o observation, now instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Add(1)
	if o.load != nil {
		e.learnLoad(o.load, now)
	}
	if o.verdict == leaving || o.load != nil && o.load.Draining {
		known := e.draining(now)
		e.drainingUntil.store(now + drainingFor)
		return !known
	}
	if o.verdict == neutral || o.verdict == cut && !o.slow {
		return false
	}
	e.forget(o.baseline, now)
	e.learnVerdict(o)
	switch {
	case !e.ejected.Load():
		return e.isOutlier(o.baseline) && e.eject(o.baseline, now)
	case o.trial:
		return e.tried(o.verdict == answered && !o.slow, o.baseline, now)
	}
	return false
}

func (e *evidence) learnVerdict(o observation) {
	if o.verdict == failed {
		e.failing.learn(true)
		return
	}
	e.failing.learn(false)
	e.slow.learn(o.slow)
	e.learnLatency(o.latency)
}

// forget replaces what has become old since the last call.
func (e *evidence) forget(b baseline, now instant) {
	e.latency.store(e.latencyNow(b, now))
	e.slow.store(e.slow.load() * e.fresh(failureMemory, now))
	e.failing.store(e.failingNow(now))
	e.seenAt.store(now)
}

// latencyNow returns the latency that is expected now, the usual one if none was
// seen.
func (e *evidence) latencyNow(b baseline, now instant) float64 {
	seen := e.latency.load()
	if seen == 0 {
		return b.latency
	}
	return mix(b.latency, seen, e.fresh(latencyMemory, now))
}

// failingNow returns the share of calls that is expected to fail now.
func (e *evidence) failingNow(now instant) float64 {
	return e.failing.load() * e.fresh(failureMemory, now)
}

// fresh returns the part of what was seen that still counts.
func (e *evidence) fresh(half, now instant) float64 { return decay(now-e.seenAt.load(), half) }

// mix returns seen as far as it is fresh, and what is usual for the rest.
func mix(usual, seen, fresh float64) float64 { return usual + (seen-usual)*fresh }

// decay returns the part of something seen that still counts at an age.
func decay(age, half instant) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

func (e *evidence) learnLoad(l *Load, now instant) {
	others := max(float64(l.InUse+l.Queued)-float64(e.inFlight.Load()), 0)
	e.slots.Store(int64(l.Slots))
	e.others.store(others / float64(max(l.Slots, 1)))
	e.wait.store(instant(l.Wait))
	e.othersAt.store(now)
}

func (e *evidence) learnLatency(seconds float64) {
	if seconds <= 0 {
		return
	}
	e.latencies++
	weight := max(latencyWeight, 1/float64(e.latencies))
	old := e.latency.load()
	e.latency.store(old * math.Pow(seconds/old, weight))
}

// isOutlier compares the server with its peers. What fails or is slow at all of
// them is not the server's fault.
func (e *evidence) isOutlier(b baseline) bool {
	return e.failing.load() > b.failing+ejectMargin || e.slow.load() > b.slow+ejectMargin
}

func (e *evidence) eject(b baseline, now instant) bool {
	e.good = 0
	e.trialAt.store(now + b.trialInterval())
	e.ejected.Store(true)
	return true
}

// tried takes in the result of a trial.
func (e *evidence) tried(good bool, b baseline, now instant) bool {
	if !good {
		return e.eject(b, now)
	}
	e.good++
	if e.good < goodTrials {
		return false
	}
	e.failing.store(0)
	e.slow.store(0)
	e.latency.store(0)
	e.latencies = 0
	e.ejected.Store(false)
	return true
}

// trialInterval returns the time between two trials of a server.
func (b baseline) trialInterval() instant {
	if b.rate == 0 {
		return minTrial
	}
	seconds := trialShare / b.rate
	return min(max(instant(seconds*float64(time.Second)), minTrial), maxTrial)
}

// atomicFloat is a float64 that is read and written atomically.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// learn takes in whether a call was of a kind whose moving share f is.
func (f *atomicFloat) learn(is bool) {
	share := f.load() * (1 - shareWeight)
	if is {
		share += shareWeight
	}
	f.store(share)
}

// atomicInstant is an instant that is read and written atomically.
type atomicInstant struct{ v atomic.Int64 }

func (i *atomicInstant) load() instant   { return instant(i.v.Load()) }
func (i *atomicInstant) store(v instant) { i.v.Store(int64(v)) }
