// Package configlog folds the configuration stream from outside the fleet: the
// command line learns verdicts and revisions from the platform's log alone.
package configlog

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// batch is how many records are read at once.
const batch = 256

// ErrShrunk means that the log ends before a state that was folded from it.
var ErrShrunk = errors.New("the platform's log ends before records that were read earlier")

// Checkpoint returns the newest state that was written back, or the empty
// state if there is none.
type Checkpoint func(ctx context.Context) (*fold.State, error)

// Reader folds the configuration stream.
type Reader struct {
	Log        eventlog.Log
	Checkpoint Checkpoint
}

// Load returns the state at the log's current end.
func (r *Reader) Load(ctx context.Context) (*fold.State, error) {
	st, err := r.Checkpoint(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read checkpoint")
	}
	return r.advance(ctx, st)
}

// Advance folds what follows a state up to the log's current end. Where the
// records have expired it starts anew from the checkpoint.
func (r *Reader) Advance(ctx context.Context, st *fold.State) (*fold.State, error) {
	next, err := r.advance(ctx, st)
	var truncated *eventlog.TruncatedError
	if errors.As(err, &truncated) {
		return r.Load(ctx)
	}
	return next, err
}

// advance returns the state reached also where an error stops it.
func (r *Reader) advance(ctx context.Context, st *fold.State) (*fold.State, error) {
	bounds, err := r.Log.Bounds(ctx)
	if err != nil {
		return st, errors.Wrap(err, "read the log's bounds")
	}
	if st.Offset >= bounds.End {
		return st, errors.Wrapf(ErrShrunk, "state %d, end %d", st.Offset, bounds.End)
	}
	for st.Offset+1 < bounds.End {
		records, err := r.Log.Read(ctx, st.Offset+1, batch, 0)
		if err != nil {
			return st, errors.Wrapf(err, "read the log from %d", st.Offset+1)
		}
		if len(records) == 0 {
			return st, errors.Wrapf(ErrShrunk, "nothing at %d, end was %d", st.Offset+1, bounds.End)
		}
		for _, rec := range records {
			if st, _, err = fold.Apply(st, rec.Offset, rec.Data); err != nil {
				return st, errors.Wrapf(err, "fold record %d", rec.Offset)
			}
		}
	}
	return st, nil
}
