package inbound

import (
	"bytes"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// maxBufferedBody is the largest body, in bytes, that is received before its call queues.
	// It covers uploads of 60 kB and of six times that length.
	maxBufferedBody = 512 << 10
	// maxBufferedBytes bounds the total length of the bodies that are buffered at once, in
	// bytes. It is a small part of the 184 MB of memory of a small host, and holds more than
	// 100 uploads.
	maxBufferedBytes = 8 << 20
	// minReportedBody is the length, in bytes, above which senders place a body by the links of hosts and
	// are informed of the load with each request for a part.
	minReportedBody = 16 << 10
)

// receiveBody receives the body before the call queues, if possible, and returns a function
// that releases the memory reserved for it. The transfer then occupies no slot: a body of 60 kB
// takes 0.1 s on a link of 5 Mbit/s, as much as a third of the time that the backend server
// works on such a call. The body is requested only if the gate would admit the call, since the
// body of a rejected call wastes bandwidth.
func (c *call) receiveBody(up *upload) (release func(), err error) {
	noop := func() {}
	if !c.head.GetExpectContinue() {
		return noop, up.prefetch()
	}
	n := c.head.GetContentLength()
	if n < 0 || n > maxBufferedBody || !c.h.reserveBuffer(n) {
		up.awaitFirstChunk()
		return noop, nil
	}
	c.h.receiving.Add(1)
	defer c.h.receiving.Add(-1)
	release = func() { c.h.bufferedBytes.Add(-n) }
	if err := c.receiveBuffered(up); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// receiveBuffered receives the body completely if the gate and the host's link have capacity
// for it.
func (c *call) receiveBuffered(up *upload) error {
	g := c.gateCall()
	if err := c.instance.gate.Check(g); err != nil {
		return err
	}
	if !c.fromThisHost() {
		if err := c.h.pacer.checkWait(g.MaxWait); err != nil {
			return err
		}
	}
	buf := make([]byte, c.head.GetContentLength())
	if err := c.receiveParts(up, buf); err != nil {
		return err
	}
	return up.finishBuffered(buf)
}

// fromThisHost reports whether the body does not use the host's link, because the call comes from this
// host itself.
func (c *call) fromThisHost() bool {
	return c.h.opts.LinkPlacement && c.head.GetSenderHost() == c.h.opts.Host
}

// receiveParts requests the body and reads it into buf, in parts if it uses the host's link.
func (c *call) receiveParts(up *upload, buf []byte) error {
	if c.fromThisHost() {
		if err := c.sendContinue(0); err != nil {
			return err
		}
		return up.readPart(buf)
	}
	return c.h.pacer.receive(c.ctx, buf, transport{request: c.sendContinue, read: up.readPart})
}

// reserveBuffer reserves memory for a body of n bytes and reports whether enough was available.
func (h *Handler) reserveBuffer(n int64) bool {
	if h.bufferedBytes.Add(n) <= maxBufferedBytes {
		return true
	}
	h.bufferedBytes.Add(-n)
	return false
}

// readPart fills part with the next bytes of the body. Its errors are of kinds that state that
// the call has not started.
func (u *upload) readPart(part []byte) error {
	_, err := io.ReadFull(u.src, part)
	return classifyBodyError(err)
}

// finishBuffered sets buf as the complete body and verifies that no more data follows.
func (u *upload) finishBuffered(buf []byte) error {
	var more [1]byte
	n, err := u.src.Read(more[:])
	if n > 0 {
		return errkind.Newf(errkind.BadRequest, "the request body is longer than the declared %d bytes", len(buf))
	}
	if !errors.Is(err, io.EOF) {
		return classifyBodyError(err)
	}
	u.buffered = bytes.NewReader(buf)
	u.watchIfComplete()
	return nil
}

// classifyBodyError assigns an error kind to a body that was not received completely.
func classifyBodyError(err error) error {
	var netErr net.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &netErr) && netErr.Timeout():
		return errkind.Wrap(errkind.DeadlineNotRun, err, "timed out while receiving the request body")
	}
	return errkind.Wrap(errkind.Canceled, err, "the caller disconnected before the request body was received")
}
