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

// buildRequest builds the request to the backend server.
func (c *call) buildRequest(up *upload) (*backendconn.Request, error) {
	h := c.head
	if !strings.HasPrefix(h.GetTarget(), "/") && h.GetTarget() != "*" {
		return nil, errkind.Newf(errkind.BadRequest, "request target %q is not a path", h.GetTarget())
	}
	r := &backendconn.Request{
		Method: h.GetMethod(), Target: h.GetTarget(), Host: h.GetAuthority(),
		Header: make(http.Header), Body: up, Length: h.GetContentLength(),
	}
	body.SetFields(r.Header, h.GetFields())
	// The daemon already has the body, or requests it from the sending daemon.
	r.Header.Del("Expect")
	r.Header.Del("Content-Length")
	d := c.h.opts.Dialect
	left := max(time.Until(c.deadline), 0)
	dialect.Set(r.Header, d.Remaining, strconv.FormatInt(left.Milliseconds(), 10))
	dialect.Set(r.Header, d.Attempt, strconv.FormatUint(uint64(h.GetAttempt()), 10))
	// These replace any values that the caller sent.
	dialect.Set(r.Header, d.ExpectedServer, c.instance.id)
	dialect.Set(r.Header, d.CallerService, h.GetCallerService())
	dialect.Replace(r.Header, d.CustomerName, h.GetCustomer())
	if tp := telemetry.Traceparent(c.ctx); tp != "" {
		r.Header.Set("Traceparent", tp)
	}
	return r, nil
}

// roundTrip sends the request and waits for the head of the response. The error has a kind.
func (c *call) roundTrip(up *upload) (*http.Response, error) {
	var span trace.Span
	c.ctx, span = c.h.opts.Tracer.Start(c.ctx, "backend", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r, err := c.buildRequest(up)
	if err != nil {
		return nil, err
	}
	c.h.opts.Metrics.ServerRequests.Inc()
	sent := time.Now()
	resp, err := c.instance.client.Do(c.ctx, r)
	c.conn = r.Conn
	if err != nil {
		return nil, c.exchangeError(err)
	}
	c.arrived = true
	if !c.isMisdirected(resp) {
		c.observeNotice(resp, sent)
	}
	if err := c.checkResponse(resp); err != nil {
		discardResponse(resp)
		return nil, err
	}
	c.status, c.latency = resp.StatusCode, time.Since(sent)
	return resp, nil
}

// maxDiscardedBytes bounds what is read of a response that is not forwarded, in bytes.
const maxDiscardedBytes = 4 << 10

// discardResponse reads a short response to its end, so that its connection can be used again.
// Otherwise each call that a server sheds would cost a new connection, which occupies a slot
// for a moment.
func discardResponse(resp *http.Response) { backendconn.Discard(resp, maxDiscardedBytes) }

// checkResponse returns an error for a response that must not be forwarded: one that states
// that the call has not run, or a success that the backend server has not signed.
func (c *call) checkResponse(resp *http.Response) error {
	d := c.h.opts.Dialect
	switch {
	case c.isMisdirected(resp):
		c.h.opts.OnServerMismatch(c.instance.id)
		return errkind.Newf(errkind.Unreachable, "backend server %s responds at the address of %s", resp.Header.Get(d.ServerID), c.instance.id)
	case d.IsRejection(resp.StatusCode, resp.Header):
		return errkind.Newf(errkind.Shed, "the backend server rejected the call with status %d", resp.StatusCode)
	case resp.StatusCode < http.StatusMultipleChoices && !c.isSigned(resp):
		return errkind.Newf(errkind.BackendFailed, "the response with status %d is not signed", resp.StatusCode)
	}
	return nil
}

// isSigned reports whether the backend server has signed a response with a signature that reaches the caller:
// a field that Connection names is not forwarded. It is true for a dialect without signatures.
func (c *call) isSigned(resp *http.Response) bool {
	signature := c.h.opts.Dialect.Signature
	return signature == "" || body.Forwards(resp.Header, signature)
}

// isMisdirected reports whether a response comes from another server than the one that the call was
// meant for.
func (c *call) isMisdirected(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest && c.h.opts.Dialect.IsRejection(resp.StatusCode, resp.Header)
}

// exchangeError assigns an error kind to a failed exchange and detects whether the server
// crashed during it.
func (c *call) exchangeError(err error) error {
	err = c.classifyError(err)
	if errkind.Of(err) == errkind.BackendFailed && c.detectCrash() {
		return errkind.Wrap(errkind.BackendEnded, err, "the backend server exited")
	}
	return err
}

// classifyError assigns an error kind to a failed round trip. Only a call of which nothing was
// sent has certainly not run.
func (c *call) classifyError(err error) error {
	var notSent *backendconn.NotSentError
	if errors.As(err, &notSent) {
		return c.classifyNotSent(err)
	}
	c.arrived = true
	switch {
	case time.Now().After(c.deadline):
		return errkind.Wrap(errkind.Deadline, err, "deadline exceeded while waiting for the backend server")
	case c.ctx.Err() != nil:
		return errkind.Wrap(errkind.Canceled, err, "canceled while running")
	}
	return errkind.Wrap(errkind.BackendFailed, err, "the exchange with the backend server failed")
}

// classifyNotSent assigns an error kind to a call of which nothing was sent. The failure
// indicates a problem of the backend server only if the deadline has not passed and the call is
// not canceled.
func (c *call) classifyNotSent(err error) error {
	switch {
	case !time.Now().Before(c.deadline):
		return errkind.Wrap(errkind.DeadlineNotRun, err, "deadline exceeded before the call was sent")
	case c.ctx.Err() != nil:
		return errkind.Wrap(errkind.Canceled, err, "canceled before the call was sent")
	}
	return errkind.Wrap(errkind.Unreachable, err, "connect to the backend server")
}

// responseHead converts the head of the backend server's response to a message.
func (c *call) responseHead(resp *http.Response) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		Status:        uint32(resp.StatusCode),
		Fields:        body.Fields(resp.Header),
		ContentLength: resp.ContentLength,
		Load:          c.load(),
		MadeBy:        advice.MadeByToProto(c.madeBy),
		Callees:       advice.CalleesToProto(c.h.opts.CalleeStats.Rates()),
		ServerNotice:  c.serverNotice(),
		ZoneLoads:     c.zoneLoads(true),
	}
}

