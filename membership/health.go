package membership

import (
	"math/bits"
	"time"
)

// healthWindow is the number of latest probe outcomes from which a daemon derives its own
// health.
const healthWindow = 8

// health is a daemon's estimate of its own health. A probe that is answered neither by the
// target nor by any of the members asked to probe it indirectly indicates a fault of this
// daemon, for example of its link or processor, rather than of the target. Without this
// estimate, a faulty daemon would report one healthy member after another as suspect.
type health struct {
	// failures has one bit per outcome, set for a failure, with the latest outcome in the lowest
	// bit.
	failures uint8
	outcomes int
}

// record adds the outcome of a probe.
func (h *health) record(ok bool) {
	h.failures <<= 1
	if !ok {
		h.failures |= 1
	}
	h.outcomes = min(h.outcomes+1, healthWindow)
}

func (h *health) failed() int { return bits.OnesCount8(h.failures) }

// degraded reports whether more than half of the latest probes failed. It needs at least half a
// window of outcomes.
func (h *health) degraded() bool {
	return h.outcomes >= healthWindow/2 && 2*h.failed() > h.outcomes
}

// scale extends a timeout with the number of failed probes, up to five times.
func (h *health) scale(d time.Duration) time.Duration {
	return d + d*time.Duration(h.failed())/2
}
