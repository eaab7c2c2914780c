package publish

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// attempt appends one record to the log and determines its verdict.
type attempt struct {
	*Publisher
	id   string
	data []byte
	// state is the latest folded state.
	state *fold.State
	// firstSent is when the first append that may have taken effect was sent, zero if there is none.
	firstSent time.Time
	// offset is the offset of an acknowledged append, 0 if there is none.
	offset uint64
	// lastErr is the latest error, which is reported to the operator.
	lastErr error
}

// run appends the record until an append is acknowledged or the record is found in the log, and
// waits for the verdict. Repeated appends are safe: the fold decides a publish ID only once and
// skips repeats of it.
func (a *attempt) run(ctx context.Context) (Result, error) {
	for {
		sent := time.Now()
		offset, err := a.Reader.Log.Append(ctx, a.data)
		if err == nil {
			a.recordSent(sent)
			a.offset = offset
			return a.awaitVerdict(ctx), nil
		}
		a.lastErr = err
		if !errors.Is(err, eventlog.ErrUnavailable) {
			// The response may have been lost after the append took effect.
			a.recordSent(sent)
			if v, ok := a.lookupVerdict(ctx); ok {
				return newResult(v, a.firstSent), nil
			}
		}
		if isRejection(err) || !a.waitBackoff(ctx) {
			return a.finish(ctx)
		}
	}
}

// recordSent records that an append sent at this time may have taken effect.
func (a *attempt) recordSent(sent time.Time) {
	if a.firstSent.IsZero() {
		a.firstSent = sent
	}
}

// isRejection reports whether the log rejected the record, so that another append cannot succeed.
func isRejection(err error) bool {
	var rejected *eventlog.RejectedError
	return errors.As(err, &rejected)
}

// awaitVerdict waits for the verdict on the appended record until ctx ends.
func (a *attempt) awaitVerdict(ctx context.Context) Result {
	for {
		if v, ok := a.lookupVerdict(ctx); ok {
			return newResult(v, a.firstSent)
		}
		if !a.waitBackoff(ctx) {
			r, _ := a.finish(ctx)
			return r
		}
	}
}

// lookupVerdict reads the log and returns the verdict if it is known by then. If the log cannot be
// read, it asks a.Verdicts.
func (a *attempt) lookupVerdict(ctx context.Context) (fold.Verdict, bool) {
	st, err := a.Reader.Advance(ctx, a.state)
	if st != nil {
		a.state = st
	}
	if v, ok := a.state.Verdict(a.id); ok {
		return v, true
	}
	if err == nil {
		return fold.Verdict{}, false
	}
	a.lastErr = err
	if a.Verdicts == nil {
		return fold.Verdict{}, false
	}
	v, ok, err := a.Verdicts.Verdict(ctx, a.id)
	if err != nil {
		a.lastErr = errors.CombineErrors(a.lastErr, err)
	}
	return v, ok
}

// finish determines the result when no further append is made. If no append can have taken effect,
// nothing was published. Otherwise, it reads the log once more. If the verdict is still not known,
// the outcome is unknown, because an append may still take effect later.
func (a *attempt) finish(ctx context.Context) (Result, error) {
	if a.firstSent.IsZero() {
		return Result{}, errors.Wrap(a.lastErr, "nothing was published")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalReadTimeout)
	defer cancel()
	if v, ok := a.lookupVerdict(ctx); ok {
		return newResult(v, a.firstSent), nil
	}
	r := Result{Outcome: Unknown, PublishID: a.id, Revision: a.offset, Began: a.firstSent}
	if a.offset > 0 {
		r.Reasons = append(r.Reasons, fmt.Sprintf("the record is in the log at offset %d, but its verdict could not be read", a.offset))
	} else {
		r.Reasons = append(r.Reasons, "an append got no response, and the record was not found in the log")
	}
	if a.lastErr != nil {
		r.Reasons = append(r.Reasons, a.lastErr.Error())
	}
	return r, nil
}
