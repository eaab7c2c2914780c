package publish

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// attempt brings one record into the log.
type attempt struct {
	*Publisher
	id   string
	data []byte
	// state is the latest one folded.
	state *fold.State
	// began is when an append was first sent that may have taken effect.
	began time.Time
	// offset of an append that was answered.
	offset uint64
	// trouble is the latest error, for people.
	trouble error
}

// run appends until one append is answered or seen in the log, then waits for
// the verdict. Appending again is safe: the fold decides a publish id once and
// passes over its repeats.
func (a *attempt) run(ctx context.Context) (Result, error) {
	for {
		sent := time.Now()
		offset, err := a.Reader.Log.Append(ctx, a.data)
		if err == nil {
			a.note(sent)
			a.offset = offset
			return a.awaitVerdict(ctx), nil
		}
		a.trouble = err
		if !errors.Is(err, eventlog.ErrUnavailable) {
			// The answer may have been lost after the append took effect.
			a.note(sent)
			if v, ok := a.look(ctx); ok {
				return resultOf(v, a.began), nil
			}
		}
		if final(err) || !a.pause(ctx) {
			return a.giveUp(ctx)
		}
	}
}

func (a *attempt) note(sent time.Time) {
	if a.began.IsZero() {
		a.began = sent
	}
}

// final reports whether the service refuses the record itself.
func final(err error) bool {
	var rejected *eventlog.RejectedError
	return errors.As(err, &rejected)
}

// awaitVerdict waits until the record that was appended has been decided on.
func (a *attempt) awaitVerdict(ctx context.Context) Result {
	for {
		if v, ok := a.look(ctx); ok {
			return resultOf(v, a.began)
		}
		if !a.pause(ctx) {
			r, _ := a.giveUp(ctx)
			return r
		}
	}
}

// look returns the verdict if the log, or else a daemon, tells it.
func (a *attempt) look(ctx context.Context) (fold.Verdict, bool) {
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
	a.trouble = err
	if a.Verdicts == nil {
		return fold.Verdict{}, false
	}
	v, ok, err := a.Verdicts.Verdict(ctx, a.id)
	if err != nil {
		a.trouble = errors.CombineErrors(a.trouble, err)
	}
	return v, ok
}

// giveUp ends the publish when the time is up. If no append may have taken
// effect, nothing was published. Otherwise the log is looked at once more; a
// record that is not there may still arrive, so only then the outcome is
// unknown.
func (a *attempt) giveUp(ctx context.Context) (Result, error) {
	if a.began.IsZero() {
		return Result{}, errors.Wrap(a.trouble, "nothing was published")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastLookTimeout)
	defer cancel()
	if v, ok := a.look(ctx); ok {
		return resultOf(v, a.began), nil
	}
	r := Result{Outcome: Unknown, PublishID: a.id, Revision: a.offset, Began: a.began}
	if a.offset > 0 {
		r.Reasons = append(r.Reasons, fmt.Sprintf("the record is in the log at %d, its verdict could not be read", a.offset))
	} else {
		r.Reasons = append(r.Reasons, "an append was sent and not answered, and the record is not seen in the log")
	}
	if a.trouble != nil {
		r.Reasons = append(r.Reasons, a.trouble.Error())
	}
	return r, nil
}
