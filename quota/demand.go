package quota

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the mean that is reported to the owner. A
	// daemon that receives about one call per second needs several seconds to distinguish
	// demand from random variation.
	demandTimeConstant = 4 * time.Second
	// changeTimeConstant is the time constant of the mean that detects sudden changes. The
	// mean covers about twice this time.
	changeTimeConstant = 500 * time.Millisecond
	// changeThreshold is the difference between the square roots of the two means, in calls
	// per second, above which demand counts as changed. The square root of a Poisson count
	// has a standard deviation of about 0.5 whatever its mean, and one of 0.7 if calls come in
	// pairs, so the threshold is two and a half standard deviations. At 1.5, leases of holders
	// with equal demand differed by a factor of ten, and the holders of small ones rejected calls
	// when their owner was killed. At 2.1, a daemon with 4 calls per second that get 26 is not
	// noticed.
	changeThreshold = 1.75
	// minSample is the shortest time over which a rate is computed.
	minSample = 50 * time.Millisecond
	// minIdle is the shortest time without calls that counts as idle.
	minIdle = 200 * time.Millisecond
	// idleCalls is the number of expected calls that must be missing before demand is taken
	// to have ended. If calls come in pairs, as those of one request often do, random variation
	// leaves out that many about once in 150 times. With half of that, daemons that get a few
	// calls per second returned one lease in twelve calls, and asked for each token after that.
	idleCalls = 10
)

// demand estimates the rate of calls that arrive at one daemon, in calls per second.
type demand struct {
	// since is the time from which longMean is computed. Until demandTimeConstant has passed,
	// longMean is as if there had been no calls before: a daemon's first calls say little about
	// its demand. When they counted as the calls of one second, customers spread thinly over
	// many daemons were taken for several times their demand, and most of their limit was leased
	// to daemons that had no more calls.
	since time.Duration
	// at is the time of the latest sample, seen the number of arrivals at that time.
	at       time.Duration
	seen     int64
	longMean float64
	// shortMean follows sudden changes.
	shortMean float64
	// changes counts sudden changes of demand.
	changes int
}

// reset discards all earlier samples.
func (d *demand) reset(arrivals int64, now time.Duration) {
	*d = demand{since: now, at: now, seen: arrivals}
}

// observe adds a sample of the calls that have arrived since the previous one.
func (d *demand) observe(arrivals int64, now time.Duration) {
	dt := now - d.at
	if dt < minSample {
		return
	}
	rate := float64(arrivals-d.seen) / dt.Seconds()
	d.at, d.seen = now, arrivals
	d.shortMean += (rate - d.shortMean) * gain(dt, changeTimeConstant, now-d.since, time.Second)
	d.longMean += (rate - d.longMean) * gain(dt, demandTimeConstant, now-d.since, demandTimeConstant)
	if d.changed() {
		d.longMean = d.shortMean
		d.since = now - 2*changeTimeConstant
		d.changes++
	}
}

func (d *demand) changed() bool {
	return math.Abs(math.Sqrt(d.shortMean)-math.Sqrt(d.longMean)) > changeThreshold
}

// rate returns the estimated demand. Calls that no sample includes yet count during the first
// second, with the weight that they will have in a sample.
func (d *demand) rate(arrivals int64) float64 {
	if d.at-d.since >= time.Second {
		return d.longMean
	}
	return d.longMean + float64(arrivals-d.seen)/demandTimeConstant.Seconds()
}

// gain returns the weight of a sample: that of an arithmetic mean over at least minAge at first, of
// an exponential moving average later.
func gain(dt, constant, age, minAge time.Duration) float64 {
	return max(1-math.Exp(-dt.Seconds()/constant.Seconds()), dt.Seconds()/max(age, minAge).Seconds())
}

// idleAfter returns the time without calls after which demand is taken to have ended.
func idleAfter(rate float64, atMost time.Duration) time.Duration {
	if rate*atMost.Seconds() <= idleCalls {
		return atMost
	}
	return max(minIdle, time.Duration(idleCalls/rate*float64(time.Second)))
}
