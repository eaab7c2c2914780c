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
	// maxAnswerHead bounds the message that begins an answer.
	maxAnswerHead = 256 << 10
	// statusContinue in an AnswerHead asks for the body.
	statusContinue = 100
)

// attempt is one try of a call at one backend server.
type attempt struct {
	c      *call
	lease  *balance.Lease
	server *backend.Server
	id     once.ID
	start  time.Time
	span   trace.Span
	st     *peer.Stream
	unbind func() bool
	// asksFirst is whether the body follows only once the gate asks for it.
	asksFirst bool
	// upload ends when a streamed body is no longer read.
	upload chan struct{}
	// uploaded is whether all of it was sent; it is read once upload is closed.
	uploaded bool
	// credit bounds what the gate lets be sent, nil for no bound.
	credit *credit
	// sent is whether the whole request body has been sent.
	sent bool
	// arrived is whether the call may have reached the backend server.
	arrived bool
}

func newAttempt(c *call, lease *balance.Lease) *attempt {
	return &attempt{
		c: c, lease: lease, server: lease.Server(), start: time.Now(),
		asksFirst: c.head.GetExpectContinue() || len(c.held) > maxBlindBody && !c.h.opts.AlwaysSendSmallBodies && !lease.HasFreeSlot(),
	}
}

// run makes the attempt. A failed one has released all it held.
func (a *attempt) run(ctx context.Context) (*answered, error) {
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
		src, err = a.answerBody(head)
	}
	if err == nil {
		return &answered{a: a, head: head, body: src, latency: latency}, nil
	}
	kept, err := a.settle(ctx, err)
	a.close(balance.Result{Kind: errkind.Of(err), Latency: a.latency(), Load: loadOf(head)})
	if err != nil {
		return nil, err
	}
	return &answered{a: a, head: kept.head, body: kept.body, closed: true}, nil
}

// latency is the time until now as evidence about the backend server, 0 where it
// says nothing of it: a streamed upload takes as long as its caller.
func (a *attempt) latency() time.Duration {
	if a.upload != nil && a.c.stream != nil {
		return 0
	}
	return time.Since(a.start)
}

// exchange sends the call and returns the head of the backend server's answer.
func (a *attempt) exchange(ctx context.Context) (*peerpb.AnswerHead, error) {
	if err := a.number(ctx); err != nil {
		return nil, a.unreachable(ctx, err)
	}
	// An open session takes the call whatever the context says.
	if err := ctx.Err(); err != nil {
		return nil, a.unreachable(ctx, err)
	}
	st, err := a.c.h.opts.Pool.Open(ctx, a.server.PeerAddr, peerpb.Kind_KIND_CALL)
	if err != nil {
		return nil, a.unreachable(ctx, err)
	}
	a.st = st
	a.unbind = st.BindReads(ctx)
	_ = st.SetWriteDeadline(a.c.deadline)
	// Until the gate says otherwise.
	a.arrived = true
	head := a.c.callHead(ctx, a.id[:])
	head.ExpectContinue = a.asksFirst
	if err := a.send(head); err != nil {
		return nil, linkLost(err)
	}
	return a.answerHead()
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
	a.sent = body.Send(a.st, a.c.heldBody(), int64(len(a.c.held))) == nil
	return nil
}

// number gives a non-idempotent attempt the id by which its outcome can be
// asked for.
func (a *attempt) number(ctx context.Context) error {
	if !a.c.terms.NonIdempotent {
		return nil
	}
	id, err := a.c.h.lanes.Next(ctx, a.gate())
	a.id = id
	return err
}

func (a *attempt) gate() once.GateID { return once.GateID{Host: a.server.Host, Boot: a.server.Boot} }

// unreachable is the error of an attempt of which nothing was sent.
func (a *attempt) unreachable(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextKind(ctx, errkind.DeadlineNotRun)
	}
	return errkind.Wrap(errkind.Unreachable, err, "reach the backend server's host")
}

