package gate

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// rateBurstTime is the time over which unused starts of a rate limit accumulate.
	rateBurstTime = 500 * time.Millisecond
	// minRateLimit is the lowest rate at which calls start, in calls per second. Only the responses
	// of a backend server that accepts no calls show that it accepts calls again.
	minRateLimit = 0.2
	// maxRateLimit is the rate from which on a limit has no effect: no backend server gets as many
	// calls.
	maxRateLimit = 1e6
	// minRateDelay is the minimum delay until the next start is tried.
	minRateDelay = 100 * time.Microsecond
)

// rateLimit limits how many calls start per second. The zero value sets no limit.
type rateLimit struct {
	// limiter is nil if there is no limit.
	limiter *rate.Limiter
	// timer starts the next waiting call once the limit allows it. timerSet is whether it runs.
	timer    *time.Timer
	timerSet bool
}

// set limits the calls that start from now on to perSecond. Without a limit before, the first call
// starts after the time that the limit states for one call.
func (r *rateLimit) set(perSecond float64, now time.Time) {
	if perSecond >= maxRateLimit {
		r.clear()
		return
	}
	perSecond = max(perSecond, minRateLimit)
	burst := max(int(perSecond*rateBurstTime.Seconds()), 1)
	if r.limiter == nil {
		r.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		r.limiter.AllowN(now, burst)
		return
	}
	r.limiter.SetLimitAt(now, rate.Limit(perSecond))
	r.limiter.SetBurstAt(now, burst)
}

// clear removes the limit.
func (r *rateLimit) clear() { r.limiter = nil }

// perSecond returns the limit in calls per second, 0 if there is none.
func (r *rateLimit) perSecond() float64 {
	if r.limiter == nil {
		return 0
	}
	return float64(r.limiter.Limit())
}

// allows reports whether a call may start now.
func (r *rateLimit) allows(now time.Time) bool {
	return r.limiter == nil || r.limiter.TokensAt(now) >= 1
}

// take counts the start of a call.
func (r *rateLimit) take(now time.Time) {
	if r.limiter != nil {
		r.limiter.AllowN(now, 1)
	}
}

// wait returns the time until the n-th call from now may start, if all before it start as early as
// possible.
func (r *rateLimit) wait(n int, now time.Time) time.Duration {
	if r.limiter == nil {
		return 0
	}
	missing := float64(n) - r.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return secondsToDuration(missing / float64(r.limiter.Limit()))
}

// interval returns the mean time between two starts, 0 if there is no limit.
func (r *rateLimit) interval() time.Duration {
	if r.limiter == nil {
		return 0
	}
	return secondsToDuration(1 / float64(r.limiter.Limit()))
}

// secondsToDuration converts seconds to a duration, rounded up.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// SetRateLimit limits the calls that start to perSecond, counted over all customers and routes. Calls
// beyond that wait or are rejected as if no slot were free. Calls that already run continue.
func (g *Gate) SetRateLimit(perSecond float64) {
	g.changeRateLimit(func(now time.Time) { g.rate.set(perSecond, now) })
}

// ClearRateLimit removes the limit set by SetRateLimit.
func (g *Gate) ClearRateLimit() { g.changeRateLimit(func(time.Time) { g.rate.clear() }) }

func (g *Gate) changeRateLimit(change func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Now()
	change(now)
	g.stopRateTimer()
	g.dispatch(now)
	g.publish()
}

// setRateTimer lets the timer start the next waiting call, if the rate limit alone prevents that
// now. The caller holds mu.
func (g *Gate) setRateTimer(now time.Time) {
	if g.rate.timerSet || g.queue.len == 0 || g.rate.allows(now) {
		return
	}
	delay := max(g.rate.wait(1, now), minRateDelay)
	if g.rate.timer == nil {
		g.rate.timer = time.AfterFunc(delay, g.onRateTimer)
	} else {
		g.rate.timer.Reset(delay)
	}
	g.rate.timerSet = true
}

func (g *Gate) stopRateTimer() {
	if g.rate.timerSet && g.rate.timer.Stop() {
		g.rate.timerSet = false
	}
}

func (g *Gate) onRateTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate.timerSet = false
	g.dispatch(g.opts.Now())
	g.publish()
}

// rateForecast returns the forecast for the queue of a share as far as the rate limit determines
// it.
func (g *Gate) rateForecast(s *share, first, last int, now time.Time) forecast {
	f := forecast{base: g.rate.wait(first+1, now), step: g.rate.interval()}
	if n := s.queued; n > 0 {
		f.step += g.rate.interval() * time.Duration(last-first) / time.Duration(n)
	}
	return f
}

// rateLimitBinds reports whether a slot is free, so that only the rate limit may keep a call
// waiting.
func (g *Gate) rateLimitBinds() bool {
	return g.load.rateLimit.Load() != 0 && g.load.inUse.Load() < g.load.slots.Load()
}

// countRejection counts a call that was rejected because only the rate limit kept it waiting.
func (g *Gate) countRejection(err error) {
	if errkind.Of(err) == errkind.Overloaded && g.rateLimitBinds() {
		g.load.rateRejected.Add(1)
	}
}
