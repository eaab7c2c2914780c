package inbound

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/proxy/advice"
	"github.com/crocuscross/crocuscross/internal/proxy/backendconn"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/peerpb"
)

// request builds the request to the backend server.
func (c *call) request(up *upload) (*backendconn.Request, error) {
	h := c.head
	if !strings.HasPrefix(h.GetTarget(), "/") && h.GetTarget() != "*" {
		return nil, errkind.Newf(errkind.BadRequest, "target %q is not a path", h.GetTarget())
	}
	r := &backendconn.Request{
		Method: h.GetMethod(), Target: h.GetTarget(), Host: h.GetAuthority(),
		Header: make(http.Header), Body: up, Length: h.GetContentLength(),
	}
	body.SetFields(r.Header, h.GetFields())
	// The daemon has the body already, or asks for it itself.
	r.Header.Del("Expect")
	r.Header.Del("Content-Length")
	d := c.h.opts.Dialect
	left := max(time.Until(c.deadline), 0)
	dialect.Set(r.Header, d.Remaining, strconv.FormatInt(left.Milliseconds(), 10))
	dialect.Set(r.Header, d.Attempt, strconv.FormatUint(uint64(h.GetAttempt()), 10))
	// What the caller says of these does not count.
	dialect.Set(r.Header, d.ExpectedServer, c.site.id)
	dialect.Set(r.Header, d.CallerService, h.GetCallerService())
	if tp := telemetry.Traceparent(c.ctx); tp != "" {
		r.Header.Set("Traceparent", tp)
	}
	return r, nil
}

// roundTrip sends the request and waits for the head of the answer. The error
// has a kind.
func (c *call) roundTrip(up *upload) (*http.Response, error) {
	var span trace.Span
	c.ctx, span = c.h.opts.Tracer.Start(c.ctx, "backend", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r, err := c.request(up)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	resp, err := c.site.client.Do(c.ctx, r)
	if err != nil {
		return nil, c.brokenOff(err)
	}
	c.arrived = true
	if err := c.checkAnswer(resp); err != nil {
		endUnusedAnswer(resp)
		return nil, err
	}
	c.status, c.latency = resp.StatusCode, time.Since(sent)
	return resp, nil
}

// maxUnusedAnswer bounds what is read of an answer that is not passed on, in bytes.
const maxUnusedAnswer = 4 << 10

// endUnusedAnswer reads a short answer to its end, so that its connection can be used
// again. A server that sheds many calls would else be connected to for each of them, and a
// new connection holds a slot for a moment.
func endUnusedAnswer(resp *http.Response) {
	if n := resp.ContentLength; n >= 0 && n <= maxUnusedAnswer {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_ = resp.Body.Close()
}

// checkAnswer returns the error of an answer that must not be passed on: one that
// says that the call has not run, and a success that the backend server has not
// signed.
func (c *call) checkAnswer(resp *http.Response) error {
	d := c.h.opts.Dialect
	switch {
	case d.IsRejection(resp.StatusCode, resp.Header) && resp.StatusCode == http.StatusMisdirectedRequest:
		c.h.opts.OnServerMismatch(c.site.id)
		return errkind.Newf(errkind.Unreachable, "backend server %s has the address of %s", resp.Header.Get(d.ServerID), c.site.id)
	case d.IsRejection(resp.StatusCode, resp.Header):
		return errkind.Newf(errkind.Shed, "the backend server turned the call away with status %d", resp.StatusCode)
	case d.Signature != "" && resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get(d.Signature) == "":
		return errkind.Newf(errkind.BackendFailed, "the answer with status %d is not signed", resp.StatusCode)
	}
	return nil
}

// brokenOff gives an exchange that failed its kind, and finds out whether the server has
// ended under it.
func (c *call) brokenOff(err error) error {
	err = c.backendError(err)
	if errkind.Of(err) == errkind.BackendFailed && c.noteEnding() {
		return errkind.Wrap(errkind.BackendEnded, err, "the backend server ended")
	}
	return err
}

// backendError gives a failed round trip its kind. Only a call of which nothing was
// sent has certainly not run.
func (c *call) backendError(err error) error {
	var notSent *backendconn.NotSentError
	if errors.As(err, &notSent) {
		return c.unsent(err)
	}
	c.arrived = true
	switch {
	case time.Now().After(c.deadline):
		return errkind.Wrap(errkind.Deadline, err, "the backend server took too long")
	case c.ctx.Err() != nil:
		return errkind.Wrap(errkind.Canceled, err, "canceled while running")
	}
	return errkind.Wrap(errkind.BackendFailed, err, "the backend server broke off")
}

// unsent gives a call of which nothing was sent its kind. Only one whose time was not up says
// something of the backend server.
func (c *call) unsent(err error) error {
	switch {
	case !time.Now().Before(c.deadline):
		return errkind.Wrap(errkind.DeadlineNotRun, err, "its time was up before it was sent")
	case c.ctx.Err() != nil:
		return errkind.Wrap(errkind.Canceled, err, "canceled before it was sent")
	}
	return errkind.Wrap(errkind.Unreachable, err, "connect to the backend server")
}

func (c *call) answerHead(resp *http.Response) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		Status:        uint32(resp.StatusCode),
		Fields:        body.Fields(resp.Header),
		ContentLength: resp.ContentLength,
		Load:          c.load(),
		MadeBy:        advice.MadeByToProto(c.madeBy),
		Callees:       advice.CalleesToProto(c.h.opts.CalleeStats.Rates()),
	}
}

