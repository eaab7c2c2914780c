// Package netopt provides options and operations of TCP sockets that the net package does not
// support.
package netopt

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for net.Dialer.Control that limits how long sent data may stay
// unacknowledged before the kernel aborts the connection (TCP_USER_TIMEOUT). A host that loses power
// acknowledges nothing, and by default the kernel retransmits for about 15 minutes.
//
// A timeout after which the program closes the connection is no substitute: on the platform that
// daemons run on, closing a connection with unacknowledged data stalls the whole process, unless the
// kernel has aborted the connection before.
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

// closeDelay is the time between the Close of a delayedCloseConn and the close of its socket. It is
// greater than all timeouts that are passed to UserTimeout: by then, either the kernel has aborted
// the connection or the peer has acknowledged the data.
const closeDelay = 2 * time.Second

// DelayClose returns conn with a Close that does not wait for the peer: reads and writes fail at
// once, and the socket is closed after closeDelay. On the platform that daemons run on, closing a
// connection to an unresponsive host stalls the whole process; calls whose callers disconnect
// meanwhile are run all the same. The peer sees the close late, which is acceptable for sessions on
// which only this end begins exchanges. A conn that is not a *net.TCPConn is returned unchanged.
func DelayClose(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &delayedCloseConn{TCPConn: tcp}
}

// delayedCloseConn is a TCP connection with a delayed close.
type delayedCloseConn struct {
	*net.TCPConn
	closed atomic.Bool
}

// Close implements net.Conn. It sets a deadline in the past, which makes reads and writes fail, and
// schedules the close of the socket.
func (l *delayedCloseConn) Close() error {
	if l.closed.Swap(true) {
		return net.ErrClosed
	}
	time.AfterFunc(closeDelay, func() { _ = l.TCPConn.Close() })
	return l.SetDeadline(time.Unix(1, 0))
}

// Listener returns a listener that sets UserTimeout(d) on each connection that ln accepts and wraps
// the connection with DelayClose.
func Listener(ln net.Listener, d time.Duration) net.Listener { return &listener{ln, UserTimeout(d)} }

// listener is the listener that Listener returns. Its control sets the timeout.
type listener struct {
	net.Listener
	control func(network, address string, conn syscall.RawConn) error
}

// Accept implements net.Listener. A connection on which the timeout cannot be set is returned all
// the same: it works, and only detects the loss of its peer later.
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

// Input is the state of the receive side of a connection.
type Input uint8

// Results of Peek.
const (
	// InputUnknown means that the connection gives no access to a socket.
	InputUnknown Input = iota
	// NoInput means that a read would block.
	NoInput
	// MoreInput means that there is data to read.
	MoreInput
	// InputEnded means that the peer has closed or reset the connection and all data has been
	// read, or that the connection is closed at this end.
	InputEnded
)

// Peek reports what a read of the connection would return. It consumes no data, does not block, and
// may be called while another goroutine reads.
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
	// RawConn.Read would block until a concurrent read returns.
	if err := raw.Control(func(fd uintptr) { found = peek(int(fd)) }); err != nil {
		return InputEnded
	}
	return found
}

// peek implements Peek for the socket fd.
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
