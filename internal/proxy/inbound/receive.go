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

func (c *call) receiveWhole(up *upload) error {
	if err := c.site.gate.Check(c.gateCall()); err != nil {
		return err
	}
	if err := c.sendContinue(); err != nil {
		return err
	}
	return up.receive()
}

// reserve takes room for a body and reports whether there was enough.
func (h *Handler) reserve(n int64) bool {
	if h.held.Add(n) <= maxHeldBytes {
		return true
	}
	h.held.Add(-n)
	return false
}

// receive reads the body to its end. The call has not started, whatever goes wrong.
func (u *upload) receive() error {
	whole, err := io.ReadAll(u.src)
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return errkind.Wrap(errkind.DeadlineNotRun, err, "the request body came too slowly")
	case err != nil:
		return errkind.Wrap(errkind.Canceled, err, "the caller went away with its request body")
	}
	u.whole = bytes.NewReader(whole)
	u.watchIfComplete()
	return nil
}
