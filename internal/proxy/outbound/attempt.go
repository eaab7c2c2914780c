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
	// cancelTimeout bounds the effort to tell a gate that a caller went away.
	cancelTimeout = 100 * time.Millisecond
	// maxHeadBytes bounds the message that begins an answer.
	maxHeadBytes = 256 << 10
	// statusContinue in an AnswerHead asks for the body.
	statusContinue = 100
)

// attempt is one try of a call at one backend server.
type attempt struct {
	c           *call
	lease       *balance.Lease
	server      *backend.Server
	id          once.ID
	start       time.Time
	span        trace.Span
	st          *peer.Stream
	unbindReads func() bool
	// expectContinue is whether the body follows only once the gate asks for it.
	expectContinue bool
	// uploadDone ends when a streamed body is no longer read.
	uploadDone chan struct{}
	// uploadOK is whether all of it was sent; it is read once upload is closed.
	uploadOK bool
	// credit bounds what the gate lets be sent, nil for no bound.
	credit *creditReader
	// bodySent is whether the whole request body has been bodySent.
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

// run makes the attempt. A failed one has released all it held.
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
	kept, err := a.resolveFailure(ctx, err)
	a.close(balance.Result{Kind: errkind.Of(err), Latency: a.latency(), Load: loadFromHead(head)})
	if err != nil {
		return nil, err
	}
	return &pendingResponse{a: a, head: kept.head, body: kept.body, closed: true}, nil
}

// latency is the time until now as evidence about the backend server, 0 where it
// says nothing of it: a streamed upload takes as long as its caller.
func (a *attempt) latency() time.Duration {
	if a.uploadDone != nil && a.c.stream != nil {
		return 0
	}
	return time.Since(a.start)
}

// exchange sends the call and returns the head of the backend server's answer.
func (a *attempt) exchange(ctx context.Context) (*peerpb.AnswerHead, error) {
	if err := a.assignID(ctx); err != nil {
		return nil, a.unreachableError(ctx, err)
	}
	// An open session takes the call whatever the context says.
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
	// Until the gate says otherwise.
	a.arrived = true
	head := a.c.callHead(ctx, a.id[:])
	head.ExpectContinue = a.expectContinue
	if err := a.send(head); err != nil {
		return nil, newLinkLostError(err)
	}
	return a.receiveHead()
}

// send sends the head, and with it a body that is held. A streamed body follows
// when the gate asks for it.
func (a *attempt) send(head *peerpb.CallHead) error {
	if head.GetExpectContinue() {
		return a.st.Send(head)
	}
	if err := a.st.Queue(head); err != nil {
		return err
	}
	// A failure to send shows in the answer: a gate that refused the call may
	// have stopped reading, and what it says counts.
	a.bodySent = body.Send(a.st, a.c.bufferedBody(), int64(len(a.c.buffered))) == nil
	return nil
}

// assignID gives a non-idempotent attempt the id by which its outcome can be
// asked for.
func (a *attempt) assignID(ctx context.Context) error {
	if !a.c.terms.NonIdempotent {
		return nil
	}
	id, err := a.c.h.idAllocator.Next(ctx, a.gate())
	a.id = id
	return err
}

func (a *attempt) gate() once.GateID { return once.GateID{Host: a.server.Host, Boot: a.server.Boot} }

// unreachableError is the error of an attempt of which nothing was sent.
func (a *attempt) unreachableError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, errkind.DeadlineNotRun)
	}
	return errkind.Wrap(errkind.Unreachable, err, "reach the backend server's host")
}

// receiveHead waits for the answer to begin, sending a streamed body once the
// gate asks for it.
func (a *attempt) receiveHead() (*peerpb.AnswerHead, error) {
	for {
		head := new(peerpb.AnswerHead)
		if err := a.st.RecvMax(head, maxHeadBytes); err != nil {
			return nil, newLinkLostError(err)
		}
		a.updateStats(head)
		if head.GetErrorKind() != "" {
			a.arrived = head.GetArrived()
			return head, a.handleRefusal(head)
		}
		if head.GetStatus() != statusContinue {
			return head, nil
		}
		a.continueUpload(int64(head.GetContinueBytes()))
	}
}

