package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/peerpb"
)

// ErrUnreachable means that no stream could be opened, so the peer has received no part of the
// exchange.
var ErrUnreachable = errors.New("peer unreachable")

// PoolOptions configures a Pool.
type PoolOptions struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// IdleTimeout is how long a session without streams is kept open.
	IdleTimeout time.Duration
	Meter       Meter
	// LocalityOf returns the locality of a peer for Meter. If it is nil, the locality is unknown.
	LocalityOf func(netip.Addr) Locality
	// Dial connects to a peer. Tests replace it to intercept connections.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// DefaultPoolOptions returns options for hosts that are a few milliseconds apart.
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

// Pool keeps one session to each peer in use and opens streams on it. It is safe for concurrent
// use. Opening a stream on an existing session takes no lock of the pool.
type Pool struct {
	opts     PoolOptions
	sessions sync.Map // netip.AddrPort to *sessionEntry
	closed   atomic.Bool
}

// sessionEntry holds the session to one address.
type sessionEntry struct {
	sess atomic.Pointer[yamux.Session]
	// conn is the connection below the session.
	conn atomic.Pointer[frameConn]
	// lastUsed is when a session for a stream was last requested, in Unix nanoseconds.
	lastUsed atomic.Int64
	pinging  atomic.Bool
	// dialToken holds one token, which the goroutine that dials takes. Concurrent callers thus
	// share one dial, and each of them waits no longer than its context allows.
	dialToken chan struct{}
	remote    *remote
}

func newSessionEntry(remote *remote) *sessionEntry {
	s := &sessionEntry{dialToken: make(chan struct{}, 1), remote: remote}
	s.dialToken <- struct{}{}
	return s
}

// openSession returns the entry's session if it is open, and otherwise nil.
func (s *sessionEntry) openSession() *yamux.Session {
	if sess := s.sess.Load(); sess != nil && !sess.IsClosed() {
		return sess
	}
	return nil
}

// NewPool returns a pool without sessions.
func NewPool(opts PoolOptions) *Pool { return &Pool{opts: opts} }

// Open starts an exchange with a peer. The peer does not receive the kind of the exchange before
// the first Send. The error is ErrUnreachable if no stream could be opened.
func (p *Pool) Open(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind) (*Stream, error) {
	sess, remote, err := p.session(ctx, addr)
	if err != nil {
		return nil, mark(errors.Wrapf(err, "connect to %s", addr), ErrUnreachable)
	}
	st, err := p.openStream(sess, addr, kind, remote)
	if err != nil {
		p.drop(addr, sess)
	}
	return st, err
}

func (p *Pool) openStream(sess *yamux.Session, addr netip.AddrPort, kind peerpb.Kind, remote *remote) (*Stream, error) {
	conn, err := sess.OpenStream()
	if err != nil {
		return nil, mark(errors.Wrapf(err, "open stream to %s", addr), ErrUnreachable)
	}
	st := newStream(conn, kind, p.opts.Meter, remote)
	return st, st.Queue(&peerpb.Head{Version: protocolVersion, Kind: kind})
}

// Call performs an exchange of one message in each direction.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error {
	st, err := p.Open(ctx, addr, kind)
	if err != nil {
		return err
	}
	return call(ctx, st, req, resp)
}

// CallOnce is like Call but uses a new session that it closes afterwards. A single request to
// each of a thousand daemons would otherwise leave a thousand sessions open, at about 25 KB each.
func (p *Pool) CallOnce(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error {
	sess, _, err := p.dial(ctx, addr)
	if err != nil {
		return mark(errors.Wrapf(err, "connect to %s", addr), ErrUnreachable)
	}
	defer sess.Close()
	st, err := p.openStream(sess, addr, kind, newRemote(addr.Addr(), p.opts.LocalityOf))
	if err != nil {
		return err
	}
	return call(ctx, st, req, resp)
}

func call(ctx context.Context, st *Stream, req, resp proto.Message) error {
	defer st.Close()
	defer st.BindContext(ctx)()
	if err := st.Send(req); err != nil {
		return preferContextError(ctx, err)
	}
	return preferContextError(ctx, st.Recv(resp))
}

// Drop closes the session to a peer, so that the next exchange reconnects.
func (p *Pool) Drop(addr netip.AddrPort) {
	v, ok := p.sessions.Load(addr)
	if !ok {
		return
	}
	if sess := v.(*sessionEntry).sess.Swap(nil); sess != nil {
		_ = sess.Close()
	}
}

// CloseIdle closes sessions without streams that have not been used for IdleTimeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.sessions.Range(func(k, v any) bool {
		s := v.(*sessionEntry)
		sess := s.sess.Load()
		if sess == nil || now.UnixNano()-s.lastUsed.Load() < int64(p.opts.IdleTimeout) {
			return true
		}
		if sess.IsClosed() || sess.NumStreams() == 0 {
			p.drop(k.(netip.AddrPort), sess)
		}
		return true
	})
}

// Close closes all sessions. Later calls of Open fail.
func (p *Pool) Close() error {
	p.closed.Store(true)
	p.sessions.Range(func(k, _ any) bool {
		p.Drop(k.(netip.AddrPort))
		return true
	})
	return nil
}

// session returns the open session to addr. Concurrent callers share one dial.
func (p *Pool) session(ctx context.Context, addr netip.AddrPort) (*yamux.Session, *remote, error) {
	v, ok := p.sessions.Load(addr)
	if !ok {
		v, _ = p.sessions.LoadOrStore(addr, newSessionEntry(newRemote(addr.Addr(), p.opts.LocalityOf)))
	}
	s := v.(*sessionEntry)
	s.lastUsed.Store(time.Now().UnixNano())
	if sess := s.openSession(); sess != nil {
		return sess, s.remote, nil
	}
	select {
	case <-s.dialToken:
		defer func() { s.dialToken <- struct{}{} }()
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	if sess := s.openSession(); sess != nil {
		return sess, s.remote, nil
	}
	sess, conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	s.conn.Store(conn)
	s.sess.Store(sess)
	return sess, s.remote, nil
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*yamux.Session, *frameConn, error) {
	if p.closed.Load() {
		return nil, nil, net.ErrClosed
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	conn, err := p.opts.Dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	framed := &frameConn{Conn: conn}
	sess, err := yamux.Client(framed, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return sess, framed, nil
}

// drop closes sess and removes it from its entry unless it has been replaced.
func (p *Pool) drop(addr netip.AddrPort, sess *yamux.Session) {
	_ = sess.Close()
	if v, ok := p.sessions.Load(addr); ok {
		v.(*sessionEntry).sess.CompareAndSwap(sess, nil)
	}
}

// Session limits and timeouts. yamux's defaults (75 s to open a stream, 5 min to close one) would
// hold the resources of a dead peer for minutes.
const (
	writeTimeout       = 2 * time.Second
	streamOpenTimeout  = 10 * time.Second
	streamCloseTimeout = 10 * time.Second
	acceptBacklog      = 1024
	keepAliveInterval  = time.Minute
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// The pool's Run pings sessions in use. The keep-alive only lets the accepting side detect
	// sessions whose peer is permanently gone.
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0)
	return c
}

// preferContextError replaces err with the context's error, which states why the stream failed,
// and keeps err as the secondary error. Without a context error it returns err.
func preferContextError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return errors.WithSecondaryError(ctx.Err(), err)
	}
	return err
}
