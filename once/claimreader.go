package once

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 1000
	// minPause and maxPause bound the pause after a failure.
	minPause = 100 * time.Millisecond
	maxPause = 5 * time.Second
	// marksPerLifetime is how finely the age of records is known.
	marksPerLifetime = 64
)

// readMarks tells up to which offset all records were read some time ago.
type readMarks struct {
	marks fifo[readMark]
	// aged is the highest offset known to be older than the lifetime.
	aged eventlog.Offset
}

// readMark is that all records up to offset were read by a time.
type readMark struct {
	offset eventlog.Offset
	at     time.Time
}

// note records that everything up to offset has been read now.
func (m *readMarks) note(offset eventlog.Offset, now time.Time, lifetime time.Duration) {
	n := m.marks.len()
	if n == 0 || now.Sub(m.marks.at(n-1).at) >= lifetime/marksPerLifetime {
		m.marks.push(readMark{offset, now})
	}
}

// horizon returns the highest offset that was read a lifetime ago.
func (m *readMarks) horizon(now time.Time, lifetime time.Duration) eventlog.Offset {
	for m.marks.len() > 0 && now.Sub(m.marks.at(0).at) >= lifetime {
		m.aged = m.marks.pop().offset
	}
	return m.aged
}

// follow reads the log until ctx is done.
func (c *ClaimResolver) follow(ctx context.Context) error {
	pause := minPause
	for ctx.Err() == nil {
		if err := c.readOnce(ctx); err != nil {
			c.readFailed(ctx, err)
			pause = backOff(ctx, pause)
			continue
		}
		pause = minPause
	}
	return nil
}

// backOff waits for a random part of pause and returns the next pause.
func backOff(ctx context.Context, pause time.Duration) time.Duration {
	sleep(ctx, rand.N(pause))
	return min(2*pause, maxPause)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c *ClaimResolver) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing.IsZero() {
		c.failing = c.opts.Now()
		c.opts.Logger.Warn("claims: cannot read the log", "error", err)
	}
}

// readOnce reads what comes next and folds it.
func (c *ClaimResolver) readOnce(ctx context.Context) error {
	next, ok := c.position()
	if !ok {
		return c.begin(ctx)
	}
	recs, err := c.opts.Log.Read(ctx, next, readLimit, c.opts.ReadWait)
	var trunc *eventlog.TruncatedError
	if errors.As(err, &trunc) {
		c.opts.Logger.Warn("claims: records were cut before they were read", "offset", next, "first", trunc.First)
		return c.begin(ctx)
	}
	if err != nil {
		return err
	}
	if len(recs) == 0 {
		return c.checkEnd(ctx, next)
	}
	return c.take(recs)
}

func (c *ClaimResolver) position() (eventlog.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		return 0, false
	}
	return c.index.next, true
}

// checkEnd looks whether the log has lost records that were read.
func (c *ClaimResolver) checkEnd(ctx context.Context, next eventlog.Offset) error {
	b, err := c.opts.Log.Bounds(ctx)
	if err != nil {
		return err
	}
	if b.End >= next {
		return c.take(nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(b.End, next)
	return nil
}

// begin starts a new index at the first record that the log holds.
func (c *ClaimResolver) begin(ctx context.Context) error {
	b, err := c.opts.Log.Bounds(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	c.distrust = c.distrust && now.Sub(c.began) < c.opts.Lifetime
	c.index = newClaimIndex(b.First, c.opts.Lifetime)
	c.loaded = b.End
	c.began, c.raised = now, now
	c.stuck = nil
	c.read = readMarks{}
	c.read.note(b.First-1, now, c.opts.Lifetime)
	c.settle()
	return nil
}

// forget drops the index since the log has lost records: it ends at an offset
// below the one to be read next. Nothing is decided for a lifetime, until what
// was claimed in those records has ended.
func (c *ClaimResolver) forget(end, next eventlog.Offset) {
	c.opts.Logger.Error("claims: the log has lost records", "end", end, "read", next)
	c.index = nil
	c.distrust = true
	c.began = c.opts.Now()
	c.settle()
}

// take folds records and resolves the claims that they decide.
func (c *ClaimResolver) take(recs []eventlog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		// The writer noticed meanwhile that the log lost records.
		return nil
	}
	now := c.opts.Now()
	c.failing = time.Time{}
	horizon := c.index.horizon
	err := c.foldAll(recs)
	if c.index != nil && c.index.horizon > horizon {
		c.raised = now
	}
	if err == nil {
		c.read.note(c.index.next-1, now, c.opts.Lifetime)
	}
	c.settle()
	return err
}

func (c *ClaimResolver) foldAll(recs []eventlog.Record) error {
	for _, r := range recs {
		err := c.index.fold(r)
		switch {
		case errors.Is(err, errClaimsGap):
			c.forget(r.Offset, c.index.next)
			return err
		case err != nil:
			c.stuck = err
			return err
		}
	}
	return nil
}

// settle resolves or refuses the pending claims as far as the index tells.
func (c *ClaimResolver) settle() {
	now := c.opts.Now()
	if c.stuck != nil || c.blind(now) {
		c.refuseAll(c.refusal(now))
		return
	}
	if !c.decides(now) {
		return
	}
	for d, p := range c.pending {
		if k, ok := c.index.lookup(d); ok {
			c.finish(p, k, nil)
		}
	}
	c.wake.Set()
}

func (c *ClaimResolver) refuseAll(err error) {
	for _, p := range c.pending {
		c.finish(p, Key{}, err)
	}
}

func (c *ClaimResolver) finish(p *pendingClaim, k Key, err error) {
	p.result, p.err = k, err
	close(p.done)
	delete(c.pending, p.digest)
}
