package outbound

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quarantine"
)

const (
	// cancelTimeout bounds the time spent on notifying a gate that the caller disconnected.
	cancelTimeout = 100 * time.Millisecond
	// maxHeadBytes bounds the message that begins a call or a response, in bytes.
	maxHeadBytes = 256 << 10
	// statusContinue is the status of an AnswerHead by which a gate requests the body.
	statusContinue = 100
)

// attempt is one attempt to run a call at one backend server.
type attempt struct {
	c      *call
	lease  *balance.Lease
	server *backend.Server
	// id identifies a non-idempotent attempt at the gate.
	id          once.ID
	start       time.Time
	span        trace.Span
	st          *peer.Stream
	unbindReads func() bool
	// expectContinue is whether the body is sent only once the gate requests it.
	expectContinue bool
	// uploadDone is closed once the sending of a body that the gate requested has ended, nil if
	// it has not begun.
	uploadDone chan struct{}
	// uploadOK is whether that body was sent whole. It may be read once uploadDone is closed.
	uploadOK bool
	// credit limits the sent part of the body to what the gate requested, nil for no limit.
	credit *creditReader
	// bodySent is whether the whole body was sent along with the head.
	bodySent bool
	// arrived is whether the call may have reached the backend server.
	arrived bool
}

func newAttempt(c *call, lease *balance.Lease) *attempt {
	return &attempt{
		c: c, lease: lease, server: lease.Server(), start: time.Now(),
		expectContinue: c.head.GetExpectContinue() || len(c.buffered) > maxEagerBodyIfBusy && !c.h.opts.AlwaysSendSmallBodies && !lease.HasFreeSlot(),
	}
}

// run makes the attempt. If it fails, it releases the attempt's resources.
func (a *attempt) run(ctx context.Context) (*pendingResponse, error) {
	ctx, a.span = a.c.h.opts.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	a.span.SetAttributes(
		attribute.String("crocuscross.host", a.server.Host),
		attribute.String("crocuscross.availability_zone", a.server.AvailabilityZone),
		attribute.Int("crocuscross.attempt", a.c.attempts),
	)
	head, err := a.exchange(ctx)
	latency := a.latency()
	var src io.Reader
	if err == nil {
		src, err = a.receiveBody(head)
	}
	if err == nil {
		return &pendingResponse{a: a, head: head, body: src, latency: latency}, nil
	}
	recorded, err := a.resolveFailure(ctx, err)
	a.close(balance.Result{Kind: errkind.Of(err), Latency: a.latency(), Load: loadFromHead(head)})
	if head == nil {
		a.observeNoAnswer(errkind.Of(err))
	}
	if err != nil {
		return nil, err
	}
	a.observeNotice(recorded.head)
	return &pendingResponse{a: a, head: recorded.head, body: recorded.body, closed: true}, nil
}

// latency returns the time since the attempt began as a sample of the backend server's latency,
// or 0 if it is no such sample: the duration of a streamed upload depends on the caller.
func (a *attempt) latency() time.Duration {
	if a.uploadDone != nil && a.c.stream != nil {
		return 0
	}
	return time.Since(a.start)
}

// exchange sends the call and returns the head of the backend server's response.
func (a *attempt) exchange(ctx context.Context) (*peerpb.AnswerHead, error) {
	if err := a.assignID(ctx); err != nil {
		return nil, a.unreachableError(ctx, err)
	}
	// Opening a stream on an established session does not check the context.
	if err := ctx.Err(); err != nil {
		return nil, a.unreachableError(ctx, err)
	}
	st, err := a.c.h.opts.Pool.Open(ctx, a.server.PeerAddr, peerpb.Kind_KIND_CALL)
	if err != nil {
		return nil, a.unreachableError(ctx, err)
	}
	a.st = st
	a.unbindReads = st.BindReads(ctx)
	_ = st.SetWriteDeadline(a.c.deadline)
	// From here on the call may reach the backend server, unless the gate reports otherwise.
	a.arrived = true
	head := a.c.callHead(ctx, a.id[:])
	head.ExpectContinue = a.expectContinue
	head.ServerNotice = a.c.h.notices.get(a.server.Host)
	if err := a.send(head); err != nil {
		return nil, newLinkLostError(err)
	}
	return a.receiveHead()
}

