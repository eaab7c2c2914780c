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

// maxBatchClaims is the maximum number of claims in a record. A claim takes about 30 bytes.
const maxBatchClaims = 1000

// writeLoop appends records with claims, and records that only raise the horizon, until ctx
// is done.
func (c *ClaimResolver) writeLoop(ctx context.Context) error {
	pause := minBackoff
	for ctx.Err() == nil {
		batch, wait := c.nextBatch()
		if batch == nil {
			c.waitForWork(ctx, wait)
			continue
		}
		if err := c.appendBatch(ctx, batch); errors.Is(err, eventlog.ErrUnavailable) {
			pause = backOff(ctx, pause)
			continue
		}
		pause = minBackoff
		sleep(ctx, c.opts.AppendInterval)
	}
	return nil
}

// waitForWork returns after wait, or earlier if claims may be due or ctx is done.
func (c *ClaimResolver) waitForWork(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-c.writerTrigger:
	case <-t.C:
	case <-ctx.Done():
	}
}

// outgoingBatch is a record to be appended to the log.
type outgoingBatch struct {
	data   []byte
	claims []*pendingClaim
	// minOffset is the lowest offset that the record can get if the log has lost no records.
	minOffset eventlog.Offset
}

// nextBatch returns the record to append, or nil and how long to wait if there is none.
func (c *ClaimResolver) nextBatch() (*outgoingBatch, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if !c.canDecide(now) {
		return nil, c.opts.ReadWait
	}
	due, wait := c.dueClaims(now)
	due = c.assignKeys(due)
	horizon := c.readPoints.horizon(now, c.opts.Lifetime)
	if len(due) == 0 && !c.horizonRecordDue(horizon, now) {
		return nil, wait
	}
	return c.encode(due, horizon), 0
}

// dueClaims returns the claims to be appended now, and the time until the next one is due.
func (c *ClaimResolver) dueClaims(now time.Time) ([]*pendingClaim, time.Duration) {
	var due []*pendingClaim
	wait := c.opts.ReadWait
	for _, p := range c.pending {
		switch left := p.sendAt.Sub(now); {
		case p.sent:
		case left > 0:
			wait = min(wait, left)
		case len(due) < maxBatchClaims:
			due = append(due, p)
		}
	}
	return due, wait
}

// assignKeys issues a key for each claim that has none. It returns the claims with keys and
// rejects those for which no key can be issued.
func (c *ClaimResolver) assignKeys(due []*pendingClaim) []*pendingClaim {
	var unassigned []*pendingClaim
	ready := due[:0]
	for _, p := range due {
		if p.issued {
			ready = append(ready, p)
			continue
		}
		unassigned = append(unassigned, p)
	}
	if len(unassigned) == 0 {
		return ready
	}
	keys := c.opts.Keys.Issue(len(unassigned))
	for i, p := range unassigned {
		if i >= len(keys) {
			c.complete(p, Key{}, errkind.New(errkind.KeyUnresolved, "too many idempotency keys have been issued"))
			continue
		}
		p.key, p.issued = keys[i], true
		ready = append(ready, p)
	}
	return ready
}

// horizonRecordDue reports whether to append a record without claims. Such a record raises
// the horizon: all daemons free the memory of expired claims, and a daemon that starts later
// knows that the claims in truncated records have expired.
func (c *ClaimResolver) horizonRecordDue(horizon eventlog.Offset, now time.Time) bool {
	// The random part prevents daemons that started together from appending at the same
	// time.
	jitter := rand.N(c.opts.HorizonInterval)
	return horizon > c.index.horizon && now.Sub(c.horizonRaised) >= c.opts.HorizonInterval+jitter
}

// encode returns a record with the claims and the horizon, and marks the claims as sent.
func (c *ClaimResolver) encode(due []*pendingClaim, horizon eventlog.Offset) *outgoingBatch {
	pb := &oncepb.ClaimBatch{
		RuleVersion:     claimsRuleVersion,
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
		c.opts.Logger.Error("claims: cannot encode a claims record", "error", err)
	}
	return &outgoingBatch{data: data, claims: due, minOffset: c.index.next}
}

// appendBatch appends a record. Its claims are resolved when the record is read from the
// log.
func (c *ClaimResolver) appendBatch(ctx context.Context, b *outgoingBatch) error {
	actx, cancel := context.WithTimeout(ctx, c.opts.AppendTimeout)
	defer cancel()
	offset, err := c.opts.Log.Append(actx, b.data)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil && offset < b.minOffset:
		c.dropIndex(offset, b.minOffset)
	case errors.Is(err, eventlog.ErrUnavailable):
		b.resendAt(c.opts.Now())
	case err != nil:
		b.resendAt(c.opts.Now().Add(c.opts.ResendAfter))
	}
	return err
}

// resendAt schedules the claims of the batch to be appended again at the given time.
func (b *outgoingBatch) resendAt(at time.Time) {
	for _, p := range b.claims {
		p.sent, p.sendAt = false, at
	}
}
