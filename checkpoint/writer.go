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

// WriterOptions holds the bounds of a Writer.
type WriterOptions struct {
	// Attempts is how often one part is appended before the checkpoint is given
	// up.
	Attempts int
	// Backoff bounds the wait before the second attempt; it doubles from one
	// attempt to the next. Waits have full jitter.
	Backoff time.Duration
	// NewID returns a number that the writer has not used before.
	NewID func() uint64
	// Sleep waits, or returns the error of a context that is done.
	Sleep func(ctx context.Context, d time.Duration) error
}

// DefaultWriterOptions suit a log that takes several hundred appends a second.
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

// NewWriter returns a writer for the stream eventlog.StreamCheckpoints. host
// names the writer to people; nothing is decided by it.
func NewWriter(log eventlog.Log, host string, opts WriterOptions) *Writer {
	return &Writer{log: log, host: host, opts: opts}
}

// Write appends a checkpoint of a state, part by part. After an error the
// checkpoint may be there in part, which readers pass over, or even whole.
//
// A part is appended again when the outcome of the append is unknown: readers
// take the first of equal parts. The next part follows only once an append of
// this one is known to be in the log, so that the first occurrences of all parts
// stand in order.
func (w *Writer) Write(ctx context.Context, st *fold.State) error {
	parts, err := split(w.host, w.opts.NewID(), st)
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