// send sends the head and the buffered body, or only the head if the gate must request the body
// first.
func (a *attempt) send(head *peerpb.CallHead) error {
	if head.GetExpectContinue() {
		return a.st.Send(head)
	}
	if err := a.st.Queue(head); err != nil {
		return err
	}
	// A failure to send is not returned. A gate that refused the call may have stopped reading,
	// and its response determines the outcome.
	a.bodySent = body.Send(a.st, a.c.bufferedBody(), int64(len(a.c.buffered))) == nil
	return nil
}

// assignID gives a non-idempotent attempt the ID by which its outcome can be queried at the
// gate.
func (a *attempt) assignID(ctx context.Context) error {
	if !a.c.terms.NonIdempotent {
		return nil
	}
	id, err := a.c.h.idAllocator.Next(ctx, a.gate())
	a.id = id
	return err
}

func (a *attempt) gate() once.GateID { return once.GateID{Host: a.server.Host, Boot: a.server.Boot} }

// unreachableError returns the error of an attempt that has certainly not run.
func (a *attempt) unreachableError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, errkind.DeadlineNotRun)
	}
	return errkind.Wrap(errkind.Unreachable, err, "reach the backend server's host")
}

// receiveHead waits for the head of the response. When the gate requests the body, it starts or
// continues the upload.
func (a *attempt) receiveHead() (*peerpb.AnswerHead, error) {
	for {
		head := new(peerpb.AnswerHead)
		if err := a.st.RecvMax(head, maxHeadBytes); err != nil {
			return nil, newLinkLostError(err)
		}
		a.updateStats(head)
		a.observeNotice(head)
		if head.GetErrorKind() != "" {
			a.arrived = head.GetArrived()
			return head, a.handleRefusal(head)
		}
		if head.GetStatus() != statusContinue {
			return head, nil
		}
		a.lease.Report(loadFromHead(head))
		a.continueUpload(int64(head.GetContinueBytes()))
	}
}

// receiveBody returns the body of a response. A body of up to body.MaxBufferedResponse bytes is read
// whole first, so that a link lost meanwhile fails the attempt like any other error.
func (a *attempt) receiveBody(head *peerpb.AnswerHead) (io.Reader, error) {
	src := body.NewReader(a.st)
	if n := head.GetContentLength(); n < 0 || n > body.MaxBufferedResponse {
		return src, nil
	}
	buf, err := io.ReadAll(src)
	if errors.Is(err, body.ErrAborted) {
		return nil, errkind.Wrap(errkind.BackendFailed, err, "the backend server ended its response early")
	}
	if err != nil {
		return nil, newLinkLostError(err)
	}
	return bytes.NewReader(buf), nil
}

// continueUpload starts sending the body or, if that has begun, lets it continue. It allows the
// given number of further bytes to be sent; 0 allows the whole body.
func (a *attempt) continueUpload(allowed int64) {
	if !a.expectContinue {
		return
	}
	if a.uploadDone != nil {
		a.credit.add(allowed)
		return
	}
	src := a.c.bufferedBody()
	if a.c.stream != nil {
		a.c.streamRead = true
		src = a.c.stream
	}
	if allowed > 0 {
		a.credit = newCreditReader(src, a.c.head.GetContentLength(), allowed)
		src = a.credit
	}
	a.uploadDone = make(chan struct{})
	go func() {
		defer close(a.uploadDone)
		a.uploadOK = body.Send(a.st, src, a.c.head.GetContentLength()) == nil
	}()
}

