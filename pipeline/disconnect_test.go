package pipeline

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// singleConnListener returns one connection from Accept and then blocks until its channel is
// closed.
type singleConnListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	nc, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}

func (l *singleConnListener) Close() error { return nil }

// closeNotifyConn closes a channel when the connection is closed.
type closeNotifyConn struct {
	*net.TCPConn
	once   sync.Once
	closed chan struct{}
}

func (c *closeNotifyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// awaitPeerClose returns once the kernel has received the peer's close.
func awaitPeerClose(t *testing.T, nc syscall.Conn) {
	t.Helper()
	raw, err := nc.SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, int(waitLimit.Milliseconds()))
		must.NoError(t, err)
		must.Eq(t, 1, n)
	}))
}

// Guards against running requests that were read only after their caller had disconnected.
func TestRequestOfDisconnectedCallerIsNotRun(t *testing.T) {
	for name, raw := range map[string]string{
		"one":    get("/1"),
		"two":    get("/1") + get("/2"),
		"last":   "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"upload": "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer ln.Close()
			caller, err := net.Dial("tcp", ln.Addr().String())
			must.NoError(t, err)
			send(t, caller, raw)
			tcp, err := ln.Accept()
			must.NoError(t, err)
			nc := &closeNotifyConn{TCPConn: tcp.(*net.TCPConn), closed: make(chan struct{})}
			must.NoError(t, caller.Close())
			awaitPeerClose(t, nc)

			var began, left atomic.Int64
			opts := DefaultOptions()
			opts.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { began.Add(1) })
			opts.OnCallerDisconnected = func(*http.Request) { left.Add(1) }
			s := NewServer(opts)
			l := &singleConnListener{Listener: ln, conns: make(chan net.Conn, 1)}
			l.conns <- nc
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(l) }()
			select {
			case <-nc.closed:
			case <-time.After(waitLimit):
				t.Fatal("the connection was not closed")
			}
			must.NoError(t, s.Close())
			close(l.conns)
			must.ErrorIs(t, <-ended, ErrClosed)
			must.Eq(t, 0, began.Load())
			must.Eq(t, 1, left.Load())
		})
	}
}
