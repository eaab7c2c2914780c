package inbound

import (
	"net/http"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
)

// noticeLogLimit is the maximum number of log lines per second about the server's notices.
const noticeLogLimit = 20

// serverNotices tracks what one instance of the backend server states about itself in its
// responses.
type serverNotices struct {
	mu      sync.Mutex
	current dialect.ServerNotice
	// limitedAt is when the latest response that stated a rate limit arrived.
	limitedAt time.Time
}

// noticeChange is the notice in force before and after a response.
type noticeChange struct{ before, after dialect.ServerNotice }

// observe applies the notice in a response that arrived at the time received, to a request sent at
// the time sent. complete is whether the absence of a rate limit means that there is none.
//
// Responses may be read in another order than the server wrote them. A response therefore raises or
// lifts a limit only if its request was sent after the latest response with a limit arrived. A server
// that leaves does not stay after all.
func (s *serverNotices) observe(n dialect.ServerNotice, complete bool, sent, received time.Time) noticeChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current
	inOrder := sent.After(s.limitedAt)
	switch {
	case n.Limited:
		if inOrder || !before.Limited || n.RateLimit < before.RateLimit {
			s.current.Limited, s.current.RateLimit = true, n.RateLimit
		}
		s.limitedAt = received
	case complete && inOrder:
		s.current.Limited, s.current.RateLimit = false, 0
	}
	s.current.Leaving = before.Leaving || n.Leaving
	return noticeChange{before, s.current}
}

// observeNotice applies the notice in the server's response to this call. A rejection need not
// repeat a limit that is in force.
func (c *call) observeNotice(resp *http.Response, sent time.Time) {
	d := c.h.opts.Dialect
	n, err := d.Notice(resp.Header.Get)
	if err != nil && c.h.noticeLog.Allow() {
		c.h.opts.Logger.Warn("inbound: notice of the backend server ignored", "server", c.instance.id, "request", c.head.GetRequestId(), "error", err)
	}
	complete := err == nil && !d.IsRejection(resp.StatusCode, resp.Header)
	change := c.instance.notices.observe(n, complete, sent, time.Now())
	if change.before != change.after {
		c.h.reportNotice(c, change)
	}
}

// reportNotice logs a change of the server's notice and updates the metrics.
func (h *Handler) reportNotice(c *call, change noticeChange) {
	h.opts.Metrics.SetServerNotice(change.after.RateLimit, change.after.Leaving)
	if !h.noticeLog.Allow() {
		return
	}
	h.opts.Logger.Info("inbound: notice of the backend server changed", "server", c.instance.id,
		"request", c.head.GetRequestId(), "from", c.head.GetSenderHost(),
		"limited", change.after.Limited, "requests_per_second", change.after.RateLimit, "leaving", change.after.Leaving,
		"was_limited", change.before.Limited, "was_requests_per_second", change.before.RateLimit, "was_leaving", change.before.Leaving)
}
