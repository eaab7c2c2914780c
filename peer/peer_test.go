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

// rejections records why a server refused input.
type rejections struct {
	NoMeter
	c chan RejectReason
}

func (r rejections) Rejected(reason RejectReason) { r.c <- reason }

// startServer serves status asks on loopback.
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
	// A kind whose handler never answers.
	s.Handle(peerpb.Kind_KIND_PULL, HandlerFunc(func(ctx context.Context, st *Stream) error {
		<-ctx.Done()
		return nil
	}))
	s.Handle(peerpb.Kind_KIND_DRAIN, HandlerFunc(func(context.Context, *Stream) error { panic("a fault of ours") }))
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
		return errors.Newf("answer of host %q", ans.GetHost())
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

// A message makes its handler panic. Its sender takes the broken stream for a daemon that is
// gone and tries the next one: if the panic ended the process, one message would end the
// fleet. It ends its own stream, and the others of the session go on.
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
		t.Fatal("a session was kept")
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

// A caller sees its exchange fail and the next one succeed. The connection has
// gone silent while it carries a stream: no byte and no error comes through.
// The watch must close it, since no error ever would.
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

// silentConn takes all writes, passes none on and never has anything to read.
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

// Another daemon sees its stream closed and the server go on. Each case is
// input that no daemon sends; the reason is counted.
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

// A daemon is stopped in the moment of its start.
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
