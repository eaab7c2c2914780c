package netopt

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// userTimeoutOf returns the TCP_USER_TIMEOUT of a connection, in milliseconds.
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

// The dialer and the listener each set their timeout on the connection.
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

// Close interrupts a blocked read and makes writes fail at once, but leaves the socket open: closing
// the socket may block while the peer's host is unresponsive.
func TestDelayCloseFailsAtOnce(t *testing.T) {
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
	must.NoError(t, dialed.Close(), must.Sprint("the socket is still open"))
}
