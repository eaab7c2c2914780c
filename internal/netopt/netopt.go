// Package netopt sets socket options that the standard library has no names for.
package netopt

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer's Control that bounds how long sent bytes may stay
// unacknowledged before the kernel gives the connection up. A host that loses power
// answers nothing, and the kernel would go on sending for a quarter of an hour.
//
// Waiting for the program to give such a connection up is no substitute: on the users'
// platform closing one with unacknowledged bytes kept a process from running for
// 0.25 to 3.5 s, on up to 10 hosts at once after two had lost power (eight runs of one
// day); with the kernel giving it up first, on none (one run).
func UserTimeout(d time.Duration) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var serr error
		err := conn.Control(func(fd uintptr) { serr = setUserTimeout(int(fd), d) })
		return errors.CombineErrors(err, serr)
	}
}

func setUserTimeout(fd int, d time.Duration) error {
	return errors.Wrap(unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds())), "set TCP_USER_TIMEOUT")
}

// Listener returns ln with the timeout on each connection that it accepts.
func Listener(ln net.Listener, d time.Duration) net.Listener { return &listener{ln, UserTimeout(d)} }

type listener struct {
	net.Listener
	control func(network, address string, conn syscall.RawConn) error
}

// Accept implements net.Listener. A connection on which the timeout cannot be set is
// handed out all the same: it works, and only notices later that its peer is gone.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = l.control("", "", raw)
		}
	}
	return conn, nil
}