// close releases the attempt's resources and reports its result to the picker.
func (a *attempt) close(r balance.Result) {
	if a.st != nil {
		a.unbindReads()
		_ = a.st.Close()
	}
	a.endUpload()
	a.span.SetAttributes(attribute.String("crocuscross.kind", string(r.Kind)))
	a.span.End()
	a.lease.Done(r)
}

// endUpload waits until the upload has stopped reading the request body. It interrupts a read
// only while some of the body is left to read. After the end of the body the HTTP server itself
// reads from the connection to detect a disconnect. It would take an interruption of that read
// for a disconnect, for this request and all later ones on the connection.
func (a *attempt) endUpload() {
	if a.uploadDone == nil {
		return
	}
	a.credit.close()
	if a.c.stream == nil {
		// The peer stream is closed already, which ends the sending.
		<-a.uploadDone
		return
	}
	if !a.c.stream.ended.Load() {
		a.c.interruptBodyRead()
	}
	<-a.uploadDone
	a.c.clearReadDeadline()
}

// sendCancel notifies the gate that the caller no longer waits for the response. If the body
// has not been sent whole, the end of the stream notifies the gate instead.
func (a *attempt) sendCancel() {
	if a.st == nil || !a.bodySent && !a.uploadComplete() {
		return
	}
	_ = a.st.SetWriteDeadline(time.Now().Add(cancelTimeout))
	_ = body.SendAbort(a.st, errkind.Canceled)
}

// uploadComplete reports whether the body was sent whole after the gate had requested it. If
// only the end of the body is still being sent, it waits for that for up to cancelTimeout.
func (a *attempt) uploadComplete() bool {
	if a.uploadDone == nil || a.c.stream != nil && !a.c.stream.ended.Load() {
		return false
	}
	select {
	case <-a.uploadDone:
		return a.uploadOK
	case <-time.After(cancelTimeout):
		return false
	}
}

// handleRefusal returns a gate's refusal as an error. It invalidates the attempt's lane if the
// gate barred the attempt, and records a verdict if the gate quarantined the request.
func (a *attempt) handleRefusal(head *peerpb.AnswerHead) error {
	err := gateError(head)
	switch errkind.Of(err) {
	case errkind.Barred:
		a.c.h.idAllocator.Invalidate(a.gate(), a.id)
	case errkind.Quarantined:
		remaining := errkind.RetryAfterOf(err)
		a.c.h.opts.Quarantine.Add(quarantine.Verdict{Identity: a.c.identity, Until: time.Now().Add(remaining), Duration: remaining})
	}
	return err
}

// gateError returns the error that a gate sent in place of a backend server's response.
func gateError(head *peerpb.AnswerHead) error {
	k := errkind.Kind(head.GetErrorKind())
	if !k.Known() {
		k = errkind.Internal
	}
	e := errkind.New(k, head.GetErrorText())
	return e.WithRetryAfter(time.Duration(head.GetRetryAfterMs()) * time.Millisecond)
}

// linkLostError means that the link was lost while the outcome of the attempt was open.
type linkLostError struct{ cause error }

func (e *linkLostError) Error() string { return "link lost: " + e.cause.Error() }

func (e *linkLostError) Unwrap() error { return e.cause }

func newLinkLostError(err error) error { return &linkLostError{err} }

// pendingResponse is a backend server's response whose body has not been forwarded yet.
type pendingResponse struct {
	a       *attempt
	head    *peerpb.AnswerHead
	body    io.Reader
	latency time.Duration
	// closed is set once the attempt has ended, from the start for a recorded response, whose
	// body is in memory.
	closed bool
}

// close ends the attempt that the response belongs to.
func (s *pendingResponse) close(kind errkind.Kind) {
	if s.closed {
		return
	}
	s.closed = true
	s.a.close(balance.Result{
		Kind: kind, Status: int(s.head.GetStatus()), Latency: s.latency, Load: loadFromHead(s.head),
	})
}
