package inbound

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	// partTime is how long the host's link takes for one part of a body. A small call
	// that arrives meanwhile waits for the parts that are on the link: with whole
	// bodies of 60 kB on 5 Mbit/s that was 0.1 s for each.
	partTime = 12500 * time.Microsecond
	// partsAtOnce keeps the link busy while the next part is asked for.
	partsAtOnce = 2
	// partPatience is how long, in part times, a part may take before the next one is
	// asked for all the same: its sender may be slow, or silent.
	partPatience = 4
	// leastPart bounds the parts from below, in bytes: each costs a message.
	leastPart = 4 << 10
)

// pacer has bodies sent in parts, one after the other, as fast as the host's link takes
// them. Without it the bodies that were asked for queue on the link, and the small calls
// of other daemons behind them.
type pacer struct {
	// part is the length of a part in bytes, perSecond what the link carries; 0 where
	// the link is not stated.
	part      int
	perSecond int64
	turns     *semaphore.Weighted
	// coming counts the bytes of the bodies that are asked for or wait for their turn.
	coming atomic.Int64
}

// newPacer returns a pacer for a link in Mbit/s, 0 where it is not stated.
func newPacer(linkMbps float64) *pacer {
	p := &pacer{perSecond: int64(linkMbps * 1e6 / 8), turns: semaphore.NewWeighted(partsAtOnce)}
	if p.perSecond > 0 {
		p.part = max(int(partTime.Seconds()*float64(p.perSecond)), leastPart)
	}
	return p
}

// paces reports whether a body of n bytes comes in parts.
func (p *pacer) paces(n int) bool { return p.part > 0 && n > p.part }

// wait returns how long the link is taken by what is still to come.
func (p *pacer) wait() time.Duration {
	if p.perSecond == 0 {
		return 0
	}
	return time.Duration(float64(p.coming.Load()) / float64(p.perSecond) * float64(time.Second))
}

// check refuses a call whose body would have to wait longer for the link than it may.
func (p *pacer) check(maxWait time.Duration) error {
	if wait := p.wait(); maxWait > 0 && wait > maxWait {
		return errkind.New(errkind.Overloaded, "the host's link is taken by other bodies").WithRetryAfter(wait)
	}
	return nil
}

// turn waits for the turn of the next part. The function returned ends it; it ends by
// itself where the part takes too long.
func (p *pacer) turn(ctx context.Context) (end func(), err error) {
	if err := p.turns.Acquire(ctx, 1); err != nil {
		return nil, errkind.Wrap(errkind.DeadlineNotRun, err, "wait for the host's link")
	}
	var ended atomic.Bool
	release := func() {
		if !ended.Swap(true) {
			p.turns.Release(1)
		}
	}
	timer := time.AfterFunc(partPatience*partTime, release)
	return func() {
		timer.Stop()
		release()
	}, nil
}
