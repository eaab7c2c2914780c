package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// checkInterval is how often sessions with streams are checked, and how long such a session
	// must have received nothing before it is pinged. Together with pingTimeout it bounds the
	// time until an unresponsive connection is closed: 1.4 s after its last received byte.
	checkInterval = 250 * time.Millisecond
	// pingTimeout is far above a round trip between regions and the scheduling delay under load.
	// It also gives the kernel time to detect first that a host is gone.
	pingTimeout = 900 * time.Millisecond
	// idleCheckInterval is how often idle sessions are closed.
	idleCheckInterval = 10 * time.Second
)

// Run monitors the sessions until ctx is done. It closes sessions with streams that do not answer
// pings, and sessions that have been without streams for IdleTimeout. A connection on which
// packets are silently lost returns no error by itself; without this check, each exchange on it
// would wait until its own timeout.
func (p *Pool) Run(ctx context.Context) error {
	watch := time.NewTicker(checkInterval)
	defer watch.Stop()
	idle := time.NewTicker(idleCheckInterval)
	defer idle.Stop()
	for {
		select {
		case <-watch.C:
			p.pingActive(ctx)
		case now := <-idle.C:
			p.CloseIdle(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// pingActive pings, in the background, each session that has streams and has received no data
// recently.
func (p *Pool) pingActive(ctx context.Context) {
	p.sessions.Range(func(k, v any) bool {
		s := v.(*sessionEntry)
		if sess := s.sessionToPing(); sess != nil {
			go p.pingSession(ctx, k.(netip.AddrPort), s, sess)
		}
		return true
	})
}

// pingSession closes a session that does not answer a ping within pingTimeout. Its streams then
// fail immediately.
func (p *Pool) pingSession(ctx context.Context, addr netip.AddrPort, s *sessionEntry, sess *yamux.Session) {
	defer s.pinging.Store(false)
	answered := make(chan error, 1)
	go func() {
		_, err := sess.Ping()
		answered <- err
	}()
	t := time.NewTimer(pingTimeout)
	defer t.Stop()
	select {
	case err := <-answered:
		if err == nil {
			return
		}
	case <-t.C:
	case <-ctx.Done():
		return
	}
	p.opts.Meter.Rejected(RejectSilent)
	p.drop(addr, sess)
}

// sessionToPing returns the entry's session if it has streams, has received nothing for
// checkInterval and has no ping outstanding, and otherwise nil. It marks a ping as outstanding.
func (s *sessionEntry) sessionToPing() *yamux.Session {
	sess := s.sess.Load()
	if sess == nil || sess.IsClosed() || sess.NumStreams() == 0 {
		return nil
	}
	if s.conn.Load().timeSinceRead() < checkInterval {
		return nil
	}
	if !s.pinging.CompareAndSwap(false, true) {
		return nil
	}
	return sess
}
