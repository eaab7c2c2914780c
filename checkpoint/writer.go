package checkpoint

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// WriterOptions configures a Writer.
type WriterOptions struct {
	// Attempts is the maximum number of appends of one part. After that, Write fails.
	Attempts int
	// Backoff is the upper limit of the wait before the second attempt; it doubles with each
	// further attempt. Each wait is a random time from zero to the limit (full jitter).
	Backoff time.Duration
	// NewID returns a number that this writer has not used before.
	NewID func() uint64
	// Sleep waits for d. It returns the error of ctx if ctx is done before.
	Sleep func(ctx context.Context, d time.Duration) error
}

// DefaultWriterOptions returns the options for a log that accepts several hundred appends a
// second.
func DefaultWriterOptions() WriterOptions {
	return WriterOptions{
		Attempts: 4,
		Backoff:  200 * time.Millisecond,
		NewID:    rand.Uint64,
		Sleep:    sleep,
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Writer appends checkpoints to a stream. It is safe for concurrent use.
type Writer struct {
	log  eventlog.Log
	host string
	opts WriterOptions
}

// NewWriter returns a writer for the stream eventlog.StreamCheckpoints. host identifies the
// writer in error messages; no decision depends on it.
func NewWriter(log eventlog.Log, host string, opts WriterOptions) *Writer {
	return &Writer{log: log, host: host, opts: opts}
}

// Write appends a checkpoint of a state, part by part. After an error the checkpoint may be in
// the stream incompletely, in which case readers ignore it, or even completely.
//
// A part is appended again if the outcome of an append is unknown; readers use the first of
// several equal parts. The next part is appended only after an append of this one has succeeded,
// so that the first occurrences of all parts are in order.
func (w *Writer) Write(ctx context.Context, st *fold.State) error {
	parts, err := splitState(w.host, w.opts.NewID(), st)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err := w.append(ctx, part); err != nil {
			return errors.Wrapf(err, "append part %d of %d", part.GetIndex()+1, part.GetCount())
		}
	}
	return nil
}

func (w *Writer) append(ctx context.Context, part *configpb.CheckpointPart) error {
	data, err := proto.Marshal(part)
	if err != nil {
		return errors.Wrap(err, "encode part")
	}
	for attempt := 1; ; attempt++ {
		_, err = w.log.Append(ctx, data)
		var rejected *eventlog.RejectedError
		if err == nil || attempt >= w.opts.Attempts || errors.As(err, &rejected) {
			return err
		}
		bound := w.opts.Backoff << (attempt - 1)
		if err := w.opts.Sleep(ctx, rand.N(bound+1)); err != nil {
			return err
		}
	}
}
