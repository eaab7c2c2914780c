package inbound

import (
	"bytes"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// maxWholeBody is the largest body that is received before its call queues, in
	// bytes. It covers uploads of 60 kB and six times that.
	maxWholeBody = 512 << 10
	// maxHeldBytes bounds the bodies that are held so at once, in bytes: a small part
	// of the 184 MB of a small host, and more than 100 uploads.
	maxHeldBytes = 8 << 20
)

// receiveBody sees to it that the body is at hand where it can be, and returns what
// gives back the room that it takes. A body on its way holds no slot so: 60 kB take
// 0.1 s on a link of 5 Mbit/s, as much as a third of the time that the backend server
// works on them. It is asked for only if the gate would let the call in, as what is
// refused then has used the link in vain.
func (c *call) receiveBody(up *upload) (release func(), err error) {
	nothing := func() {}
	if !c.head.GetExpectContinue() {
		return nothing, up.prefetch()
	}
	n := c.head.GetContentLength()
	if n < 0 || n > maxWholeBody || !c.h.reserve(n) {
		up.await()
		return nothing, nil
	}
	c.h.receiving.Add(1)
	defer c.h.receiving.Add(-1)
	release = func() { c.h.held.Add(-n) }
	if err := c.receiveWhole(up); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// receiveWhole receives the body if the gate and the host's link would take it.
func (c *call) receiveWhole(up *upload) error {
	g := c.gateCall()
	if err := c.site.gate.Check(g); err != nil {
		return err
	}
	if err := c.h.pacer.check(g.MaxWait); err != nil {
		return err
	}
	whole := make([]byte, c.head.GetContentLength())
	if err := c.receiveParts(up, whole); err != nil {
		return err
	}
	return up.received(whole)
}

// receiveParts asks for the body, all of it at once where the link is wide, and reads it.
func (c *call) receiveParts(up *upload, whole []byte) error {
	p := c.h.pacer
	rest := whole
	p.coming.Add(int64(len(rest)))
	defer func() { p.coming.Add(-int64(len(rest))) }()
	if !p.paces(len(whole)) {
		if err := c.sendContinue(0); err != nil {
			return err
		}
		return up.fill(whole)
	}
	for len(rest) > 0 {
		n := min(p.part, len(rest))
		if err := c.receivePart(up, rest[:n]); err != nil {
			return err
		}
		p.coming.Add(-int64(n))
		rest = rest[n:]
	}
	return nil
}

// receivePart asks for the next part of the body and reads it.
func (c *call) receivePart(up *upload, part []byte) error {
	end, err := c.h.pacer.turn(c.ctx)
	if err != nil {
		return err
	}
	defer end()
	if err := c.sendContinue(len(part)); err != nil {
		return err
	}
	return up.fill(part)
}

// reserve takes room for a body and reports whether there was enough.
func (h *Handler) reserve(n int64) bool {
	if h.held.Add(n) <= maxHeldBytes {
		return true
	}
	h.held.Add(-n)
	return false
}

// fill reads a part of the body. The call has not started, whatever goes wrong.
func (u *upload) fill(part []byte) error {
	_, err := io.ReadFull(u.src, part)
	return bodyError(err)
}

// received takes in the whole body, of which nothing may follow.
func (u *upload) received(whole []byte) error {
	var more [1]byte
	n, err := u.src.Read(more[:])
	if n > 0 {
		return errkind.Newf(errkind.BadRequest, "the body has more than the %d bytes that were told of", len(whole))
	}
	if !errors.Is(err, io.EOF) {
		return bodyError(err)
	}
	u.whole = bytes.NewReader(whole)
	u.watchIfComplete()
	return nil
}

// bodyError gives a body that did not come whole its kind.
func bodyError(err error) error {
	var netErr net.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &netErr) && netErr.Timeout():
		return errkind.Wrap(errkind.DeadlineNotRun, err, "the request body came too slowly")
	}
	return errkind.Wrap(errkind.Canceled, err, "the caller went away with its request body")
}
