package gate

import "time"

// minRouteSamples is the number of calls of a route that must have ended before their mean slot time
// is reported. With fewer, one long call would make a server look slow.
const minRouteSamples = 3

// RouteTime returns the mean slot time of the calls of c's route and rank, or 0 if c has no route or
// too few of its calls have ended. The time includes that of nested calls that a call waits for.
func (g *Gate) RouteTime(c Call) time.Duration {
	if c.Route == "" {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.queue.shares[c.key()]
	if !ok {
		return 0
	}
	return s.serviceTime.measured(g.opts.ServiceTime)
}

// measured returns the mean without the assumed value that it started with, or 0 with fewer than
// minRouteSamples samples beside that value.
func (m movingMean) measured(assumed time.Duration) time.Duration {
	n := m.samples - 1
	switch {
	case n < minRouteSamples:
		return 0
	case m.samples == maxSamples:
		return m.value
	}
	return max(m.value+(m.value-assumed)/time.Duration(n), 0)
}
