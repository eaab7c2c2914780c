package inbound

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/peerpb"
)

// noticeLogLimit is the maximum number of log lines per second about the server's notices.
const noticeLogLimit = 20

// serverNotices tracks what one instance of the backend server states about itself in its
// responses.
type serverNotices struct {
	mu sync.Mutex
	// instance is the latest one that stands for the server, whose gate enforces the notice.
	instance *serverInstance
	current  dialect.ServerNotice
	// observed is whether the instance has responded to this process.
	observed bool
	// limitedAt is when the latest response that stated a rate limit arrived.
	limitedAt time.Time
	// sent is the notice in force as a message, nil if the server states nothing.
	sent atomic.Pointer[peerpb.ServerNotice]
}

// noticeChange is the notice in force before and after an observation.
type noticeChange struct{ before, after dialect.ServerNotice }

// changed reports whether the notice in force is another one.
func (n noticeChange) changed() bool { return n.before != n.after }

// beganLeaving reports whether the server has just stated that it leaves.
func (n noticeChange) beganLeaving() bool { return n.after.Leaving && !n.before.Leaving }

// observe applies the notice in a response that arrived at the time received, to a request sent at
// the time sent. complete is whether the absence of a rate limit means that there is none.
//
// Responses may be read in another order than the server wrote them. A response therefore raises or
// lifts a limit only if its request was sent after the latest response with a limit arrived. A server
// that leaves does not stay after all.
func (s *serverNotices) observe(n dialect.ServerNotice, complete bool, sent, received time.Time) noticeChange {
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
	s.observed = s.observed || complete
	return noticeChange{before, s.current}
}

// adopt applies a notice that another daemon received from the instance through an earlier process
// of this daemon. Its rate limit counts until the instance itself responds to this process.
func (s *serverNotices) adopt(n dialect.ServerNotice) noticeChange {
	before := s.current
	if n.Limited && !s.observed && (!before.Limited || n.RateLimit < before.RateLimit) {
		s.current.Limited, s.current.RateLimit = true, n.RateLimit
	}
	s.current.Leaving = before.Leaving || n.Leaving
	return noticeChange{before, s.current}
}

// message returns the notice in force for other daemons, nil if the server states nothing.
func (s *serverNotices) message() *peerpb.ServerNotice { return s.sent.Load() }

// changeNotice applies a change to the notice in force and to the gate, in one step. The calls of a
// replaced instance change the notice as well.
func (s *serverInstance) changeNotice(change func(*serverNotices) noticeChange) noticeChange {
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	c := change(s.notices)
	if c.changed() {
		s.notices.instance.enforce(c.after)
		s.notices.sent.Store(s.noticeMessage(c.after))
	}
	return c
}

// enforce applies a notice to the gate.
func (s *serverInstance) enforce(n dialect.ServerNotice) {
	if n.Limited {
		s.gate.SetRateLimit(n.RateLimit)
	} else {
		s.gate.ClearRateLimit()
	}
	if n.Leaving {
		s.gate.Evict()
	}
}

// takeOverNotices makes the notice in force, and later ones, apply to the gate of this instance.
func (s *serverInstance) takeOverNotices() {
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	s.notices.instance = s
	s.enforce(s.notices.current)
}

func (s *serverInstance) noticeMessage(n dialect.ServerNotice) *peerpb.ServerNotice {
	if n == (dialect.ServerNotice{}) {
		return nil
	}
	return &peerpb.ServerNotice{
		ServerId: s.id, ServerStartUnixMs: s.startUnixMs.Load(),
		Limited: n.Limited, RequestsPerSecond: n.RateLimit, Leaving: n.Leaving,
	}
}

// isAbout reports whether a notice is that of the instance. One of the two may lack a start.
func (s *serverInstance) isAbout(m *peerpb.ServerNotice) bool {
	start, stated := s.startUnixMs.Load(), m.GetServerStartUnixMs()
	return s.id != "" && m.GetServerId() == s.id && (start == stated || start == 0 || stated == 0)
}

// observeNotice applies the notice in the server's response to this call.
func (c *call) observeNotice(resp *http.Response, sent time.Time) {
	n, err := c.h.opts.Dialect.Notice(resp.Header)
	if err != nil && c.h.noticeLog.Allow() {
		c.h.opts.Logger.Warn("inbound: notice of the backend server ignored", "server", c.instance.id, "request", c.head.GetRequestId(), "error", err)
	}
	complete := err == nil && c.isServersOwn(resp)
	c.applyNotice("response", func(s *serverNotices) noticeChange { return s.observe(n, complete, sent, time.Now()) })
}

// isServersOwn reports whether a response is certainly one that the server wrote itself for a call
// that it ran. Others, such as rejections, need not repeat a limit that is in force.
func (c *call) isServersOwn(resp *http.Response) bool {
	return !c.h.opts.Dialect.IsRejection(resp.StatusCode, resp.Header) && c.isSigned(resp)
}

// adoptNotice applies the notice that the sender has received from the server. It returns the
// rejection of a call to a server that leaves: this daemon may have restarted since the server
// stated that.
func (c *call) adoptNotice() error {
	m := c.head.GetServerNotice()
	if m == nil || !c.instance.isAbout(m) {
		return nil
	}
	n := dialect.ServerNotice{Limited: m.GetLimited(), RateLimit: m.GetRequestsPerSecond(), Leaving: m.GetLeaving()}
	c.applyNotice("daemon", func(s *serverNotices) noticeChange { return s.adopt(n) })
	if n.Leaving {
		return errkind.Newf(errkind.Draining, "backend server %s has stated that it leaves", c.instance.id)
	}
	return nil
}

// applyNotice changes the notice in force and reports the change. source is where the notice comes
// from.
func (c *call) applyNotice(source string, change func(*serverNotices) noticeChange) {
	n := c.instance.changeNotice(change)
	if !n.changed() {
		return
	}
	c.h.opts.Metrics.SetServerNotice(n.after.RateLimit, n.after.Leaving)
	if c.h.noticeLog.Allow() {
		c.h.opts.Logger.Info("inbound: notice of the backend server changed", "server", c.instance.id, "source", source,
			"request", c.head.GetRequestId(), "from", c.head.GetSenderHost(),
			"limited", n.after.Limited, "requests_per_second", n.after.RateLimit, "leaving", n.after.Leaving,
			"was_limited", n.before.Limited, "was_requests_per_second", n.before.RateLimit)
	}
	if n.beganLeaving() {
		c.h.opts.OnServerLeaving(c.instance.id)
	}
}

// serverNotice returns the notice of the server that the call goes to, nil if it states nothing.
func (c *call) serverNotice() *peerpb.ServerNotice {
	if c.instance == nil {
		return nil
	}
	return c.instance.notices.message()
}