// answerHead waits for the answer to begin, sending a streamed body once the
// gate asks for it.
func (a *attempt) answerHead() (*peerpb.AnswerHead, error) {
	for {
		head := new(peerpb.AnswerHead)
		if err := a.st.RecvMax(head, maxAnswerHead); err != nil {
			return nil, linkLost(err)
		}
		a.learn(head)
		if head.GetErrorKind() != "" {
			a.arrived = head.GetArrived()
			return head, a.refusedBy(head)
		}
		if head.GetStatus() != statusContinue {
			return head, nil
		}
		a.startUpload(int64(head.GetContinueBytes()))
	}
}

// answerBody returns the body of an answer; a small one is at hand then. Where the
// link breaks before, the attempt has failed like any other.
func (a *attempt) answerBody(head *peerpb.AnswerHead) (io.Reader, error) {
	src := body.NewReader(a.st)
	if n := head.GetContentLength(); n < 0 || n > body.MaxBufferedResponse {
		return src, nil
	}
	held, err := io.ReadAll(src)
	if errors.Is(err, body.ErrAborted) {
		return nil, errkind.Wrap(errkind.BackendFailed, err, "the backend server broke off its answer")
	}
	if err != nil {
		return nil, linkLost(err)
	}
	return bytes.NewReader(held), nil
}

// startUpload sends the body, or lets the sending go on by so many bytes; 0 stands for
// all of it.
func (a *attempt) startUpload(allowed int64) {
	if !a.asksFirst {
		return
	}
	if a.upload != nil {
		a.credit.add(allowed)
		return
	}
	src := a.c.heldBody()
	if a.c.stream != nil {
		a.c.streamed = true
		src = a.c.stream
	}
	if allowed > 0 {
		a.credit = newCredit(src, a.c.head.GetContentLength(), allowed)
		src = a.credit
	}
	a.upload = make(chan struct{})
	go func() {
		defer close(a.upload)
		a.uploaded = body.Send(a.st, src, a.c.head.GetContentLength()) == nil
	}()
}

// close releases everything and reports how the attempt went.
func (a *attempt) close(r balance.Result) {
	if a.st != nil {
		a.unbind()
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
	if a.upload == nil {
		return
	}
	a.credit.close()
	if a.c.stream == nil {
		// The stream is closed, which ends the sending.
		<-a.upload
		return
	}
	if !a.c.stream.ended.Load() {
		a.c.stopUpload()
	}
	<-a.upload
	a.c.uploadDone()
}

// cancel tells the gate that nobody waits for the answer any more. Within a body that
// is still on its way the end of the stream tells it.
func (a *attempt) cancel() {
	if a.st == nil || !a.sent && !a.wasUploaded() {
		return
	}
	_ = a.st.SetWriteDeadline(time.Now().Add(cancelTimeout))
	_ = body.SendAbort(a.st, errkind.Canceled)
}

// wasUploaded reports whether the body was sent whole after the gate had asked for it.
func (a *attempt) wasUploaded() bool {
	if a.upload == nil || a.c.stream != nil && !a.c.stream.ended.Load() {
		return false
	}
	select {
	case <-a.upload:
		return a.uploaded
	case <-time.After(cancelTimeout):
		return false
	}
}

// refusedBy notes what a refusal tells of the lane, and returns it as an error.
func (a *attempt) refusedBy(head *peerpb.AnswerHead) error {
	err := gateError(head)
	switch errkind.Of(err) {
	case errkind.Barred:
		a.c.h.lanes.Invalidate(a.gate(), a.id)
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

// lostError marks a link that broke while the outcome was open.
type lostError struct{ cause error }

func (e *lostError) Error() string { return "link lost: " + e.cause.Error() }

func (e *lostError) Unwrap() error { return e.cause }

func linkLost(err error) error { return &lostError{err} }

// loadOf returns what a gate told of its load, nil if it told nothing.
func loadOf(head *peerpb.AnswerHead) *balance.Load {
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

// answered is the answer of a backend server whose body is still to come.
type answered struct {
	a       *attempt
	head    *peerpb.AnswerHead
	body    io.Reader
	latency time.Duration
	// closed is set where the attempt has ended and the body is at hand.
	closed bool
}

// close ends the attempt behind the answer.
func (s *answered) close(kind errkind.Kind) {
	if s.closed {
		return
	}
	s.closed = true
	s.a.close(balance.Result{
		Kind: kind, Status: int(s.head.GetStatus()), Latency: s.latency, Load: loadOf(s.head),
	})
}
