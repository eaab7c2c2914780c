package inbound

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// maxKeptBody is the largest answer to a non-idempotent call that is kept
	// for an ask, in bytes.
	maxKeptBody = 64 << 10
	// askWait is how long an ask waits for an attempt that runs. It is below the
	// time that the asking daemon allows for one exchange.
	askWait = 300 * time.Millisecond
	// exchangeTimeout bounds the messages of a short exchange.
	exchangeTimeout = 2 * time.Second
)

// forwardOnce runs a non-idempotent call. Its outcome is recorded before the
// answer is sent, so that a daemon whose link broke can ask for it.
func (c *call) forwardOnce(up *upload) (gate.Outcome, error) {
	id, err := once.ParseID(c.head.GetAttemptId())
	if err != nil {
		return gate.NotStarted, c.refuse(err)
	}
	// From here on the attempt may run: an ask that comes later is told so, and
	// one that came earlier has barred it.
	if err := c.h.opts.Attempts.Start(id); err != nil {
		return gate.NotStarted, c.refuse(err)
	}
	resp, err := c.roundTrip(up)
	if err != nil {
		c.recordFailure(id, err)
		return outcomeOfError(err), c.refuse(err)
	}
	defer resp.Body.Close()
	return c.answerOnce(id, resp)
}

func (c *call) recordFailure(id once.ID, err error) {
	if errkind.RunOf(err) == errkind.NotRun {
		c.h.opts.Attempts.Cancel(id)
		return
	}
	c.h.opts.Attempts.Fail(id)
}

// answerOnce keeps a small answer whole before it goes out; of a larger one
// only that the call ran is kept.
func (c *call) answerOnce(id once.ID, resp *http.Response) (gate.Outcome, error) {
	head := c.answerHead(resp)
	start, err := readStart(resp, maxKeptBody)
	if err != nil {
		c.h.opts.Attempts.Fail(id)
		_ = c.brokenOff(err)
		return gate.Failed, c.refuse(errkind.Wrap(errkind.OutcomeUnknown, err, "the backend server's answer broke off"))
	}
	c.h.opts.Quarantine.RecordSuccess(c.identity)
	if len(start) <= maxKeptBody {
		c.h.opts.Attempts.Finish(id, keptAnswer(head, start))
	} else {
		c.h.opts.Attempts.Finish(id, nil)
	}
	if err := c.passOn(head, start, resp); err != nil {
		return gate.Answered, linkBroken(err)
	}
	return outcomeOf(resp), nil
}

func keptAnswer(head *peerpb.AnswerHead, b []byte) *once.Response {
	a := &once.Response{Status: int(head.GetStatus()), Body: b}
	for _, f := range head.GetFields() {
		a.Fields = append(a.Fields, once.HeaderField{Name: f.GetName(), Value: f.GetValue()})
	}
	return a
}

// ServeAttemptQuery tells another daemon what became of an attempt.
func (h *Handler) ServeAttemptQuery(ctx context.Context, st *peer.Stream) error {
	_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
	var ask peerpb.Ask
	if err := st.RecvMax(&ask, peer.MaxHeadBytes); err != nil {
		return errors.Wrap(err, "read ask")
	}
	id, err := once.ParseID(ask.GetAttemptId())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	return st.Send(askAnswer(h.opts.Attempts.Await(ctx, id, ask.GetBar())))
}

func askAnswer(r once.QueryResult) *peerpb.AskAnswer {
	a := &peerpb.AskAnswer{Outcome: outcomes[r.Outcome]}
	if r.Response == nil {
		return a
	}
	a.Answer = &peerpb.AnswerHead{Status: uint32(r.Response.Status), ContentLength: int64(len(r.Response.Body))}
	for _, f := range r.Response.Fields {
		a.Answer.Fields = append(a.Answer.Fields, &peerpb.Field{Name: f.Name, Value: f.Value})
	}
	a.Body = r.Response.Body
	return a
}

var outcomes = map[once.Outcome]peerpb.Outcome{
	once.NotRun:  peerpb.Outcome_OUTCOME_NOT_RUN,
	once.Running: peerpb.Outcome_OUTCOME_RUNNING,
	once.Ran:     peerpb.Outcome_OUTCOME_RAN,
	once.Unknown: peerpb.Outcome_OUTCOME_UNKNOWN,
}

// ServeLane opens a lane for another daemon's non-idempotent attempts.
func (h *Handler) ServeLane(_ context.Context, st *peer.Stream) error {
	_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := st.RecvMax(&peerpb.LaneAsk{}, peer.MaxHeadBytes); err != nil {
		return errors.Wrap(err, "read lane ask")
	}
	lane, err := h.opts.Attempts.OpenLane()
	if err != nil {
		return st.Send(&peerpb.LaneAnswer{ErrorKind: string(errkind.Of(err))})
	}
	return st.Send(&peerpb.LaneAnswer{Boot: lane.Boot, Number: lane.Number})
}
