package outbound

import (
	"bytes"
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/peerpb"
)

// queryTimeout bounds one query for the outcome of an attempt. A live gate needs time for
// connecting, for one exchange, and up to 300 ms to wait for a running attempt.
const queryTimeout = time.Second

// queryInterval is the pause between two queries.
const queryInterval = 50 * time.Millisecond

// recordedResponse is a response that a gate recorded for a non-idempotent attempt.
type recordedResponse struct {
	head *peerpb.AnswerHead
	body io.Reader
}

// resolveFailure turns a failed exchange into a recorded response or an error whose kind states
// no more than is certain. Only a lost link needs further steps: the gate may or may not have
// run the call.
func (a *attempt) resolveFailure(ctx context.Context, err error) (*recordedResponse, error) {
	var lost *linkLostError
	if !errors.As(err, &lost) {
		return nil, err
	}
	if a.credit.closeTruncated() {
		// A gate that requests the body in parts starts the call only once it has received the
		// whole body.
		a.arrived = false
		return nil, a.unreachableError(ctx, lost)
	}
	if isShuttingDown(ctx) && a.c.terms.NonIdempotent {
		return a.queryBeforeShutdown()
	}
	if ctx.Err() != nil {
		a.sendCancel()
		return nil, contextError(ctx, errkind.Deadline)
	}
	if !a.c.terms.NonIdempotent {
		return nil, errkind.Wrap(errkind.BackendFailed, lost, "the link to the backend server's host was lost")
	}
	return a.queryUntilKnown(ctx)
}

// shutdownQueryTimeout bounds a query while the daemon shuts down. After the drain only a sixth
// of the time until the process is killed remains, for this query and all other steps.
const shutdownQueryTimeout = 200 * time.Millisecond

// queryBeforeShutdown queries the outcome of a call that cannot wait any longer, once. An
// attempt that the gate bars has not run, so the caller may send the call again.
func (a *attempt) queryBeforeShutdown() (*recordedResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownQueryTimeout)
	defer cancel()
	ans, _ := a.queryOnce(ctx)
	recorded, kind, text := a.interpretOutcome(ans)
	switch {
	case recorded != nil:
		return recorded, nil
	case kind == errkind.Unreachable:
		return nil, errkind.Wrap(errkind.Draining, errShuttingDown, text)
	case kind != errkind.None:
		return nil, errkind.New(kind, text)
	}
	return nil, errkind.Wrap(errkind.OutcomeUnknown, errShuttingDown, "the call is still running")
}

// queryUntilKnown queries the outcome of a non-idempotent attempt over another stream to the
// gate. The pool reconnects if the session itself broke or was silent. The gate bars an attempt
// that has not started, so that "not run" stays true. The query is repeated until the gate
// answers or the call's deadline passes. A gate that cannot be queried leaves the outcome
// unknown.
func (a *attempt) queryUntilKnown(ctx context.Context) (*recordedResponse, error) {
	for {
		ans, err := a.queryOnce(ctx)
		if err != nil && (a.gateGone() || errors.Is(err, syscall.ECONNREFUSED)) {
			a.c.h.opts.Metrics.OutcomeQuery(peerpb.Outcome_OUTCOME_UNKNOWN)
			return nil, errkind.Wrap(errkind.OutcomeUnknown, err, "the daemon on the backend server's host is gone")
		}
		if recorded, kind, text := a.interpretOutcome(ans); recorded != nil {
			return recorded, nil
		} else if kind != errkind.None {
			return nil, errkind.New(kind, text)
		}
		if !loop.Sleep(ctx, queryInterval) {
			return nil, contextError(ctx, errkind.Deadline)
		}
	}
}

// interpretOutcome returns the recorded response, or the kind and text of the error that an
// outcome stands for, and neither while the outcome is open.
func (a *attempt) interpretOutcome(ans *peerpb.AskAnswer) (*recordedResponse, errkind.Kind, string) {
	switch ans.GetOutcome() {
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		a.arrived = false
		return nil, errkind.Unreachable, "the link was lost before the call started"
	case peerpb.Outcome_OUTCOME_UNKNOWN:
		return nil, errkind.OutcomeUnknown, "the daemon on the backend server's host does not know the outcome"
	case peerpb.Outcome_OUTCOME_RAN:
		if ans.GetAnswer() == nil {
			return nil, errkind.OutcomeUnknown, "the call ran, but its response is no longer recorded"
		}
		return &recordedResponse{head: ans.GetAnswer(), body: bytes.NewReader(ans.GetBody())}, errkind.None, ""
	}
	return nil, errkind.None, ""
}

// gateGone reports whether the daemon process that the attempt was sent to has ended.
func (a *attempt) gateGone() bool {
	m := a.c.h.opts.Board.Members.Load().Find(a.server.Host)
	return m == nil || m.Boot != a.server.Boot || !m.Usable()
}

func (a *attempt) queryOnce(ctx context.Context) (*peerpb.AskAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	ans := new(peerpb.AskAnswer)
	req := &peerpb.Ask{AttemptId: a.id[:], Bar: true}
	err := a.c.h.opts.Pool.Call(ctx, a.server.PeerAddr, peerpb.Kind_KIND_ASK, req, ans)
	if err == nil {
		a.c.h.opts.Metrics.OutcomeQuery(ans.GetOutcome())
	}
	return ans, err
}
