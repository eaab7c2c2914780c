package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/peerpb"
)

// ErrUnreachable means that no stream could be opened: the peer has seen
// nothing of the exchange.
var ErrUnreachable = errors.New("peer unreachable")

// PoolOptions holds the bounds of a Pool.
type PoolOptions struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is how long a session without streams is kept.
	IdleTimeout time.Duration
	Meter       Meter
	// Dial connects; tests put relays in between.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// DefaultPoolOptions suit hosts that are a few milliseconds apart.
func DefaultPoolOptions() PoolOptions {
	return PoolOptions{
		DialTimeout: time.Second,
		IdleTimeout: time.Minute,
		Meter:       NoMeter{},
		Dial:        dialTCP,
	}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Pool keeps one session to each peer that is talked to and opens streams on
// it. It is safe for concurrent use; an open session costs a reader no lock
// that others share.
type Pool struct {
	opts     PoolOptions
	sessions sync.Map // netip.AddrPort to *slot

	mu     sync.Mutex
	closed bool
}

// slot holds the session to one address.
type slot struct {
	mu   sync.Mutex
	sess *yamux.Session
	// used is when a stream was last opened.
	used time.Time
}

// NewPool returns a pool without sessions.
func NewPool(opts PoolOptions) *Pool { return &Pool{opts: opts} }

// Open starts an exchange. The error is ErrUnreachable where nothing of it has
// reached the peer.
func (p *Pool) Open(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind) (*Stream, error) {
	sess, err := p.session(ctx, addr)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrUnreachable)
	}
	conn, err := sess.OpenStream()
	if err != nil {
		p.drop(addr, sess)
		return nil, errors.Mark(errors.Wrapf(err, "open stream to %s", addr), ErrUnreachable)
	}
	st := newStream(conn, kind, p.opts.Meter)
	if err := st.Send(&peerpb.Head{Version: protocolVersion, Kind: kind}); err != nil {
		_ = st.Close()
		p.drop(addr, sess)
		return nil, errors.Mark(errors.Wrapf(err, "open stream to %s", addr), ErrUnreachable)
	}
	return st, nil
}

// Call is an exchange of one message each way.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error {
	st, err := p.Open(ctx, addr, kind)
	if err != nil {
		return err
	}
	defer st.Close()
	defer st.BindContext(ctx)()
	if err := st.Send(req); err != nil {
		return contextError(ctx, err)
	}
	return contextError(ctx, st.Recv(resp))
}

// Drop closes the session to a peer, so that the next exchange connects anew.
func (p *Pool) Drop(addr netip.AddrPort) {
	v, ok := p.sessions.Load(addr)
	if !ok {
		return
	}
	s := v.(*slot)
	s.mu.Lock()
	sess := s.sess
	s.sess = nil
	s.mu.Unlock()
	if sess != nil {
		_ = sess.Close()
	}
}

// CloseIdle closes the sessions that have had no stream for IdleTimeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.sessions.Range(func(k, v any) bool {
		s := v.(*slot)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.sess == nil || s.sess.NumStreams() > 0 || now.Sub(s.used) < p.opts.IdleTimeout {
			return true
		}
		_ = s.sess.Close()
		s.sess = nil
		p.sessions.Delete(k)
		return true
	})
}

// Close closes all sessions; later calls of Open fail.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.sessions.Range(func(k, _ any) bool {
		p.Drop(k.(netip.AddrPort))
		return true
	})
	return nil
}

// session returns the open session to addr, dialing once for all who wait.
func (p *Pool) session(ctx context.Context, addr netip.AddrPort) (*yamux.Session, error) {
	v, ok := p.sessions.Load(addr)
	if !ok {
		v, _ = p.sessions.LoadOrStore(addr, &slot{})
	}
	s := v.(*slot)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
	if s.sess != nil && !s.sess.IsClosed() {
		return s.sess, nil
	}
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	conn, err := p.opts.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	sess, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.sess = sess
	return sess, nil
}

func (p *Pool) drop(addr netip.AddrPort, sess *yamux.Session) {
	_ = sess.Close()
	v, ok := p.sessions.Load(addr)
	if !ok {
		return
	}
	s := v.(*slot)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sess == sess {
		s.sess = nil
	}
}

// Timeouts of a session. yamux's defaults (75 s to open, 5 min to close) would
// keep what a dead peer holds for minutes.
const (
	writeTimeout       = 2 * time.Second
	streamOpenTimeout  = 10 * time.Second
	streamCloseTimeout = 10 * time.Second
	acceptBacklog      = 1024
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// Liveness is judged per exchange, by time without an answer; pings on
	// every idle session would cost more than the configuration itself.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0)
	return c
}

// contextError prefers the context's error, which tells why the stream failed.
func contextError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return errors.WithSecondaryError(ctx.Err(), err)
	}
	return err
}
