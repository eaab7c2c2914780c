package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// Layout of the 12-byte yamux frame header: version (1), type (1), flags (2), stream ID (4),
// length (4).
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameTypeData     = 0
	frameLengthOffset = 8
	// maxRetainedFrameBytes is the largest capacity of the write buffer that a session keeps.
	maxRetainedFrameBytes = 8 << 10
)

// frameConn writes the header and the body of a data frame together. yamux writes them
// separately, which costs a second system call and, because Nagle's algorithm is off
// (TCP_NODELAY), a second packet for each frame.
type frameConn struct {
	net.Conn
	// pending holds the header of a data frame until its body is written. yamux writes from a
	// single goroutine.
	pending []byte
	// lastRead is when data was last received, in nanoseconds since clockStart.
	lastRead atomic.Int64
}

// Read reads from the connection and updates lastRead.
func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(clockStart)))
	}
	return n, err
}

// timeSinceRead returns the time since data was last received.
func (c *frameConn) timeSinceRead() time.Duration {
	return time.Since(clockStart) - time.Duration(c.lastRead.Load())
}

// clockStart is the reference point for monotonic times that are stored as integers.
var clockStart = time.Now()

// Write buffers the header of a data frame and writes everything else immediately.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.pending) > 0 {
		c.pending = append(c.pending, p...)
		n, err := c.Conn.Write(c.pending)
		c.resetPending()
		return max(n-frameHeaderBytes, 0), err
	}
	if isDataFrameHeader(p) {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// resetPending empties the buffer and releases one that has grown for a large frame.
func (c *frameConn) resetPending() {
	if cap(c.pending) > maxRetainedFrameBytes {
		c.pending = nil
	}
	c.pending = c.pending[:0]
}

// isDataFrameHeader reports whether p is the header of a data frame with a body.
func isDataFrameHeader(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
