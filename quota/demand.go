package quota

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the mean that is reported. A daemon
	// that sees about one call per second needs several seconds to tell demand
	// from chance.
	demandTime = 4 * time.Second
	// surgeTime is the time constant of the mean that finds sudden changes; it
	// spans about twice that time.
	surgeTime = 500 * time.Millisecond
	// surgeRoots is by how much the roots of the counts that the two means
	// expect in a second differ when demand has changed. The root of a Poisson
	// count deviates by half from its mean, whatever the mean: three
	// deviations.
	surgeRoots = 1.5
	// minSample is the shortest time over which a rate is taken.
	minSample = 50 * time.Millisecond
	// minIdle is the shortest time without calls that is taken for idleness.
	minIdle = 200 * time.Millisecond
	// idleCalls is how many calls are missing when demand is taken to have
	// ended; chance leaves out as many once in 150 times.
	idleCalls = 5
)

// demand estimates the calls per second that arrive at one daemon.
type demand struct {
	// since is the time from which long is taken.
	since time.Duration
	at    time.Duration
	seen  int64
	long  float64
	// short follows sudden changes.
	short float64
	// surges counts sudden changes.
	surges int
}

// restart forgets the past.
func (d *demand) restart(arrivals int64, now time.Duration) {
	*d = demand{since: now, at: now, seen: arrivals}
}

// observe takes in the calls that have arrived up to now.
func (d *demand) observe(arrivals int64, now time.Duration) {
	dt := now - d.at
	if dt < minSample {
		return
	}
	rate := float64(arrivals-d.seen) / dt.Seconds()
	d.at, d.seen = now, arrivals
	d.short += (rate - d.short) * gain(dt, surgeTime, now-d.since)
	d.long += (rate - d.long) * gain(dt, demandTime, now-d.since)
	if d.surged() {
		d.long = d.short
		d.since = now - 2*surgeTime
		d.surges++
	}
}

func (d *demand) surged() bool {
	return math.Abs(math.Sqrt(d.short)-math.Sqrt(d.long)) > surgeRoots
}

// rate returns the demand. The first calls count before there is a sample.
func (d *demand) rate(arrivals int64) float64 {
	if d.at-d.since >= time.Second {
		return d.long
	}
	return d.long + float64(arrivals-d.seen)
}

// gain is the weight of a sample: that of a plain mean at first, of an
// exponential one later.
func gain(dt, constant, age time.Duration) float64 {
	return max(1-math.Exp(-dt.Seconds()/constant.Seconds()), dt.Seconds()/max(age, time.Second).Seconds())
}

// idleAfter returns how long no call comes before demand is taken to have
// ended.
func idleAfter(rate float64, atMost time.Duration) time.Duration {
	if rate*atMost.Seconds() <= idleCalls {
		return atMost
	}
	return max(minIdle, time.Duration(idleCalls/rate*float64(time.Second)))
}
