package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// checkInterval is how often sessions with streams are checked, and how long one must
	// have brought nothing to be pinged. With pingTimeout it bounds the time until a
	// connection that went silent is given up: 1.4 s after its last byte.
	checkInterval = 250 * time.Millisecond
	// pingTimeout is far above a round trip between regions and a scheduler's
	// delay under load, and leaves the kernel the time to notice first that a host
	// is gone.
	pingTimeout = 900 * time.Millisecond
	// idleCheckInterval is how often idle sessions are looked for.
	idleCheckInterval = 10 * time.Second
)

// Run watches the sessions until ctx is done: those that carry streams must
// answer pings, those without streams are closed after a while. A connection
// whose ends have lost each other brings no error by itself; without the
// watch, every exchange on it would wait for its own time to be up.
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

// pingActive pings each session that carries streams, in the background.
func (p *Pool) pingActive(ctx context.Context) {
	p.sessions.Range(func(k, v any) bool {
		s := v.(*sessionEntry)
		if sess := s.sessionToPing(); sess != nil {
			go p.pingSession(ctx, k.(netip.AddrPort), s, sess)
		}
		return true
	})
}

// pingSession closes a session that does not answer in time. Its streams then fail
// at once.
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

// sessionToPing returns the slot's session if it carries streams, has brought nothing of late and no
// ping is out.
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
