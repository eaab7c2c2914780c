package outbound

import (
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
)

// logEnd tells of a request that ended without a backend server's answer.
func (h *Handler) logEnd(r *http.Request, err error, start time.Time) {
	if err == nil {
		return
	}
	h.opts.Logger.Info("outbound: request not answered by a backend server",
		"request", dialect.Get(r.Header, h.opts.Dialect.RequestID), "path", rawPath(r),
		"kind", errkind.Of(err), "run", errkind.RunOf(err), "after", time.Since(start), "error", err)
}

// logRetry tells what was decided after a failed attempt.
func (c *call) logRetry(a *attempt, err error, again bool, reason string) {
	c.h.opts.Logger.Info("outbound: attempt failed",
		"request", c.requestID, "service", c.service, "attempt", c.attempts, "host", a.server.Host,
		"availability_zone", a.server.AvailabilityZone, "kind", errkind.Of(err), "arrived", a.arrived,
		"config", c.snap.Offset, "left", time.Until(c.deadline), "again", again, "reason", reason, "error", err)
}
