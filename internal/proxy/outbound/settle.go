package outbound

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/peerpb"
)

// askTimeout bounds one ask. A gate that is alive needs a connection, one
// exchange, and up to 300 ms that it waits for an attempt that runs.
const askTimeout = time.Second

// keptAnswer is an answer that a gate had kept.
type keptAnswer struct {
	head *peerpb.AnswerHead
	body io.Reader
}

// settle turns a failed exchange into an answer or an error whose kind says no
// more than is certain. Only a link that broke needs work: the gate may or may
// not have run the call.
func (a *attempt) settle(ctx context.Context, err error) (*keptAnswer, error) {
	var lost *lostError
	if !errors.As(err, &lost) {
		return nil, err
	}
	if ctx.Err() != nil {
		a.cancel()
		return nil, contextKind(ctx, errkind.Deadline)
	}
	if !a.c.terms.NonIdempotent {
		return nil, errkind.Wrap(errkind.BackendFailed, lost, "the link to the backend server's host broke")
	}
	return a.ask(ctx)
}

// ask learns the outcome of a non-idempotent attempt over another stream; the
// pool has connected anew if the session itself broke or was silent. The
// gate bars an attempt that has not started, so that "not run" stays true; a
// gate that cannot be asked leaves the outcome unknown.
func (a *attempt) ask(ctx context.Context) (*keptAnswer, error) {
	for {
		ans, err := a.askOnce(ctx)
		if err != nil {
			a.c.h.opts.Metrics.Ask(peerpb.Outcome_OUTCOME_UNKNOWN)
			return nil, errkind.Wrap(errkind.OutcomeUnknown, err, "the backend server's host cannot be asked")
		}
		a.c.h.opts.Metrics.Ask(ans.GetOutcome())
		switch ans.GetOutcome() {
		case peerpb.Outcome_OUTCOME_NOT_RUN:
			return nil, errkind.New(errkind.Unreachable, "the link broke before the call started")
		case peerpb.Outcome_OUTCOME_RAN:
			if ans.GetAnswer() == nil {
				return nil, errkind.New(errkind.OutcomeUnknown, "the call ran, its answer is no longer kept")
			}
			return &keptAnswer{head: ans.GetAnswer(), body: bytes.NewReader(ans.GetBody())}, nil
		case peerpb.Outcome_OUTCOME_RUNNING:
			// The gate has waited for the attempt for a while already.
			if ctx.Err() != nil {
				return nil, contextKind(ctx, errkind.Deadline)
			}
		default:
			return nil, errkind.New(errkind.OutcomeUnknown, "the backend server's host does not know the outcome")
		}
	}
}

func (a *attempt) askOnce(ctx context.Context) (*peerpb.AskAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ans := new(peerpb.AskAnswer)
	req := &peerpb.Ask{AttemptId: a.id[:], Bar: true}
	err := a.c.h.opts.Pool.Call(ctx, a.server.PeerAddr, peerpb.Kind_KIND_ASK, req, ans)
	return ans, err
}
