package inbound

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	// maxIdleConns matches the connections that a backend server takes.
	maxIdleConns = 128
)

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// oneShotBody hides from the transport that a request could be sent again.
// Without it, the transport itself repeats a request without a body that
// carries an Idempotency-Key when a kept-alive connection breaks under it, and
// the call runs twice.
type oneShotBody struct{ io.Reader }

// Close does nothing; the stream outlives the request.
func (oneShotBody) Close() error { return nil }

// request builds the request to the backend server.
func (c *call) request(target *url.URL, up *upload) (*http.Request, error) {
	h := c.head
	u, err := target.Parse(h.GetTarget())
	if err != nil || u.Host != target.Host {
		return nil, errkind.Newf(errkind.BadRequest, "target %q is not a path", h.GetTarget())
	}
	r, err := http.NewRequestWithContext(c.ctx, h.GetMethod(), u.String(), oneShotBody{up})
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "build request")
	}
	r.ContentLength = h.GetContentLength()
	if r.ContentLength == 0 && !h.GetNonIdempotent() {
		r.Body = http.NoBody
	}
	r.Host = h.GetAuthority()
	body.SetFields(r.Header, h.GetFields())
	left := max(time.Until(c.deadline), 0)
	r.Header.Set(body.HeaderRemaining, strconv.FormatInt(left.Milliseconds(), 10))
	r.Header.Set(body.HeaderAttempt, strconv.FormatUint(uint64(h.GetAttempt()), 10))
	if tp := telemetry.Traceparent(c.ctx); tp != "" {
		r.Header.Set("Traceparent", tp)
	}
	return r, nil
}

// roundTrip sends the request and waits for the head of the answer. The error
// has a kind.
func (c *call) roundTrip(target *url.URL, up *upload) (*http.Response, error) {
	var span trace.Span
	c.ctx, span = c.h.opts.Tracer.Start(c.ctx, "backend", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r, err := c.request(target, up)
	if err != nil {
		return nil, err
	}
	resp, err := c.h.client.RoundTrip(r)
	if err != nil {
		return nil, c.backendError(err)
	}
	return resp, nil
}

// backendError gives a failed round trip its kind. Only a connection that was
// never made proves that the call has not run.
func (c *call) backendError(err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return errkind.Wrap(errkind.Unreachable, err, "connect to the backend server")
	case time.Now().After(c.deadline):
		return errkind.Wrap(errkind.Deadline, err, "the backend server took too long")
	case c.ctx.Err() != nil:
		return errkind.Wrap(errkind.Canceled, err, "canceled while running")
	}
	return errkind.Wrap(errkind.BackendFailed, err, "the backend server broke off")
}

func (c *call) answerHead(resp *http.Response) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		Status:        uint32(resp.StatusCode),
		Fields:        body.Fields(resp.Header),
		ContentLength: resp.ContentLength,
		Load:          c.load(),
	}
}

// forward runs an idempotent call and streams the answer back as it comes.
func (c *call) forward(target *url.URL, up *upload) (gate.Outcome, error) {
	resp, err := c.roundTrip(target, up)
	if err != nil {
		return gate.Failed, c.refuse(err)
	}
	defer resp.Body.Close()
	if err := c.sendAnswer(c.answerHead(resp), resp.Body, answerLength(c.head.GetMethod(), resp)); err != nil {
		return gate.Failed, linkBroken(err)
	}
	return outcomeOf(resp), nil
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
