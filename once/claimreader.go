package once

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

const (
	// readLimit is the maximum number of records of one read.
	readLimit = 1000
	// minBackoff and maxBackoff limit the pause after a failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// readPointsPerLifetime is the resolution to which the age of records is known.
	readPointsPerLifetime = 64
)

// readHistory records when this daemon had read all records up to an offset.
type readHistory struct {
	// points are the points younger than the lifetime, oldest first.
	points fifo[readPoint]
	// expired is the highest offset known to be older than the lifetime.
	expired eventlog.Offset
}

// readPoint means that all records up to offset had been read at the given time.
type readPoint struct {
	offset eventlog.Offset
	at     time.Time
}

// record adds a point for the offset unless the last point is too recent.
func (h *readHistory) record(offset eventlog.Offset, now time.Time, lifetime time.Duration) {
	n := h.points.len()
	if n == 0 || now.Sub(h.points.at(n-1).at) >= lifetime/readPointsPerLifetime {
		h.points.push(readPoint{offset, now})
	}
}

// horizon returns the highest offset that is known to have been read at least one lifetime
// ago.
func (h *readHistory) horizon(now time.Time, lifetime time.Duration) eventlog.Offset {
	for h.points.len() > 0 && now.Sub(h.points.at(0).at) >= lifetime {
		h.expired = h.points.pop().offset
	}
	return h.expired
}

// readLoop reads and applies the records of the log until ctx is done.
func (c *ClaimResolver) readLoop(ctx context.Context) error {
	pause := minBackoff
	for ctx.Err() == nil {
		if err := c.readNext(ctx); err != nil {
			c.reportReadFailure(ctx, err)
			pause = backOff(ctx, pause)
			continue
		}
		pause = minBackoff
	}
	return nil
}

// backOff sleeps for a random duration below pause, and returns the next pause.
func backOff(ctx context.Context, pause time.Duration) time.Duration {
	sleep(ctx, rand.N(pause))
	return min(2*pause, maxBackoff)
}

// sleep returns after d or when ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reportReadFailure logs the first of consecutive read errors.
func (c *ClaimResolver) reportReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readFailingSince.IsZero() {
		c.readFailingSince = c.opts.Now()
		c.opts.Logger.Warn("claims: cannot read the log", "error", err)
	}
}

// readNext reads and applies the next records, or starts an index if there is none.
func (c *ClaimResolver) readNext(ctx context.Context) error {
	next, ok := c.nextOffset()
	if !ok {
		return c.startIndex(ctx)
	}
	recs, err := c.opts.Log.Read(ctx, next, readLimit, c.opts.ReadWait)
	var trunc *eventlog.TruncatedError
	if errors.As(err, &trunc) {
		c.opts.Logger.Warn("claims: the log was truncated ahead of the reader", "offset", next, "first", trunc.First)
		return c.startIndex(ctx)
	}
	if err != nil {
		return err
	}
	if len(recs) == 0 {
		return c.checkLogEnd(ctx, next)
	}
	return c.applyRecords(recs)
}

// nextOffset returns the offset to read next. It reports false if there is no index.
func (c *ClaimResolver) nextOffset() (eventlog.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		return 0, false
	}
	return c.index.next, true
}

// checkLogEnd checks, after an empty read, whether the log has lost records that were
// applied.
func (c *ClaimResolver) checkLogEnd(ctx context.Context, next eventlog.Offset) error {
	b, err := c.opts.Log.Bounds(ctx)
	if err != nil {
		return err
	}
	if b.End >= next {
		return c.applyRecords(nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropIndex(b.End, next)
	return nil
}

// startIndex starts a new index at the first record of the log.
func (c *ClaimResolver) startIndex(ctx context.Context) error {
	b, err := c.opts.Log.Bounds(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	c.recordsLost = c.recordsLost && now.Sub(c.indexStarted) < c.opts.Lifetime
	c.index = newClaimIndex(b.First, c.opts.Lifetime)
	c.catchUpTo = b.End
	c.indexStarted, c.horizonRaised = now, now
	c.applyErr = nil
	c.readPoints = readHistory{}
	c.readPoints.record(b.First-1, now, c.opts.Lifetime)
	c.resolvePending()
	return nil
}

// dropIndex drops the index after the log has lost records, which shows in an offset end
// below next, the offset to be read next. No claim is resolved for one lifetime, until the
// claims in the lost records have expired.
func (c *ClaimResolver) dropIndex(end, next eventlog.Offset) {
	c.opts.Logger.Error("claims: the log has lost records", "end", end, "read", next)
	c.index = nil
	c.recordsLost = true
	c.indexStarted = c.opts.Now()
	c.resolvePending()
}

// applyRecords applies records and completes the pending claims that they resolve.
func (c *ClaimResolver) applyRecords(recs []eventlog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		// The writer has detected meanwhile that the log lost records.
		return nil
	}
	now := c.opts.Now()
	c.readFailingSince = time.Time{}
	horizon := c.index.horizon
	err := c.applyAll(recs)
	if c.index != nil && c.index.horizon > horizon {
		c.horizonRaised = now
	}
	if err == nil {
		c.readPoints.record(c.index.next-1, now, c.opts.Lifetime)
	}
	c.resolvePending()
	return err
}

// applyAll applies records to the index, and drops the index if an offset is missing.
func (c *ClaimResolver) applyAll(recs []eventlog.Record) error {
	for _, r := range recs {
		err := c.index.apply(r)
		switch {
		case errors.Is(err, errClaimsGap):
			c.dropIndex(r.Offset, c.index.next)
			return err
		case err != nil:
			c.applyErr = err
			return err
		}
	}
	return nil
}

// resolvePending completes the pending claims that the index resolves, or rejects all of
// them if it cannot resolve any.
func (c *ClaimResolver) resolvePending() {
	now := c.opts.Now()
	if c.applyErr != nil || c.mayMissClaims(now) {
		c.rejectPending(c.rejection(now))
		return
	}
	if !c.canDecide(now) {
		return
	}
	for d, p := range c.pending {
		if k, ok := c.index.lookup(d); ok {
			c.complete(p, k, nil)
		}
	}
	c.writerTrigger.Set()
}

// rejectPending completes all pending claims with an error.
func (c *ClaimResolver) rejectPending(err error) {
	for _, p := range c.pending {
		c.complete(p, Key{}, err)
	}
}

// complete sets the result of a pending claim and wakes the requests that wait for it.
func (c *ClaimResolver) complete(p *pendingClaim, k Key, err error) {
	p.result, p.err = k, err
	close(p.done)
	delete(c.pending, p.digest)
}