// forward runs an idempotent call and passes the answer back, a small one when it is
// whole, a larger one as it comes.
func (c *call) forward(up *upload) (gate.Outcome, error) {
	resp, err := c.roundTrip(up)
	if err != nil {
		return outcomeOfError(err), c.refuse(err)
	}
	defer resp.Body.Close()
	start, err := readStart(resp, body.MaxBufferedResponse)
	if err != nil {
		return gate.Failed, c.refuse(c.brokenOff(err))
	}
	c.h.opts.Quarantine.RecordSuccess(c.identity)
	if err := c.passOn(c.answerHead(resp), start, resp); err != nil {
		return gate.Failed, linkBroken(err)
	}
	return outcomeOf(resp), nil
}

// readStart reads an answer's body to its end or, where that lies beyond limit, a byte
// more than that.
func readStart(resp *http.Response, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(resp.Body, limit+1))
}

// passOn sends an answer of whose body the start has been read.
func (c *call) passOn(head *peerpb.AnswerHead, start []byte, resp *http.Response) error {
	rest := io.MultiReader(bytes.NewReader(start), resp.Body)
	return c.sendAnswer(head, rest, answerLength(c.head.GetMethod(), resp))
}

// outcomeOfError tells a call that the backend server turned away from one that it
// broke off.
func outcomeOfError(err error) gate.Outcome {
	if errkind.Of(err) == errkind.Shed {
		return gate.Shed
	}
	return gate.Failed
}

// sendAnswer streams an answer. The head of one whose length is known goes out
// with the first part of the body; otherwise that may be long in coming.
func (c *call) sendAnswer(head *peerpb.AnswerHead, src io.Reader, length int64) error {
	send := c.st.Queue
	if length == body.UnknownLength {
		send = c.st.Send
	}
	if err := send(head); err != nil {
		return err
	}
	return body.Send(c.st, src, length)
}

// answerLength is the length of the body that follows, which for some answers
// is not the Content-Length.
func answerLength(method string, resp *http.Response) int64 {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return 0
	}
	return resp.ContentLength
}

// outcomeOf tells an answer from a backend server that turned the call away. A
// 429 is about the caller: taken for a lack of slots, one customer's would
// shrink them for all.
func outcomeOf(resp *http.Response) gate.Outcome {
	if resp.StatusCode == http.StatusServiceUnavailable {
		return gate.Shed
	}
	return gate.Answered
}

func linkBroken(err error) error {
	return errkind.Wrap(errkind.Canceled, err, "the link to the caller's host broke")
}
