package inbound

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// maxRecordedBody is the largest response body of a non-idempotent call, in bytes, that is
	// recorded for queries of its outcome.
	maxRecordedBody = 64 << 10
	// queryWait is how long a query waits for a running attempt to end. It is shorter than the
	// time that the querying daemon allows for one exchange.
	queryWait = 300 * time.Millisecond
	// exchangeTimeout bounds the exchange of a query or of the opening of a lane.
	exchangeTimeout = 2 * time.Second
)

// forwardOnce runs a non-idempotent call. It records the outcome before it sends the response,
// so that a daemon whose link broke can query it.
func (c *call) forwardOnce(up *upload) (gate.Outcome, error) {
	id, err := once.ParseID(c.head.GetAttemptId())
	if err != nil {
		return gate.NotStarted, c.reject(err)
	}
	// From here on the attempt may run, and later queries report that. If an earlier query
	// has barred it, Start fails.
	if err := c.h.opts.Attempts.Start(id); err != nil {
		return gate.NotStarted, c.reject(err)
	}
	resp, err := c.roundTrip(up)
	if err != nil {
		c.recordFailure(id, err)
		return gateOutcomeOfError(err), c.reject(err)
	}
	defer resp.Body.Close()
	return c.respondOnce(id, resp)
}

// recordFailure records a failed attempt as not run if the error proves it, and otherwise as
// one whose outcome is unknown.
func (c *call) recordFailure(id once.ID, err error) {
	if errkind.RunOf(err) == errkind.NotRun {
		c.h.opts.Attempts.Cancel(id)
		return
	}
	c.h.opts.Attempts.Fail(id)
}

// respondOnce records the outcome and then sends the response. A small response is recorded
// completely; of a larger one, only the fact that the call ran.
func (c *call) respondOnce(id once.ID, resp *http.Response) (gate.Outcome, error) {
	head := c.responseHead(resp)
	prefix, err := readPrefix(resp, maxRecordedBody)
	if err != nil {
		c.h.opts.Attempts.Fail(id)
		_ = c.exchangeError(err)
		return gate.Failed, c.reject(errkind.Wrap(errkind.OutcomeUnknown, err, "the backend server's response was incomplete"))
	}
	if err := c.checkLength(resp, prefix, maxRecordedBody); err != nil {
		c.h.opts.Attempts.Fail(id)
		return gate.Failed, c.reject(errkind.Wrap(errkind.OutcomeUnknown, err, "the backend server's response is not one"))
	}
	c.h.opts.Quarantine.RecordSuccess(c.identity)
	if len(prefix) <= maxRecordedBody {
		c.h.opts.Attempts.Finish(id, body.Record(head, prefix))
	} else {
		c.h.opts.Attempts.Finish(id, nil)
	}
	if err := c.sendWithPrefix(head, prefix, resp); err != nil {
		return gate.Answered, linkError(err)
	}
	return gateOutcome(resp), nil
}

// ServeAttemptQuery answers another daemon's query of the outcome of an attempt. The query may
// bar an attempt that has not started, so that it never runs.
func (h *Handler) ServeAttemptQuery(ctx context.Context, st *peer.Stream) error {
	_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
	var query peerpb.Ask
	if err := st.RecvMax(&query, peer.MaxHeadBytes); err != nil {
		return errors.Wrap(err, "read attempt query")
	}
	id, err := once.ParseID(query.GetAttemptId())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, queryWait)
	defer cancel()
	answer := queryAnswer(h.opts.Attempts.Await(ctx, id, query.GetBar()))
	if answer.Answer != nil {
		// The recorded response may contain a notice of the server.
		answer.Answer.ServerNotice = h.instances.current.Load().notices.message()
	}
	return st.Send(answer)
}

// queryAnswer converts the result of a query to a message.
func queryAnswer(r once.QueryResult) *peerpb.AskAnswer {
	a := &peerpb.AskAnswer{Outcome: protoOutcomes[r.Outcome]}
	if r.Response == nil {
		return a
	}
	a.Answer = body.RecordedHead(r.Response)
	a.Body = r.Response.Body
	return a
}

// protoOutcomes maps the outcomes to their values on the wire.
var protoOutcomes = map[once.Outcome]peerpb.Outcome{
	once.NotRun:  peerpb.Outcome_OUTCOME_NOT_RUN,
	once.Running: peerpb.Outcome_OUTCOME_RUNNING,
	once.Ran:     peerpb.Outcome_OUTCOME_RAN,
	once.Unknown: peerpb.Outcome_OUTCOME_UNKNOWN,
}

// ServeLane opens a lane, a range of attempt IDs, for another daemon's non-idempotent attempts.
func (h *Handler) ServeLane(_ context.Context, st *peer.Stream) error {
	_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := st.RecvMax(&peerpb.LaneAsk{}, peer.MaxHeadBytes); err != nil {
		return errors.Wrap(err, "read lane request")
	}
	lane, err := h.opts.Attempts.OpenLane()
	if err != nil {
		return st.Send(&peerpb.LaneAnswer{ErrorKind: string(errkind.Of(err))})
	}
	return st.Send(&peerpb.LaneAnswer{Boot: lane.Boot, Number: lane.Number})
}
