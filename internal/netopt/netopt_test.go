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
