package inbound

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// minWindow and maxWindow bound the parts in flight, and maxOutstanding bounds the parts in flight
	// and the late ones, all in multiples of a full part. If all of them arrive at once, a small call
	// waits for 62 ms, which is a quarter of the objective of a nested lookup (250 ms).
	minWindow      = 2
	maxWindow      = 4
	maxOutstanding = 5
	// maxPartsOfBody bounds the parts outstanding of one body.
	maxPartsOfBody = 2
	// idleTimeout is the time without a part after which those in flight are late: the time in which
	// the link carries a part and as much again for requesting it, which takes two ways of up to 1.4 ms
	// and the work of two daemons.
	idleTimeout = 2 * partDuration
	// latePartTimeout is the time after which a part no longer counts. A daemon that has used up its
	// processor quota pauses for less than the quota's period of 100 ms.
	latePartTimeout = 8 * partDuration
	// usagePeriod is the time over which the use of the link is measured, some ten parts. Below
	// lowUsage the window grows, above highUsage it shrinks.
	usagePeriod         = 150 * time.Millisecond
	lowUsage, highUsage = 0.93, 0.98
	// usageWeight is the weight of a period in the mean use, which follows a change within two seconds.
	usageWeight = 0.1
)

// partWindow decides when the next part of a body is requested. The parts in flight are limited, so that
// small calls do not wait long for the link. A part is late, and another one may be requested, once a
// part that was requested after it has been received or once nothing has been received for idleTimeout:
// its sender is slow, and the link has capacity. The window grows while the link is not fully used
// although bodies wait for it, for example because this daemon itself is paused at times.
type partWindow struct {
	bytesPerSecond int64
	partBytes      int

	mu sync.Mutex
	// waiting lists the transfers that wait to request a part, in the order in which they began.
	// Sharing the link equally would make all bodies late that arrive while it is busy.
	waiting []*waiter
	// outstanding lists the parts requested but not received, in the order of their requests.
	outstanding []*part
	// size is the number of full parts that may be in flight.
	size int
	// usage is the share of the bandwidth that was used on average while bodies waited for the link.
	usage float64
	// transfers is the number of transfers begun so far.
	transfers uint64
	// receivedAt is when the last part was received.
	receivedAt time.Time
	// usedSince is the start of the period over which the use of the link is measured, zero while no
	// part is outstanding. received is the number of bytes received in it.
	usedSince time.Time
	received  int64
	timer     *time.Timer
}

// transfer is one body that is received in parts.
type transfer struct {
	window *partWindow
	seq    uint64
	// unreceived is the number of its parts outstanding. The window's mutex guards it.
	unreceived int
}

// waiter is a transfer that waits to request a part. The part is sent to granted.
type waiter struct {
	*transfer
	bytes   int
	granted chan *part
}

// part is one part requested.
type part struct {
	*transfer
	bytes       int
	requestedAt time.Time
	late        bool
}

func newPartWindow(bytesPerSecond int64, partBytes int) *partWindow {
	return &partWindow{bytesPerSecond: bytesPerSecond, partBytes: partBytes, size: minWindow, usage: 1}
}

// begin begins the transfer of a body.
func (w *partWindow) begin() *transfer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.transfers++
	return &transfer{window: w, seq: w.transfers}
}

// acquire waits until the next part of the body, with the given length, may be requested.
func (t *transfer) acquire(ctx context.Context, bytes int) (*part, error) {
	w, me := t.window, &waiter{transfer: t, bytes: bytes, granted: make(chan *part, 1)}
	w.mu.Lock()
	i, _ := slices.BinarySearchFunc(w.waiting, t.seq, func(o *waiter, seq uint64) int {
		if o.seq < seq {
			return -1
		}
		return 1
	})
	w.waiting = slices.Insert(w.waiting, i, me)
	w.update(time.Now())
	w.mu.Unlock()
	select {
	case p := <-me.granted:
		return p, nil
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.waiting, me); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	} else {
		w.remove(<-me.granted)
	}
	w.update(time.Now())
	return nil, errkind.Wrap(errkind.DeadlineNotRun, context.Cause(ctx), "wait for the host's link")
}

// done ends a part that was received, or whose transfer has failed.
func (p *part) done(received bool) {
	w, now := p.window, time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if received {
		w.receivedAt = now
		w.received += int64(p.bytes)
		w.markLate(func(o *part) bool { return o.requestedAt.Before(p.requestedAt) && o.transfer != p.transfer })
	}
	w.remove(p)
	w.adjustSize(now)
	w.update(now)
}

