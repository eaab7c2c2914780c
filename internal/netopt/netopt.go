// Package netopt sets socket options that the standard library has no names for.
package netopt

import (
	"net"
	"sync/atomic"
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
// platform closing one with unacknowledged bytes keeps a process from running, but not where
// the kernel has given it up first.
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

// lateClose is how long a connection is kept after its Close. It is above the timeouts
// that UserTimeout is used with: by then the kernel has given the connection up, or the
// peer has taken what was sent.
const lateClose = 2 * time.Second

// DelayClose returns conn with a Close that does not wait for the peer: the connection fails at
// once for the program and is closed a little later. On the users' platform closing a
// session to a frozen host keeps the process from running, and the calls of callers that
// leave meanwhile are run. The peer learns of it later, which suits sessions on which only
// this end begins exchanges.
func DelayClose(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &lateConn{TCPConn: tcp}
}

type lateConn struct {
	*net.TCPConn
	closed atomic.Bool
}

// Close implements net.Conn.
func (l *lateConn) Close() error {
	if l.closed.Swap(true) {
		return net.ErrClosed
	}
	time.AfterFunc(lateClose, func() { _ = l.TCPConn.Close() })
	return l.SetDeadline(time.Unix(1, 0))
}

// Listener returns ln with the timeout on each connection that it accepts, and the Close
// of Late.
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
	return DelayClose(conn), nil
}

// Input is what a read of a connection would find.
type Input uint8

// What a read would find.
const (
	// InputUnknown is that of a connection without a socket of its own.
	InputUnknown Input = iota
	// NoInput means that a read would wait.
	NoInput
	// MoreInput means that there are bytes to read.
	MoreInput
	// InputEnded means that the peer has closed or reset the connection.
	InputEnded
)

// Peek tells what a read of a connection would find. It takes nothing from the connection,
// does not wait, and may be called while another goroutine reads.
func Peek(conn net.Conn) Input {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return InputUnknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return InputEnded
	}
	found := InputEnded
	// Not RawConn.Read, which waits for a reader to return.
	if err := raw.Control(func(fd uintptr) { found = peek(int(fd)) }); err != nil {
		return InputEnded
	}
	return found
}

func peek(fd int) Input {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return NoInput
	case err != nil, n == 0:
		return InputEnded
	}
	return MoreInput
}
