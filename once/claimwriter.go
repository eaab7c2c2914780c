package once

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/once/oncepb"
)

// maxBatch bounds the claims of one append; a claim takes some 30 bytes of a
// record.
const maxBatch = 1000

// write appends claims and marks until ctx is done.
func (c *ClaimResolver) write(ctx context.Context) error {
	pause := minPause
	for ctx.Err() == nil {
		batch, wait := c.nextBatch()
		if batch == nil {
			c.waitForWork(ctx, wait)
			continue
		}
		if err := c.append(ctx, batch); errors.Is(err, eventlog.ErrUnavailable) {
			pause = backOff(ctx, pause)
			continue
		}
		pause = minPause
		sleep(ctx, c.opts.AppendInterval)
	}
	return nil
}

func (c *ClaimResolver) waitForWork(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-c.wake:
	case <-t.C:
	case <-ctx.Done():
	}
}

// sending is a record on its way to the log.
type sending struct {
	data   []byte
	claims []*pendingClaim
	// after is the offset that the record cannot come before.
	after eventlog.Offset
}

// nextBatch returns what to append, or else when to look again.
func (c *ClaimResolver) nextBatch() (*sending, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if !c.decides(now) {
		return nil, c.opts.ReadWait
	}
	due, wait := c.due(now)
	due = c.issue(due)
	horizon := c.read.horizon(now, c.opts.Lifetime)
	if len(due) == 0 && !c.markDue(horizon, now) {
		return nil, wait
	}
	return c.encode(due, horizon), 0
}

// due returns the claims to be sent now, and when the next one is.
func (c *ClaimResolver) due(now time.Time) ([]*pendingClaim, time.Duration) {
	var due []*pendingClaim
	wait := c.opts.ReadWait
	for _, p := range c.pending {
		switch left := p.sendAt.Sub(now); {
		case p.sent:
		case left > 0:
			wait = min(wait, left)
		case len(due) < maxBatch:
			due = append(due, p)
		}
	}
	return due, wait
}

// issue gives each claim the key that it would stand for. Claims that get none
// are refused.
func (c *ClaimResolver) issue(due []*pendingClaim) []*pendingClaim {
	var without []*pendingClaim
	ready := due[:0]
	for _, p := range due {
		if p.issued {
			ready = append(ready, p)
			continue
		}
		without = append(without, p)
	}
	if len(without) == 0 {
		return ready
	}
	keys := c.opts.Keys.Issue(len(without))
	for i, p := range without {
		if i >= len(keys) {
			c.finish(p, Key{}, errkind.New(errkind.KeyUnresolved, "too many idempotency keys are out"))
			continue
		}
		p.key, p.issued = keys[i], true
		ready = append(ready, p)
	}
	return ready
}

// markDue reports whether a record without claims is worth an append: it ends
// claims that take memory everywhere, and lets a newcomer know that what was
// cut from the log had ended.
func (c *ClaimResolver) markDue(horizon eventlog.Offset, now time.Time) bool {
	// Daemons that began together must not mark together.
	spread := rand.N(c.opts.HorizonInterval)
	return horizon > c.index.horizon && now.Sub(c.raised) >= c.opts.HorizonInterval+spread
}

func (c *ClaimResolver) encode(due []*pendingClaim, horizon eventlog.Offset) *sending {
	pb := &oncepb.ClaimBatch{
		RuleVersion:     claimsRule,
		Horizon:         horizon,
		LifetimeSeconds: lifetimeSeconds(c.opts.Lifetime),
	}
	for _, p := range due {
		pb.Host, pb.Boot = p.key.Holder()
		pb.Claims = append(pb.Claims, &oncepb.Claim{Digest: p.digest[:], Serial: p.key.serial, Tag: p.key.tag})
		p.sent = true
	}
	data, err := proto.Marshal(pb)
	if err != nil {
		c.opts.Logger.Error("claims: cannot encode a record", "error", err)
	}
	return &sending{data: data, claims: due, after: c.index.next}
}

// append sends a record. What becomes of its claims is told by the log.
func (c *ClaimResolver) append(ctx context.Context, s *sending) error {
	actx, cancel := context.WithTimeout(ctx, c.opts.AppendTimeout)
	defer cancel()
	offset, err := c.opts.Log.Append(actx, s.data)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil && offset < s.after:
		c.forget(offset, s.after)
	case errors.Is(err, eventlog.ErrUnavailable):
		s.sendAgain(c.opts.Now())
	case err != nil:
		s.sendAgain(c.opts.Now().Add(c.opts.ResendAfter))
	}
	return err
}

func (s *sending) sendAgain(at time.Time) {
	for _, p := range s.claims {
		p.sent, p.sendAt = false, at
	}
}
