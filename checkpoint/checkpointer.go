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

// CheckpointerOptions holds what a Keeper needs beside the streams.
type CheckpointerOptions struct {
	Policy Policy
	Writer WriterOptions
	// CheckInterval is how often a candidate looks at the streams.
	CheckInterval time.Duration
	// Now is the monotonic clock.
	Now func() time.Time
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
	Logger *slog.Logger
}

// checksPerAge is how often a candidate looks while a checkpoint is not due. It
// bounds by how much an age is misjudged.
const checksPerAge = 60

// DefaultCheckpointerOptions suit a platform that keeps records for a time.
func DefaultCheckpointerOptions(retention time.Duration) CheckpointerOptions {
	policy := PolicyFor(retention)
	return CheckpointerOptions{
		Policy:        policy,
		Writer:        DefaultWriterOptions(),
		CheckInterval: policy.MaxAge / checksPerAge,
		Now:           time.Now,
		Jitter:        rand.Float64,
		Logger:        slog.New(slog.DiscardHandler),
	}
}

// Checkpointer sees to it that there is always a checkpoint from which the tail of
// the log is unbroken. One runs in each daemon. Its Step must not be called by
// two goroutines at once.
type Checkpointer struct {
	opts    CheckpointerOptions
	host    string
	config  eventlog.Log
	scanner *Scanner
	writer  *Writer

	// newest and seen tell of the newest whole checkpoint and when it was first
	// seen.
	newest   *Checkpoint
	seen     time.Time
	ageKnown bool
	// scanned is whether the stream has been looked at before.
	scanned bool
	// dueSince is when a checkpoint came to be due, zero while none is.
	dueSince time.Time
	// wait is this host's turn, counted from dueSince.
	wait time.Duration
}

// NewCheckpointer returns a keeper for the streams eventlog.StreamConfig and
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

// Step looks whether a checkpoint of st is due and writes it if it is this
// host's turn among the live ones. It returns when to call it next, after an
// error too. A step that was paused on its way and writes late does no harm:
// its checkpoint is older than the newest then.
func (k *Checkpointer) Step(ctx context.Context, st *fold.State, live []string) (next time.Duration, err error) {
	wait, candidate := k.opts.Policy.WriteDelay(k.host, live, st.Offset, k.opts.Jitter())
	if !candidate {
		k.dueSince = time.Time{}
		return k.opts.CheckInterval, nil
	}
	reason, err := k.look(ctx, st)
	if err != nil || reason == ReasonNone {
		k.dueSince = time.Time{}
		return k.opts.CheckInterval, err
	}
	now := k.opts.Now()
	if k.dueSince.IsZero() {
		k.dueSince, k.wait = now, wait
	}
	if left := k.wait - now.Sub(k.dueSince); left > 0 {
		return min(left, k.opts.CheckInterval), nil
	}
	k.dueSince = time.Time{}
	if err := k.writer.Write(ctx, st); err != nil {
		return k.opts.CheckInterval, err
	}
	k.opts.Logger.Info("checkpoint: written", "offset", st.Offset, "reason", reason)
	return k.opts.CheckInterval, nil
}

// look brings up to date what is known of both streams and asks the policy.
func (k *Checkpointer) look(ctx context.Context, st *fold.State) (Reason, error) {
	bounds, err := k.config.Bounds(ctx)
	if err != nil {
		return ReasonNone, err
	}
	if err := k.scanner.Scan(ctx); err != nil {
		return ReasonNone, err
	}
	if err := k.verify(ctx); err != nil {
		return ReasonNone, err
	}
	k.note(k.scanner.Newest())
	return k.opts.Policy.Due(PolicyInput{Offset: st.Offset, Config: bounds, Newest: k.sighting()}), nil
}

// verify loads a checkpoint that is new here. A keeper that relied on one that
// nobody can start from would write none until the last good one has expired.
func (k *Checkpointer) verify(ctx context.Context) error {
	newest := k.scanner.Newest()
	if newest == nil || newest == k.newest {
		return nil
	}
	_, err := k.scanner.Load(ctx)
	if errors.Is(err, ErrNoCheckpoint) {
		return nil
	}
	return err
}

// note starts the age of a checkpoint when it is first seen.
func (k *Checkpointer) note(newest *Checkpoint) {
	if newest != nil && newest != k.newest {
		k.seen, k.ageKnown = k.opts.Now(), k.scanned
	}
	k.newest, k.scanned = newest, true
}

func (k *Checkpointer) sighting() *KnownCheckpoint {
	if k.newest == nil {
		return nil
	}
	return &KnownCheckpoint{Offset: k.newest.Offset, Age: k.opts.Now().Sub(k.seen), AgeKnown: k.ageKnown}
}
