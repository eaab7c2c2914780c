package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// A yamux frame begins with 12 bytes: version, type, flags (2), stream (4),
// length (4).
const (
	frameHeaderBytes = 12
	frameTypeOffset      = 1
	frameTypeData    = 0
	frameLengthOffset    = 8
	// maxRetainedFrameBytes bounds the buffer that a session keeps, in bytes.
	maxRetainedFrameBytes = 8 << 10
)

// frameConn sends the header of a data frame together with its body. yamux
// writes them one after the other, which costs a second system call and, as
// small writes are not delayed, a second packet for each frame.
type frameConn struct {
	net.Conn
	// pending holds a header back until its body comes. yamux writes from one
	// goroutine.
	pending []byte
	// lastRead is when bytes last came, in nanoseconds since the process's clock began.
	lastRead atomic.Int64
}

// Read notes that the other end is there.
func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(clockStart)))
	}
	return n, err
}

// timeSinceRead returns how long nothing has come.
func (c *frameConn) timeSinceRead() time.Duration {
	return time.Since(clockStart) - time.Duration(c.lastRead.Load())
}

// clockStart is the zero of monotonic readings that are kept as numbers.
var clockStart = time.Now()

// Write holds a data frame's header back and sends everything else.
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

// resetPending empties the buffer; one that grew for a large frame is not kept.
func (c *frameConn) resetPending() {
	if cap(c.pending) > maxRetainedFrameBytes {
		c.pending = nil
	}
	c.pending = c.pending[:0]
}

func isDataFrameHeader(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
