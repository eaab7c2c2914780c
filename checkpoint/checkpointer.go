package checkpoint

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// CheckpointerOptions configures a Checkpointer.
type CheckpointerOptions struct {
	Policy Policy
	Writer WriterOptions
	// CheckInterval is the time between two checks of the streams by a candidate.
	CheckInterval time.Duration
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
	Logger *slog.Logger
}

// checksPerMaxAge is the number of checks of a candidate within Policy.MaxAge. It limits the
// error of a checkpoint's age, which is counted from the check that first found the checkpoint.
const checksPerMaxAge = 60

// DefaultCheckpointerOptions returns the options for a platform that retains records for the
// given time.
func DefaultCheckpointerOptions(retention time.Duration) CheckpointerOptions {
	policy := PolicyFor(retention)
	return CheckpointerOptions{
		Policy:        policy,
		Writer:        DefaultWriterOptions(),
		CheckInterval: policy.MaxAge / checksPerMaxAge,
		Now:           time.Now,
		Jitter:        rand.Float64,
		Logger:        slog.New(slog.DiscardHandler),
	}
}

// Checkpointer ensures that there is always a checkpoint after which the log still contains every
// record. Each daemon runs one. Step must not be called concurrently.
type Checkpointer struct {
	opts    CheckpointerOptions
	host    string
	config  eventlog.Log
	scanner *Scanner
	writer  *Writer

	// newest is the newest complete checkpoint, and firstSeen is when a check first found it.
	// ageKnown is false if it was already there at the first check.
	newest    *Checkpoint
	firstSeen time.Time
	ageKnown  bool
	// scanned is true after the first scan of the stream.
	scanned bool
	// dueSince is the time since which a checkpoint is due, zero if none is due.
	dueSince time.Time
	// wait is the time from dueSince until this host writes the checkpoint.
	wait time.Duration
}

// NewCheckpointer returns a Checkpointer for the streams eventlog.StreamConfig and
// eventlog.StreamCheckpoints.
func NewCheckpointer(host string, config, checkpoints eventlog.Log, opts CheckpointerOptions) *Checkpointer {
	return &Checkpointer{
		opts:    opts,
		host:    host,
		config:  config,
		scanner: NewScanner(checkpoints),
		writer:  NewWriter(checkpoints, host, opts.Writer),
	}
}

// Step checks whether a checkpoint of st is due and writes it when it is this host's turn among
// the live hosts. It returns the time until the next call, also with an error. If the process is
// paused during a step and writes late, the checkpoint does no harm: it is older than the newest
// one and therefore not used.
func (c *Checkpointer) Step(ctx context.Context, st *fold.State, live []string) (next time.Duration, err error) {
	wait, candidate := c.opts.Policy.WriteDelay(c.host, live, st.Offset, c.opts.Jitter())
	if !candidate {
		c.dueSince = time.Time{}
		return c.opts.CheckInterval, nil
	}
	reason, err := c.dueReason(ctx, st)
	if err != nil || reason == ReasonNone {
		c.dueSince = time.Time{}
		return c.opts.CheckInterval, err
	}
	now := c.opts.Now()
	if c.dueSince.IsZero() {
		c.dueSince, c.wait = now, wait
	}
	if left := c.wait - now.Sub(c.dueSince); left > 0 {
		return min(left, c.opts.CheckInterval), nil
	}
	c.dueSince = time.Time{}
	if err := c.writer.Write(ctx, st); err != nil {
		return c.opts.CheckInterval, err
	}
	c.opts.Logger.Info("checkpoint: written", "offset", st.Offset, "reason", reason)
	return c.opts.CheckInterval, nil
}

// dueReason reads the current bounds of the configuration stream, scans the checkpoint stream and
// returns the policy's decision.
func (c *Checkpointer) dueReason(ctx context.Context, st *fold.State) (Reason, error) {
	bounds, err := c.config.Bounds(ctx)
	if err != nil {
		return ReasonNone, err
	}
	if err := c.scanner.Scan(ctx); err != nil {
		return ReasonNone, err
	}
	if err := c.verify(ctx); err != nil {
		return ReasonNone, err
	}
	c.observe(c.scanner.Newest())
	return c.opts.Policy.Due(PolicyInput{Offset: st.Offset, Config: bounds, Newest: c.knownCheckpoint()}), nil
}

// verify loads the newest checkpoint if it is new to this Checkpointer. A Checkpointer that
// relied on a checkpoint that cannot be loaded would not write another one before the last good
// one has expired.
func (c *Checkpointer) verify(ctx context.Context) error {
	newest := c.scanner.Newest()
	if newest == nil || newest == c.newest {
		return nil
	}
	_, err := c.scanner.Load(ctx)
	if errors.Is(err, ErrNoCheckpoint) {
		return nil
	}
	return err
}

// observe sets the time at which the newest checkpoint was first seen.
func (c *Checkpointer) observe(newest *Checkpoint) {
	if newest != nil && newest != c.newest {
		c.firstSeen, c.ageKnown = c.opts.Now(), c.scanned
	}
	c.newest, c.scanned = newest, true
}

func (c *Checkpointer) knownCheckpoint() *KnownCheckpoint {
	if c.newest == nil {
		return nil
	}
	return &KnownCheckpoint{Offset: c.newest.Offset, Age: c.opts.Now().Sub(c.firstSeen), AgeKnown: c.ageKnown}
}
