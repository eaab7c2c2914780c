package membership

import (
	"math/bits"
	"time"
)

// healthWindow is how many outcomes of its own probes a daemon judges itself
// by.
const healthWindow = 8

// health is a daemon's judgement of itself. A probe to which neither the target
// nor any of those asked to help has answered speaks against this daemon rather
// than against the target: its link or its processor may be what fails, and
// without this it would report one healthy member after another.
type health struct {
	// failures has one bit for each outcome, the latest lowest.
	failures uint8
	outcomes int
}

// record adds an outcome.
func (h *health) record(ok bool) {
	h.failures <<= 1
	if !ok {
		h.failures |= 1
	}
	h.outcomes = min(h.outcomes+1, healthWindow)
}

func (h *health) failed() int { return bits.OnesCount8(h.failures) }

// degraded reports whether most of the latest probes found nobody. It takes
// half a window to tell.
func (h *health) degraded() bool {
	return h.outcomes >= healthWindow/2 && 2*h.failed() > h.outcomes
}

// scale stretches a timeout by up to five times as probes fail.
func (h *health) scale(d time.Duration) time.Duration {
	return d + d*time.Duration(h.failed())/2
}
