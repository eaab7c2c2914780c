package capacity

import "time"

const (
	// pressureFrom is the use up to which a zone has no pressure. Below it, one of two gates with
	// some ten slots nearly always has a free one.
	pressureFrom = 0.8
	// maxPressure bounds the pressure. A call that waits for two service times is late for most
	// objectives; the queue cannot become more urgent.
	maxPressure = 3
	// fullPressure is the pressure of a zone whose slots are all in use.
	fullPressure = 1
	// probeInterval is the number of calls that would leave to a zone without pressure, per call
	// that goes to a zone of unknown pressure to learn it.
	probeInterval = 50
)

// Pressure returns what a slot in a zone of the given use is worth, as a multiple of the time that
// a call holds it: 0 where slots are free, 1 where all are in use, and one more for each call that
// waits per slot, since a call that arrives waits one service time longer for each of them.
func Pressure(use float64) float64 {
	switch {
	case use <= pressureFrom:
		return 0
	case use <= 1:
		return (use - pressureFrom) / (1 - pressureFrom)
	}
	return min(use, maxPressure)
}

// Call is what the decision about a call depends on.
type Call struct {
	// ServiceTime is the mean time that calls of the route take. With 0 the decision is left to
	// the caller.
	ServiceTime time.Duration
	// Bytes is the size of the request and the expected response.
	Bytes float64
	// KilobyteTime is the slot time that 1,000 bytes between zones are worth.
	KilobyteTime time.Duration
	// Refused is set if a gate has refused the call: whatever is known of its zone counts as full.
	Refused bool
	// Final is set if the call is rejected unless the next gate takes it. Its bytes then do not
	// count.
	Final bool
}

// Candidate is another zone to which a call can go.
type Candidate struct {
	AvailabilityZone string
	Knowledge
	// Hop is the time that a call to the zone takes additionally.
	Hop time.Duration
}

// Reason says why a call left its zone.
type Reason uint8

const (
	// Stayed calls have not left.
	Stayed Reason = iota
	// Relief calls saved more slot time than their bytes cost.
	Relief
	// Probe calls went to a zone of unknown or old use to learn it.
	Probe
	// Refused calls found no gate in their zone that takes them.
	Refused
	// NoServer calls had no usable server in their zone.
	NoServer
	// Unknown calls left by latency, since the use of their own zone or their service time is not
	// known.
	Unknown

	reasonCount
)

var reasonNames = [reasonCount]string{"stayed", "relief", "probe", "refused", "no_server", "unknown"}

// String returns the name of the reason as used in metrics.
func (r Reason) String() string { return reasonNames[r] }

// cost returns the slot time that a call to a zone behind the hop is worth.
func (c Call) cost(hop time.Duration) time.Duration {
	if c.Final {
		return hop
	}
	return time.Duration(c.Bytes/1000*float64(c.KilobyteTime)) + hop
}

// saved returns the slot time that a call saves by leaving a zone for another, both given by their
// pressure.
func (c Call) saved(own, other float64) time.Duration {
	return time.Duration((own - other) * float64(c.ServiceTime))
}

// leaveProbability returns the probability with which a call leaves. It grows from 0 where the call
// saves what it costs to 1 where it saves twice that. No call leaves for a zone without free slots,
// where it would wait as well. The probability is at most the difference of the pressures: of calls
// that cost little, all senders would otherwise move all at once on a small difference, which may
// be noise of the reports.
func (c Call) leaveProbability(own float64, to Candidate) float64 {
	other := Pressure(to.Use + to.Error)
	saved, cost := c.saved(own, other), c.cost(to.Hop)
	if !to.Known || saved <= cost || other >= fullPressure {
		return 0
	}
	p := min(own-other, 1)
	if cost > 0 {
		p = min(p, float64(saved)/float64(cost)-1)
	}
	return p
}

// Choose decides whether a call leaves its own zone. It returns the index of the candidate that the
// call goes to, or -1 if it stays. draw returns a random number in [0, 1). A difference of the uses
// that may be due to the error of the reports moves no calls. Without that margin, zones that are
// equally full exchange calls.
func (c Call) Choose(own Knowledge, others []Candidate, draw func() float64) (int, Reason) {
	pressure := Pressure(own.Use - own.Error)
	if c.Refused {
		pressure = max(pressure, fullPressure)
	}
	if pressure == 0 {
		return -1, Stayed
	}
	total, highest, probed := 0.0, 0.0, 0
	for _, o := range others {
		if c.mayProbe(pressure, o) {
			probed++
		}
		p := c.leaveProbability(pressure, o)
		total += p
		highest = max(highest, p)
	}
	if highest > 0 && draw() < highest {
		return c.drawKnown(pressure, others, draw()*total), Relief
	}
	if probed > 0 && draw() < 1.0/probeInterval {
		return c.drawProbed(pressure, others, int(draw()*float64(probed))), Probe
	}
	return -1, Stayed
}

// mayProbe reports whether the call may go to a zone to learn its use: the use is not known or may
// have changed, and the call would gain by leaving if the zone had no pressure.
func (c Call) mayProbe(own float64, other Candidate) bool {
	return (!other.Known || other.Stale) && c.saved(own, 0) > c.cost(other.Hop)
}

// drawKnown returns the candidate at a position in the sum of the probabilities.
func (c Call) drawKnown(own float64, others []Candidate, position float64) int {
	last := -1
	for i, o := range others {
		p := c.leaveProbability(own, o)
		if p == 0 {
			continue
		}
		if last = i; position < p {
			return i
		}
		position -= p
	}
	return last
}

// drawProbed returns the candidate with the given number among those that may be probed.
func (c Call) drawProbed(own float64, others []Candidate, n int) int {
	for i, o := range others {
		if !c.mayProbe(own, o) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// MayTakeRefused reports whether a call that no gate of its own zone takes now may go to another
// zone. A zone may have room unless fresh reports say that its slots are all in use. While the call
// can still wait longer in its own zone, which counts as full whatever is known of it, leaving must
// save more slot time than it costs, as for other calls.
func (c Call) MayTakeRefused(own float64, other Candidate) bool {
	pressure := 0.0
	if other.Known && !other.Stale {
		pressure = Pressure(other.Use)
	}
	if pressure >= fullPressure {
		return false
	}
	return c.Final || c.saved(max(Pressure(own), fullPressure), pressure) > c.cost(other.Hop)
}
