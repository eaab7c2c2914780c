package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuscross/crocuscross/peerpb"
)

// rejections records the reasons of rejected input.
type rejections struct {
	NoMeter
	c chan RejectReason
}

func (r rejections) Rejected(reason RejectReason) { r.c <- reason }

// startServer runs a server on the loopback interface that answers status requests, never answers
// pulls and panics on drain requests.
func startServer(t *testing.T, opts ServerOptions) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := NewServer(opts)
	s.Handle(peerpb.Kind_KIND_STATUS, HandlerFunc(func(_ context.Context, st *Stream) error {
		var ask peerpb.StatusAsk
		if err := st.Recv(&ask); err != nil {
			return err
		}
		return st.Send(&peerpb.StatusAnswer{Host: "a"})
	}))
	// A handler that never answers.
	s.Handle(peerpb.Kind_KIND_PULL, HandlerFunc(func(ctx context.Context, st *Stream) error {
		<-ctx.Done()
		return nil
	}))
	s.Handle(peerpb.Kind_KIND_DRAIN, HandlerFunc(func(context.Context, *Stream) error { panic("handler fault") }))
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		must.NoError(t, s.Close())
		must.NoError(t, <-done)
	})
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func callStatus(ctx context.Context, p *Pool, addr netip.AddrPort) error {
	var ans peerpb.StatusAnswer
	err := p.Call(ctx, addr, peerpb.Kind_KIND_STATUS, &peerpb.StatusAsk{}, &ans)
	if err == nil && ans.GetHost() != "a" {
		return errors.Newf("answer has host %q, want \"a\"", ans.GetHost())
	}
	return err
}

func TestPool_ConcurrentCallsShareOneSession(t *testing.T) {
	addr := startServer(t, DefaultServerOptions())
	var mu sync.Mutex
	dials := 0
	opts := DefaultPoolOptions()
	opts.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		mu.Lock()
		dials++
		mu.Unlock()
		return dialTCP(ctx, a)
	}
	p := NewPool(opts)
	defer p.Close()
	errs := make(chan error, 50)
	for range cap(errs) {
		go func() { errs <- callStatus(t.Context(), p, addr) }()
	}
	for range cap(errs) {
		must.NoError(t, <-errs)
	}
	must.Eq(t, 1, dials)
}

// Guards against a message that makes its handler panic and thereby ends the process. Its sender
// would take the broken stream for a failed daemon and try the next one, so that one message
// could crash the whole fleet. The panic ends only its own stream; other streams of the session
// continue.
func TestServer_PanicEndsOnlyItsStream(t *testing.T) {
	addr := startServer(t, DefaultServerOptions())
	p := NewPool(DefaultPoolOptions())
	defer p.Close()
	for range 3 {
		var ans peerpb.DrainAnswer
		must.Error(t, p.Call(t.Context(), addr, peerpb.Kind_KIND_DRAIN, &peerpb.DrainAsk{}, &ans))
		must.NoError(t, callStatus(t.Context(), p, addr))
	}
}

func TestPool_CallOnceClosesItsSession(t *testing.T) {
	addr := startServer(t, DefaultServerOptions())
	p := NewPool(DefaultPoolOptions())
	defer p.Close()
	for range 3 {
		var ans peerpb.StatusAnswer
		must.NoError(t, p.CallOnce(t.Context(), addr, peerpb.Kind_KIND_STATUS, &peerpb.StatusAsk{}, &ans))
		must.Eq(t, "a", ans.GetHost())
	}
	p.sessions.Range(func(any, any) bool {
		t.Fatal("the session was kept open")
		return false
	})
}

func TestPool_UnreachablePeerReturnsErrUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	must.NoError(t, ln.Close())
	p := NewPool(DefaultPoolOptions())
	defer p.Close()
	must.ErrorIs(t, callStatus(t.Context(), p, addr), ErrUnreachable)
}

// A connection stops delivering data while it carries a stream, without any error. The exchange
// in progress fails because the unanswered ping closes the session, and the next exchange
// succeeds on a new one.
func TestPool_SilentSessionIsReplaced(t *testing.T) {
	addr := startServer(t, DefaultServerOptions())
	opts := DefaultPoolOptions()
	first := true
	opts.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		conn, err := dialTCP(ctx, a)
		if first && err == nil {
			first = false
			return &silentConn{Conn: conn, closed: make(chan struct{})}, nil
		}
		return conn, err
	}
	p := NewPool(opts)
	defer p.Close()
	go func() { _ = p.Run(t.Context()) }()
	must.Error(t, callStatus(t.Context(), p, addr))
	must.NoError(t, callStatus(t.Context(), p, addr))
}

