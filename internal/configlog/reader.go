// Package configlog folds the configuration stream outside of the daemons. The command line uses it
// to find verdicts and revisions from the platform log alone.
package configlog

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// batchSize is the maximum number of records that are read at once.
const batchSize = 256

// ErrShrunk means that the log ends before the offset of a state that was folded from it: the log has
// lost records.
var ErrShrunk = errors.New("the platform log ends before records that were read earlier")

// Checkpoint returns the state of the latest checkpoint, or the empty state if there is none.
type Checkpoint func(ctx context.Context) (*fold.State, error)

// Reader folds the records of a configuration stream into states, starting from a checkpoint.
type Reader struct {
	Log        eventlog.Log
	Checkpoint Checkpoint
}

// Load returns the state at the current end of the log.
func (r *Reader) Load(ctx context.Context) (*fold.State, error) {
	st, err := r.Checkpoint(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read checkpoint")
	}
	return r.advance(ctx, st)
}

// Advance folds the records after st, up to the current end of the log, and returns the new state. If
// the log no longer retains the next record, it starts again from the checkpoint.
func (r *Reader) Advance(ctx context.Context, st *fold.State) (*fold.State, error) {
	next, err := r.advance(ctx, st)
	var truncated *eventlog.TruncatedError
	if errors.As(err, &truncated) {
		return r.Load(ctx)
	}
	return next, err
}

// advance folds the records after st, up to the current end of the log. If it fails, it returns the
// state reached so far along with the error.
func (r *Reader) advance(ctx context.Context, st *fold.State) (*fold.State, error) {
	bounds, err := r.Log.Bounds(ctx)
	if err != nil {
		return st, errors.Wrap(err, "read the bounds of the log")
	}
	if st.Offset >= bounds.End {
		return st, errors.Wrapf(ErrShrunk, "state is at offset %d, log ends at %d", st.Offset, bounds.End)
	}
	for st.Offset+1 < bounds.End {
		records, err := r.Log.Read(ctx, st.Offset+1, batchSize, 0)
		if err != nil {
			return st, errors.Wrapf(err, "read the log from offset %d", st.Offset+1)
		}
		if len(records) == 0 {
			return st, errors.Wrapf(ErrShrunk, "no record at offset %d, log ended at %d before", st.Offset+1, bounds.End)
		}
		for _, rec := range records {
			if st, _, err = fold.Apply(st, rec.Offset, rec.Data); err != nil {
				return st, errors.Wrapf(err, "fold the record at offset %d", rec.Offset)
			}
		}
	}
	return st, nil
}
