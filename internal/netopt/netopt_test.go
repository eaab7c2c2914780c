package netopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

func userTimeoutOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	got := 0
	must.NoError(t, raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	must.NoError(t, err)
	return got
}

// Both ends of a connection give it up after the time.
func TestUserTimeoutOnBothEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ln = Listener(ln, 700*time.Millisecond)
	defer ln.Close()
	d := net.Dialer{Control: UserTimeout(600 * time.Millisecond)}
	dialed, err := d.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer dialed.Close()
	accepted, err := ln.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.Eq(t, 600, userTimeoutOf(t, dialed))
	must.Eq(t, 700, userTimeoutOf(t, accepted))
}

// A session to a host that does not read is closed. Whoever uses the connection is told at
// once; the close itself, which may wait for the host, comes later.
func TestLateCloseFailsAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	conn := DelayClose(dialed)
	read := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	must.NoError(t, conn.Close())
	must.Error(t, <-read)
	_, err = conn.Write([]byte("x"))
	must.Error(t, err)
	must.ErrorIs(t, conn.Close(), net.ErrClosed)
	_, err = dialed.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, dialed.Close(), must.Sprint("the kernel's connection is still there"))
}