// silentConn discards all writes and never receives data.
type silentConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *silentConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Input that no daemon sends closes its stream and is counted by reason; the server keeps
// serving.
func TestServer_BadInputIsRejected(t *testing.T) {
	oversized := protowire.AppendVarint(nil, MaxHeadBytes+1)
	for name, tc := range map[string]struct {
		bytes  []byte
		reason RejectReason
	}{
		"oversized head":   {oversized, RejectLarge},
		"not protobuf":     {[]byte{3, 0xff, 0xff, 0xff}, RejectHead},
		"unknown kind":     {[]byte{4, 8, 1, 16, 99}, RejectKind},
		"unknown version":  {[]byte{4, 8, 9, 16, 8}, RejectKind},
		"truncated":        {[]byte{40, 8, 1}, RejectHead},
		"nothing at all":   {nil, RejectHead},
		"no end of length": {[]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, RejectHead},
	} {
		t.Run(name, func(t *testing.T) {
			opts := DefaultServerOptions()
			meter := rejections{c: make(chan RejectReason, 10)}
			opts.Meter = meter
			addr := startServer(t, opts)
			conn, err := net.Dial("tcp", addr.String())
			must.NoError(t, err)
			sess, err := yamux.Client(conn, sessionConfig())
			must.NoError(t, err)
			defer sess.Close()
			st, err := sess.OpenStream()
			must.NoError(t, err)
			_, err = st.Write(tc.bytes)
			must.NoError(t, err)
			must.NoError(t, st.Close())
			must.Eq(t, tc.reason, <-meter.c)
			p := NewPool(DefaultPoolOptions())
			defer p.Close()
			must.NoError(t, callStatus(t.Context(), p, addr))
		})
	}
}

// A daemon may be stopped while it is still starting: Serve after Close returns at once, without
// an error.
func TestServer_ServeAfterCloseEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := NewServer(DefaultServerOptions())
	must.NoError(t, s.Close())
	must.NoError(t, s.Serve(ln))
}

func TestServer_SlowHeadIsRejected(t *testing.T) {
	opts := DefaultServerOptions()
	opts.HeadTimeout = time.Millisecond
	meter := rejections{c: make(chan RejectReason, 10)}
	opts.Meter = meter
	addr := startServer(t, opts)
	conn, err := net.Dial("tcp", addr.String())
	must.NoError(t, err)
	sess, err := yamux.Client(conn, sessionConfig())
	must.NoError(t, err)
	defer sess.Close()
	_, err = sess.OpenStream()
	must.NoError(t, err)
	must.Eq(t, RejectSlow, <-meter.c)
}

func TestServer_SessionsAreBounded(t *testing.T) {
	opts := DefaultServerOptions()
	opts.MaxSessions = 1
	meter := rejections{c: make(chan RejectReason, 10)}
	opts.Meter = meter
	addr := startServer(t, opts)
	one, two := NewPool(DefaultPoolOptions()), NewPool(DefaultPoolOptions())
	defer one.Close()
	defer two.Close()
	must.NoError(t, callStatus(t.Context(), one, addr))
	must.Error(t, callStatus(t.Context(), two, addr))
	must.Eq(t, RejectSessions, <-meter.c)
}

func FuzzStream_Recv(f *testing.F) {
	f.Add([]byte{2, 8, 1})
	f.Add([]byte{0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{5, 10, 3, 'a', 'b'})
	f.Fuzz(func(t *testing.T, in []byte) {
		a, b := net.Pipe()
		go func() {
			_, _ = b.Write(in)
			_ = b.Close()
		}()
		st := newStream(a, peerpb.Kind_KIND_CALL, NoMeter{}, newRemote(netip.Addr{}, nil))
		defer st.Close()
		var m peerpb.CallHead
		for st.RecvMax(&m, 1<<10) == nil {
			must.LessEq(t, 1<<10, len(m.GetTarget()))
		}
	})
}