// remove removes a part from those outstanding.
func (w *partWindow) remove(p *part) {
	if i := slices.Index(w.outstanding, p); i >= 0 {
		w.outstanding = slices.Delete(w.outstanding, i, i+1)
		p.unreceived--
	}
}

func (w *partWindow) markLate(isLate func(*part) bool) {
	for _, p := range w.outstanding {
		p.late = p.late || isLate(p)
	}
}

// update forgets parts that are very late, grants parts to waiting transfers, and sets the timer to the
// next time at which parts become late.
func (w *partWindow) update(now time.Time) {
	for len(w.outstanding) > 0 && now.Sub(w.outstanding[0].requestedAt) >= latePartTimeout {
		w.remove(w.outstanding[0])
	}
	if at, ok := w.idleAt(); ok && !now.Before(at) {
		w.markLate(func(*part) bool { return true })
	}
	for w.hasRoom() && w.grantOne(now) {
	}
	if len(w.outstanding) == 0 {
		w.usedSince = time.Time{}
	} else if w.usedSince.IsZero() {
		w.usedSince, w.received = now, 0
	}
	w.setTimer(now)
}

// grantOne grants a part to the first waiting transfer that has none outstanding or else to the first
// that may have another one, and reports whether there is one. Parts of different senders are rarely
// late together.
func (w *partWindow) grantOne(now time.Time) bool {
	for limit := range maxPartsOfBody {
		i := slices.IndexFunc(w.waiting, func(o *waiter) bool { return o.unreceived <= limit })
		if i < 0 {
			continue
		}
		next := w.waiting[i]
		w.waiting = slices.Delete(w.waiting, i, i+1)
		p := &part{transfer: next.transfer, bytes: next.bytes, requestedAt: now}
		p.unreceived++
		w.outstanding = append(w.outstanding, p)
		next.granted <- p
		return true
	}
	return false
}

// hasRoom reports whether a full part may be requested. A quarter of a part is allowed in addition: the
// link carries the short last part of a body in less time than it takes to request another part.
func (w *partWindow) hasRoom() bool {
	inFlight, outstanding := 0, 0
	for _, p := range w.outstanding {
		outstanding += p.bytes
		if !p.late {
			inFlight += p.bytes
		}
	}
	return inFlight <= (w.size-1)*w.partBytes+w.partBytes/4 && outstanding <= (maxOutstanding-1)*w.partBytes
}

// idleAt returns when the parts in flight become late if none is received until then.
func (w *partWindow) idleAt() (time.Time, bool) {
	i := slices.IndexFunc(w.outstanding, func(p *part) bool { return !p.late })
	if i < 0 {
		return time.Time{}, false
	}
	since := w.outstanding[i].requestedAt
	if w.receivedAt.After(since) {
		since = w.receivedAt
	}
	return since.Add(idleTimeout), true
}

// adjustSize adapts the window to the use of the link at the end of each period.
func (w *partWindow) adjustSize(now time.Time) {
	elapsed := now.Sub(w.usedSince)
	if w.usedSince.IsZero() || elapsed < usagePeriod {
		return
	}
	usage := float64(w.received) / (float64(w.bytesPerSecond) * elapsed.Seconds())
	if len(w.waiting) > 0 {
		w.usage += usageWeight * (min(usage, 1) - w.usage)
	}
	switch {
	case usage < lowUsage && len(w.waiting) > 0:
		w.size = min(w.size+1, maxWindow)
	case usage > highUsage:
		w.size = max(w.size-1, minWindow)
	}
	w.usedSince, w.received = now, 0
}

// rate returns the bytes per second that the link carries while bodies wait for it. It is never taken
// for less than half of the bandwidth: with most bodies rejected, nothing would correct a low value.
func (w *partWindow) rate() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.usage, 0.5) * float64(w.bytesPerSecond)
}

// setTimer arranges for an update when the next part becomes late or is forgotten.
func (w *partWindow) setTimer(now time.Time) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if len(w.outstanding) == 0 {
		return
	}
	next := w.outstanding[0].requestedAt.Add(latePartTimeout)
	if at, ok := w.idleAt(); ok && at.Before(next) {
		next = at
	}
	if w.timer == nil {
		w.timer = time.AfterFunc(next.Sub(now), w.onTimer)
		return
	}
	w.timer.Reset(next.Sub(now))
}

func (w *partWindow) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(time.Now())
}
