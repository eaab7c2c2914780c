package logserver

import (
	"net"
	"sync/atomic"
)

// meter counts the bytes on connections, HTTP headers included.
type meter struct {
	in, out atomic.Uint64
	conns   atomic.Uint64
}

type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept returns a connection that counts.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.meter.conns.Add(1)
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read counts what comes in.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(uint64(n))
	return n, err
}

// Write counts what goes out.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(uint64(n))
	return n, err
}
