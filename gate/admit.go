package gate

import (
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// queuedMargin is the minimum time, as a multiple of the service time, that a waiting call
	// must be expected to have left at its start for a new call of the same share to be queued.
	queuedMargin = 2
	// forecastErrorDivisor is the inverse of the relative error that is assumed for a forecast,
	// which is based on the mean over a few calls.
	forecastErrorDivisor = 16

	// maxWaitSlackDivisor is the inverse of the fraction by which a call's wait may exceed its
	// maximum wait.
	maxWaitSlackDivisor = 4
	// serviceDeviations is the number of mean deviations that are added to the mean service time
	// when a call is checked against its objective. In a full gate the wait of each call is at
	// its limit: with one deviation 1,841 of 8,657 lookups with an objective of 400 ms were late,
	// with two 1,408.
	serviceDeviations = 2
	// minWaitDivisor is the inverse of the fraction of the time left until the objective that a
	// call may always wait.
	minWaitDivisor = 8
	// minRankSlots is the number of slots assumed to be available to a rank whose more urgent
	// ranks use all slots: the load of those ranks varies.
	minRankSlots = 0.25

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// checkWait returns nil if the call may wait, and the error with which it is rejected otherwise.
// A call may wait if it can be answered in time and if it does not make a waiting call of the
// same account miss its due time. Due times determine the order within an account but do not decide
// admission: without the second condition, a customer's calls with short deadlines would displace
// its calls with long deadlines one by one after those have waited, which lowers goodput and
// delays the rejections.
func (g *Gate) checkWait(t *Ticket, now time.Time) error {
	a := t.account
	f := g.accountForecast(a, g.forecast(t.share, now))
	position := a.position(t.due)
	err := g.checkPosition(t, f, position, now)
	if err != nil && position > 0 && g.opts.AccountShares && g.waitAccepted(t, f.wait(0), now) {
		t.exceedsAccount = true
		return errAccountExcess.WithRetryAfter(errkind.RetryAfterOf(err))
	}
	return err
}

// waitAccepted reports whether the wait is within the limits of the call.
func (g *Gate) waitAccepted(t *Ticket, wait time.Duration, now time.Time) bool {
	return t.deadline.Sub(now) >= wait+t.share.serviceTime.value && (t.maxWait == 0 || wait <= t.maxWait)
}

// checkPosition returns the error with which a call is rejected that would wait at the position of
// its account's queue, or nil if it may wait.
func (g *Gate) checkPosition(t *Ticket, f forecast, position int, now time.Time) error {
	s, a := t.share, t.account
	left := t.deadline.Sub(now)
	if left < f.wait(position)+s.serviceTime.value {
		return g.noTimeError(t, left, f)
	}
	if t.maxWait > 0 && f.wait(position) > t.maxWait {
		return g.overloadedError().WithRetryAfter(t.retryAfter(f.wait(len(a.waiting))))
	}
	for i, w := range a.waiting {
		if i >= position {
			i++
		} else if s.yields {
			// The new call does not delay this one.
			continue
		}
		if w.missesDue(f.wait(i), now) {
			return g.overloadedError().WithRetryAfter(t.retryAfter(f.wait(len(a.waiting))))
		}
	}
	return nil
}

// missesDue reports whether a waiting call would miss its due time if it had to wait for the
// given time from now on. A call with a maximum wait must not be overtaken beyond it: the call
// would leave the queue when its wait times out, and start over at another gate.
func (t *Ticket) missesDue(wait time.Duration, now time.Time) bool {
	if t.maxWait > 0 {
		return t.due.Sub(now) < wait
	}
	margin := queuedMargin*t.share.serviceTime.value + wait/forecastErrorDivisor
	return t.due.Sub(now) < wait+margin
}

// noTimeError returns the error for a call whose remaining time is shorter than the expected
// service time, or than the expected wait plus the service time. If the service time estimate
// rather than the queue is the cause, it lowers the estimate.
func (g *Gate) noTimeError(t *Ticket, left time.Duration, f forecast) error {
	s, a := t.share, t.account
	if f.wait(0) < s.serviceTime.value {
		s.lowerEstimate()
	}
	if left < s.serviceTime.value {
		return errTooLittleTime
	}
	return g.overloadedError().WithRetryAfter(t.retryAfter(f.wait(len(a.waiting))))
}

// overloadedError returns the error of a call that cannot wait long enough.
func (g *Gate) overloadedError() *errkind.Error {
	if g.rateLimitBinds() {
		return errRateLimited
	}
	return errOverloaded
}

// forecast is the expected wait in the queue of one share as a function of the position.
type forecast struct {
	// base is the expected time until a slot is free for the first position, step the additional
	// time per position.
	base, step time.Duration
}

// wait returns the expected wait of the call at a position, counted from 0.
func (f forecast) wait(position int) time.Duration {
	return f.base + time.Duration(position)*f.step
}

// forecast returns the forecast for the queue of a share. It computes the slot time of the other
// shares' calls that go before the first and before the last call of the share, and interpolates
// linearly between the two. With a rate limit, it does the same with the numbers of the calls.
func (g *Gate) forecast(s *share, now time.Time) forecast {
	q, n := g.queue, s.queued
	reserved := g.reservedFrom(s)
	slots := time.Duration(g.limit.allowed() - reserved)
	release := g.nextRelease(s, int(slots))
	start := max(s.tag, q.virtualTime)
	first, firstCalls := q.aheadOf(s, start)
	last, lastCalls := q.aheadOf(s, start+time.Duration(n)*s.serviceTime.value)
	byRate := g.rateForecast(s, firstCalls, lastCalls, now)
	if g.inUse < g.limit.allowed() && byRate.base > 0 && reserved == 0 {
		return byRate
	}
	f := forecast{base: release + first/slots, step: s.serviceTime.value / slots}
	if n > 0 {
		f.step += (last - first) / time.Duration(n) / slots
	}
	f.step = max(f.step, time.Duration(float64(s.serviceTime.value)/g.slotsLeftFor(s)))
	return forecast{base: max(f.base, byRate.base), step: max(f.step, byRate.step)}
}

// slotsLeftFor returns the number of slots that the share can expect to use beside the mean use
// of the other shares, whose future calls may go first as well. Shares of a less urgent rank are
// not counted. The fair share of the slots applies only within the rank of s: more urgent ranks
// may use all slots but minRankSlots.
func (g *Gate) slotsLeftFor(s *share) float64 {
	slots := float64(g.limit.allowed())
	sameRank, urgentUsage := 1, 0.0
	for _, o := range g.queue.active {
		if o.rank == s.rank {
			sameRank++
		}
	}
	for rank, usage := range g.queue.usage {
		if rank < s.rank {
			urgentUsage += usage
		}
	}
	urgentUsage = max(urgentUsage, float64(g.reservedFrom(s)))
	fair := max(slots-urgentUsage, minRankSlots) / float64(sameRank)
	return max(slots-urgentUsage-(g.queue.usage[s.rank]-s.usage), fair)
}

// aheadOf returns the slot time and the number of the waiting calls of other shares that go before a
// call of s with the given start tag.
func (q *fairQueue) aheadOf(s *share, tag time.Duration) (ahead time.Duration, calls int) {
	for _, o := range q.active {
		switch {
		case o == s || o.rank > s.rank || o.rank == s.rank && o.tag > tag:
			continue
		case o.rank < s.rank:
			calls += o.queued
			ahead += time.Duration(o.queued) * o.serviceTime.value
		default:
			n := min(1+(tag-o.tag)/max(o.serviceTime.value, 1), time.Duration(o.queued))
			calls += int(n)
			ahead += n * o.serviceTime.value
		}
	}
	return ahead, calls
}

// retryAfter returns the retry-after time of a rejected call: the wait until the present queue
// has been served or, if shorter, half of the time within which the call could still start and be
// answered within its objective. Under sustained load, a caller that retries late finds the same
// queue as one that retries early, but gets its answer late: of 8,657 lookups 4,495 were answered
// within their objective with this bound, 4,167 without it.
func (t *Ticket) retryAfter(wait time.Duration) time.Duration {
	if t.objectiveWait > 0 && !t.gate.opts.RetryAfterIgnoresObjective {
		wait = min(wait, t.objectiveWait/2)
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// lowerEstimate lowers the estimated service time of the share slightly, so that the estimate is
// tested from time to time. Without this, a customer whose calls were slow for a while and are
// rejected for that reason would stay rejected after its calls have become fast again.
func (s *share) lowerEstimate() { s.serviceTime.value -= s.serviceTime.value / 64 }