// receiveBody returns the body of an answer; a small one is at hand then. Where the
// link breaks before, the attempt has failed like any other.
func (a *attempt) receiveBody(head *peerpb.AnswerHead) (io.Reader, error) {
	src := body.NewReader(a.st)
	if n := head.GetContentLength(); n < 0 || n > body.MaxBufferedResponse {
		return src, nil
	}
	held, err := io.ReadAll(src)
	if errors.Is(err, body.ErrAborted) {
		return nil, errkind.Wrap(errkind.BackendFailed, err, "the backend server broke off its answer")
	}
	if err != nil {
		return nil, newLinkLostError(err)
	}
	return bytes.NewReader(held), nil
}

// continueUpload sends the body, or lets the sending go on by so many bytes; 0 stands for
// all of it.
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

// close releases everything and reports how the attempt went.
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

// endUpload waits until nothing reads the caller's body any more. A read is only
// interrupted while there is something left to read: behind the body's end the HTTP
// library itself reads, to notice a caller that goes away, and would take the
// interruption for that, on this request and on all that follow on the connection.
func (a *attempt) endUpload() {
	if a.uploadDone == nil {
		return
	}
	a.credit.close()
	if a.c.stream == nil {
		// The stream is closed, which ends the sending.
		<-a.uploadDone
		return
	}
	if !a.c.stream.ended.Load() {
		a.c.interruptBodyRead()
	}
	<-a.uploadDone
	a.c.clearReadDeadline()
}

// sendCancel tells the gate that nobody waits for the answer any more. Within a body that
// is still on its way the end of the stream tells it.
func (a *attempt) sendCancel() {
	if a.st == nil || !a.bodySent && !a.uploadComplete() {
		return
	}
	_ = a.st.SetWriteDeadline(time.Now().Add(cancelTimeout))
	_ = body.SendAbort(a.st, errkind.Canceled)
}

// uploadComplete reports whether the body was sent whole after the gate had asked for it.
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

// handleRefusal notes what a refusal tells of the lane, and returns it as an error.
func (a *attempt) handleRefusal(head *peerpb.AnswerHead) error {
	err := gateError(head)
	switch errkind.Of(err) {
	case errkind.Barred:
		a.c.h.idAllocator.Invalidate(a.gate(), a.id)
	case errkind.Quarantined:
		left := errkind.RetryAfterOf(err)
		a.c.h.opts.Quarantine.Add(quarantine.Verdict{Identity: a.c.identity, Until: time.Now().Add(left), Duration: left})
	}
	return err
}

// gateError is what a gate answered in place of the backend server.
func gateError(head *peerpb.AnswerHead) error {
	k := errkind.Kind(head.GetErrorKind())
	if !k.Known() {
		k = errkind.Internal
	}
	e := errkind.New(k, head.GetErrorText())
	return e.After(time.Duration(head.GetRetryAfterMs()) * time.Millisecond)
}

// linkLostError marks a link that broke while the outcome was open.
type linkLostError struct{ cause error }

func (e *linkLostError) Error() string { return "link lost: " + e.cause.Error() }

func (e *linkLostError) Unwrap() error { return e.cause }

func newLinkLostError(err error) error { return &linkLostError{err} }

// loadFromHead returns what a gate told of its load, nil if it told nothing.
func loadFromHead(head *peerpb.AnswerHead) *balance.Load {
	l := head.GetLoad()
	if l == nil {
		return nil
	}
	return &balance.Load{
		InUse:       int(l.GetInUse()),
		Queued:      int(l.GetQueued()),
		Slots:       int(l.GetSlots()),
		Draining:    l.GetDraining(),
		ServiceTime: time.Duration(l.GetServiceTimeUs()) * time.Microsecond,
		Wait:        time.Duration(l.GetWaitUs()) * time.Microsecond,
	}
}

// pendingResponse is the answer of a backend server whose body is still to come.
type pendingResponse struct {
	a       *attempt
	head    *peerpb.AnswerHead
	body    io.Reader
	latency time.Duration
	// closed is set where the attempt has ended and the body is at hand.
	closed bool
}

// close ends the attempt behind the answer.
func (s *pendingResponse) close(kind errkind.Kind) {
	if s.closed {
		return
	}
	s.closed = true
	s.a.close(balance.Result{
		Kind: kind, Status: int(s.head.GetStatus()), Latency: s.latency, Load: loadFromHead(s.head),
	})
}
