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
	// surgeTime is the time constant of the mean that finds sudden changes.
	surgeTime = 500 * time.Millisecond
	// surgeSigmas is how far the short mean strays before the long one is set
	// to it.
	surgeSigmas = 3
	// minSample is the shortest time over which a rate is taken.
	minSample = 50 * time.Millisecond
	// firstSample is the time over which the first calls are spread, before
	// there is a mean.
	firstSample = time.Second
)

// demand estimates the calls per second that arrive at one daemon.
type demand struct {
	at   time.Duration
	seen int64
	long float64
	// short follows sudden changes; it spans about 2 surgeTime.
	short float64
}

// observe takes in the calls that have arrived up to now.
func (d *demand) observe(arrivals int64, now time.Duration) {
	dt := now - d.at
	if dt < minSample {
		return
	}
	rate := float64(arrivals-d.seen) / dt.Seconds()
	d.at, d.seen = now, arrivals
	d.short += (rate - d.short) * gain(dt, surgeTime)
	d.long += (rate - d.long) * gain(dt, demandTime)
	if d.surged() {
		d.long = d.short
	}
}

// surged reports whether the two means differ by more than chance explains.
func (d *demand) surged() bool {
	span := 2 * surgeTime.Seconds()
	expected := d.long * span
	return math.Abs(d.short*span-expected) > surgeSigmas*math.Sqrt(expected)+2
}

// rate returns the demand, with what has arrived since the last sample.
func (d *demand) rate(arrivals int64) float64 {
	return d.long + float64(arrivals-d.seen)/firstSample.Seconds()
}

// restart forgets the past.
func (d *demand) restart(arrivals int64, now time.Duration) {
	*d = demand{at: now, seen: arrivals}
}

func gain(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/constant.Seconds())
}
