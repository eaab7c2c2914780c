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
	frameTypeAt      = 1
	frameTypeData    = 0
	frameLengthAt    = 8
	// maxKeptFrame bounds the buffer that a session keeps, in bytes.
	maxKeptFrame = 8 << 10
)

// frameConn sends the header of a data frame together with its body. yamux
// writes them one after the other, which costs a second system call and, as
// small writes are not delayed, a second packet for each frame.
type frameConn struct {
	net.Conn
	// frame holds a header back until its body comes. yamux writes from one
	// goroutine.
	frame []byte
	// heard is when bytes last came, in nanoseconds since the process's clock began.
	heard atomic.Int64
}

// Read notes that the other end is there.
func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(int64(time.Since(clockBegan)))
	}
	return n, err
}

// silentFor returns how long nothing has come.
func (c *frameConn) silentFor() time.Duration {
	return time.Since(clockBegan) - time.Duration(c.heard.Load())
}

// clockBegan is the zero of monotonic readings that are kept as numbers.
var clockBegan = time.Now()

// Write holds a data frame's header back and sends everything else.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.frame) > 0 {
		c.frame = append(c.frame, p...)
		n, err := c.Conn.Write(c.frame)
		c.release()
		return max(n-frameHeaderBytes, 0), err
	}
	if beginsFrameWithBody(p) {
		c.frame = append(c.frame, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// release empties the buffer; one that grew for a large frame is not kept.
func (c *frameConn) release() {
	if cap(c.frame) > maxKeptFrame {
		c.frame = nil
	}
	c.frame = c.frame[:0]
}

func beginsFrameWithBody(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeAt] == frameTypeData &&
		binary.BigEndian.Uint32(p[frameLengthAt:]) > 0
}