// forward runs an idempotent call and forwards the response: a small one once it is complete, a
// larger one as it arrives.
func (c *call) forward(up *upload) (gate.Outcome, error) {
	resp, err := c.roundTrip(up)
	if err != nil {
		return gateOutcomeOfError(err), c.reject(err)
	}
	defer resp.Body.Close()
	prefix, err := readPrefix(resp, body.MaxBufferedResponse)
	if err != nil {
		return gate.Failed, c.reject(c.exchangeError(err))
	}
	if err := c.checkLength(resp, prefix, body.MaxBufferedResponse); err != nil {
		return gate.Failed, c.reject(err)
	}
	c.h.opts.Quarantine.RecordSuccess(c.identity)
	if err := c.sendWithPrefix(c.responseHead(resp), prefix, resp); err != nil {
		return gate.Failed, linkError(err)
	}
	return gateOutcome(resp), nil
}

// readPrefix reads a response body to its end, or limit+1 bytes of a body that is longer than
// limit.
func readPrefix(resp *http.Response, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(resp.Body, limit+1))
}

// checkLength returns an error for a response that is longer than limit and not signed. A server in trouble
// may send bytes without end in place of a response; they would occupy the links until the deadline.
func (c *call) checkLength(resp *http.Response, prefix []byte, limit int64) error {
	if int64(len(prefix)) <= limit || c.isSigned(resp) {
		return nil
	}
	return errkind.Newf(errkind.BackendFailed, "the response with status %d is not signed and exceeds %d bytes", resp.StatusCode, limit)
}

// sendWithPrefix sends a response of whose body the prefix has already been read.
func (c *call) sendWithPrefix(head *peerpb.AnswerHead, prefix []byte, resp *http.Response) error {
	src := io.MultiReader(bytes.NewReader(prefix), resp.Body)
	return c.sendResponse(head, src, responseBodyLength(c.head.GetMethod(), resp))
}

// gateOutcomeOfError distinguishes a call that the backend server rejected from one that
// failed.
func gateOutcomeOfError(err error) gate.Outcome {
	if errkind.Of(err) == errkind.Shed {
		return gate.Shed
	}
	return gate.Failed
}

// sendResponse streams a response. If its length is known, the head is sent with the first part
// of the body; otherwise the head is sent at once, since the body may arrive much later.
func (c *call) sendResponse(head *peerpb.AnswerHead, src io.Reader, length int64) error {
	send := c.st.Queue
	if length == body.UnknownLength {
		send = c.st.Send
	}
	if err := send(head); err != nil {
		return err
	}
	return body.Send(c.st, src, length)
}

// responseBodyLength returns the length of the body that follows the head. For some responses
// it differs from the Content-Length.
func responseBodyLength(method string, resp *http.Response) int64 {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return 0
	}
	return resp.ContentLength
}

// gateOutcome distinguishes a response from a rejection for lack of capacity. Status 429
// concerns the caller: if it counted as a lack of slots, the limit of one customer would reduce
// the slots for all.
func gateOutcome(resp *http.Response) gate.Outcome {
	if resp.StatusCode == http.StatusServiceUnavailable {
		return gate.Shed
	}
	return gate.Answered
}

// linkError wraps a failure to send to the caller's host as errkind.Canceled.
func linkError(err error) error {
	return errkind.Wrap(errkind.Canceled, err, "the link to the caller's host failed")
}
