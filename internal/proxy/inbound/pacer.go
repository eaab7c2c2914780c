package inbound

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// partDuration is how long the host's link takes to carry one part of a body. A small call
	// that arrives meanwhile waits for the parts in flight. When bodies of 60 kB were sent as a
	// whole on a link of 5 Mbit/s, it waited 0.1 s for each of them.
	partDuration = 12500 * time.Microsecond
	// maxPartsInFlight bounds the parts in flight. A second part keeps the link busy while the
	// next one is requested.
	maxPartsInFlight = 2
	// partTimeoutFactor is the timeout of a part in multiples of partDuration. After it the
	// next part is requested regardless, since the sender of the late one may be slow or
	// stalled.
	partTimeoutFactor = 4
	// minPartBytes bounds the length of a part from below, in bytes, since each part costs a
	// message.
	minPartBytes = 4 << 10
)

// pacer requests bodies in parts, one after the other, at the rate of the host's link. Without
// it, all requested bodies would queue on the link, and the small calls of other daemons behind
// them.
type pacer struct {
	// partBytes is the length of a part in bytes, and bytesPerSecond the bandwidth of the link.
	// Both are 0 if the bandwidth is not configured.
	partBytes      int
	bytesPerSecond int64
	// inFlight limits the parts in flight to maxPartsInFlight.
	inFlight *semaphore.Weighted
	// window replaces inFlight with LinkPlacement, and is nil otherwise.
	window *partWindow
	// pendingBytes counts the bytes of bodies that are requested but not received, or wait to
	// be requested.
	pendingBytes atomic.Int64
}

// newPacer returns a pacer for a link with the given bandwidth in Mbit/s, 0 if it is not
// configured. If adaptive is set, the number of parts in flight follows the use of the link.
func newPacer(linkMbps float64, adaptive bool) *pacer {
	p := &pacer{bytesPerSecond: int64(linkMbps * 1e6 / 8), inFlight: semaphore.NewWeighted(maxPartsInFlight)}
	if p.bytesPerSecond > 0 {
		p.partBytes = max(int(partDuration.Seconds()*float64(p.bytesPerSecond)), minPartBytes)
		if adaptive {
			p.window = newPartWindow(p.bytesPerSecond, p.partBytes)
		}
	}
	return p
}

// splits reports whether a body of n bytes is received in parts.
func (p *pacer) splits(n int) bool { return p.partBytes > 0 && n > p.partBytes }

// expectedWait returns how long the link takes to carry the pending bytes.
func (p *pacer) expectedWait() time.Duration {
	if p.bytesPerSecond == 0 {
		return 0
	}
	rate := float64(p.bytesPerSecond)
	if p.window != nil {
		rate = p.window.rate()
	}
	return time.Duration(float64(p.pendingBytes.Load()) / rate * float64(time.Second))
}

// checkWait rejects a call whose body would wait for the link longer than maxWait. A maxWait of
// 0 sets no limit.
func (p *pacer) checkWait(maxWait time.Duration) error {
	if wait := p.expectedWait(); maxWait > 0 && wait > maxWait {
		return errkind.New(errkind.Overloaded, "the host's link is busy with other request bodies").WithRetryAfter(wait)
	}
	return nil
}

// acquire waits until the next part may be requested. The caller calls the returned function
// when the part has been received; after the timeout of a part its place is released
// automatically.
func (p *pacer) acquire(ctx context.Context) (done func(), err error) {
	if err := p.inFlight.Acquire(ctx, 1); err != nil {
		return nil, errkind.Wrap(errkind.DeadlineNotRun, err, "wait for the host's link")
	}
	var ended atomic.Bool
	release := func() {
		if !ended.Swap(true) {
			p.inFlight.Release(1)
		}
	}
	timer := time.AfterFunc(partTimeoutFactor*partDuration, release)
	return func() {
		timer.Stop()
		release()
	}, nil
}

// transport requests and reads a body. request asks the sender for the given number of bytes, and all of
// the body if bytes is 0. read fills part with the next bytes of the body.
type transport struct {
	request func(bytes int) error
	read    func(part []byte) error
}

// receive receives a body into buf. It requests the whole body at once if the pacer does not split it.
func (p *pacer) receive(ctx context.Context, buf []byte, t transport) error {
	rest := buf
	p.pendingBytes.Add(int64(len(rest)))
	defer func() { p.pendingBytes.Add(-int64(len(rest))) }()
	received := func(n int) {
		p.pendingBytes.Add(-int64(n))
		rest = rest[n:]
	}
	if !p.splits(len(buf)) {
		if err := t.request(0); err != nil {
			return err
		}
		return t.read(buf)
	}
	if p.window != nil {
		return p.receiveByWindow(ctx, buf, t, received)
	}
	for len(rest) > 0 {
		n := min(p.partBytes, len(rest))
		if err := p.receivePart(ctx, rest[:n], t); err != nil {
			return err
		}
		received(n)
	}
	return nil
}

// receivePart requests the next part of a body and reads it.
func (p *pacer) receivePart(ctx context.Context, part []byte, t transport) error {
	release, err := p.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	if err := t.request(len(part)); err != nil {
		return err
	}
	return t.read(part)
}

// receiveByWindow receives a body in parts as the window allows. It calls received for each part.
func (p *pacer) receiveByWindow(ctx context.Context, buf []byte, t transport, received func(bytes int)) error {
	group, ctx := errgroup.WithContext(ctx)
	parts := make(chan *part, maxPartsOfBody)
	group.Go(func() error {
		defer close(parts)
		return p.requestParts(ctx, len(buf), parts, t)
	})
	group.Go(func() error {
		for part := range parts {
			err := t.read(buf[:part.bytes])
			part.done(err == nil)
			if err != nil {
				return err
			}
			received(part.bytes)
			buf = buf[part.bytes:]
		}
		return nil
	})
	err := group.Wait()
	for part := range parts {
		part.done(false)
	}
	return err
}

// requestParts requests the parts of a body of the given length and sends them to parts.
func (p *pacer) requestParts(ctx context.Context, length int, parts chan<- *part, t transport) error {
	body := p.window.begin()
	for rest := length; rest > 0; {
		part, err := body.acquire(ctx, min(p.partBytes, rest))
		if err != nil {
			return err
		}
		select {
		case parts <- part:
		case <-ctx.Done():
			part.done(false)
			return errkind.Wrap(errkind.DeadlineNotRun, context.Cause(ctx), "request the body")
		}
		if err := t.request(part.bytes); err != nil {
			return err
		}
		rest -= part.bytes
	}
	return nil
}
