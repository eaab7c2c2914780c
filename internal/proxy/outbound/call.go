package outbound

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/snapshot"
	"github.com/crocuscross/crocuscross/transit"
)

// maxHeldBody is the largest request body that is held whole, in bytes. A body
// held whole can be sent again when an attempt is refused; a larger one is
// streamed after the gate has admitted the call.
const maxHeldBody = 1 << 20

// maxPromptBody is the largest body that is sent before the gate has admitted the
// call, in bytes. A larger one would cross to another host for nothing where the
// gate refuses the call.
const maxPromptBody = 16 << 10

// maxBlindBody is that bound where the gate is not known to have a free slot. Under
// overload most gates refuse, and a question costs a round trip, some 2 ms. In a minute of
// 11 hosts where one request in four has a body of 4 kB, 38 MB went between availability zones
// with it, 63 MB without.
const maxBlindBody = 1 << 10

// leastAttempt is the time below which another attempt cannot end well: two
// hops and the shortest calls take that long.
const leastAttempt = 2 * time.Millisecond

var (
	errDeadline = errors.New("the call's time is up")
	// errLeaving ends the calls of a process that is about to end.
	errLeaving = errors.New("this host is leaving")
	// errAnswerCut means that an answer broke off after its head was written.
	errAnswerCut = errors.New("answer cut short")
)

// call is one call of a caller in progress.
type call struct {
	h        *Handler
	snap     *snapshot.Snapshot
	service  string
	terms    snapshot.CallTerms
	customer string
	grant    *quota.Grant
	start    time.Time
	deadline time.Time
	// request is what counts under overload, for a call under a document's terms.
	request admission.Request
	// origin is where the call may come from, by what the backend server here runs.
	origin  admission.Origin
	maxBody int64
	// route is set for a call under a document's terms.
	route *snapshot.DocumentRoute
	// requestID is the caller's own name for the call.
	requestID string
	// identity is the same for the same request of its caller, set once the body is there.
	identity quarantine.Identity
	// inherited is the number of the attempt that brought the call here, from 1.
	inherited uint32
	// attempts is how many attempts this daemon has made.
	attempts int
	// arrivals counts those that may have reached a backend server, refusals the
	// others.
	arrivals, refusals int
	// crashes counts the backend servers that ended under the request, as far as was known
	// when the call began, and under the call itself.
	crashes int
	// last is the attempt made last, status that of the answer, 0 without one.
	last   *attempt
	status uint32
	// patient is set once the call waits at a gate for as long as its time allows.
	patient bool

	head *peerpb.CallHead
	// held is the whole request body, unless stream is set.
	held   []byte
	stream *streamedBody
	// streamed is set once a byte of stream may have been read.
	streamed bool
	tried    []backend.ID
	// control reaches the caller's connection.
	control *http.ResponseController
}

var peerOrigins = map[admission.Origin]peerpb.Origin{
	admission.OriginCaller:   peerpb.Origin_ORIGIN_CALLER,
	admission.OriginMaybeRun: peerpb.Origin_ORIGIN_MAYBE_RUN,
}

// readBody prepares the head and reads a small body whole.
func (c *call) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength > c.maxBody {
		return errkind.Newf(errkind.TooLarge, "the body has %d bytes, at most %d are taken", r.ContentLength, c.maxBody)
	}
	c.head = &peerpb.CallHead{
		Customer:      c.customer,
		Service:       c.service,
		Method:        r.Method,
		Target:        rawTarget(r),
		Authority:     r.Host,
		Fields:        body.Fields(r.Header),
		NonIdempotent: c.terms.NonIdempotent,
		ContentLength: r.ContentLength,
		ConfigOffset:  c.snap.Offset,
		CallerService: c.h.opts.CallerService(),
		RequestId:     c.requestID,
	}
	if c.route != nil {
		c.head.Priority = uint32(c.request.Rank())
		c.head.Route = c.route.Name
		c.head.Origin = peerOrigins[c.origin]
		c.head.Nested = c.request.Nested
	}
	c.control = http.NewResponseController(w)
	if err := c.takeBody(ctx, w, r); err != nil {
		return err
	}
	c.identify()
	return nil
}

// takeBody reads a body whole that may be held, and has a larger one streamed.
func (c *call) takeBody(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	limited := http.MaxBytesReader(w, r.Body, c.maxBody)
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxHeldBody {
		_ = c.control.SetReadDeadline(c.deadline)
		c.stream = &streamedBody{src: limited}
		c.head.ExpectContinue = true
		return nil
	}
	// A caller that is slow to send must not hold the call beyond its time.
	_ = c.control.SetReadDeadline(c.deadline)
	defer c.control.SetReadDeadline(time.Time{})
	c.held = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(limited, c.held); err != nil {
		return bodyError(ctx, err)
	}
	c.head.ExpectContinue = len(c.held) > maxPromptBody
	return nil
}

// identify tells the request from others by what its caller would send again.
func (c *call) identify() {
	c.identity = quarantine.IdentityOf(quarantine.Request{
		Customer: c.customer, Method: c.head.GetMethod(), Authority: c.head.GetAuthority(), Target: c.head.GetTarget(),
		Body: c.held, Streamed: c.stream != nil,
	})
	c.head.Identity = c.identity[:]
}

// rawTarget returns the path and query as the caller sent them.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func bodyError(ctx context.Context, err error) error {
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		return errkind.Wrap(errkind.TooLarge, err, "read request body")
	case errors.As(err, &netErr) && netErr.Timeout():
		return errkind.Wrap(errkind.DeadlineNotRun, err, "the request body came too slowly")
	case ctx.Err() != nil:
		return contextKind(ctx, errkind.DeadlineNotRun)
	}
	return errkind.Wrap(errkind.BadRequest, err, "read request body")
}

// open makes attempts until one is answered by a backend server or no further
// one is allowed.
func (c *call) open(ctx context.Context) (*answered, error) {
	c.count()
	c.crashes = c.h.opts.Quarantine.Crashes(c.identity)
	var failed error
	for {
		lease, err := c.pick()
		if err != nil {
			return nil, firstCertain(failed, err)
		}
		c.h.opts.Metrics.Attempt(c.attempts == 0)
		c.attempts++
		at := newAttempt(c, lease)
		c.last = at
		a, err := at.run(ctx)
		if err == nil {
			c.arrivals++
			c.status = a.head.GetStatus()
			if !c.answerIsWorse(a) || !c.mayRetry(ctx, at, errBackendFailure) {
				return a, nil
			}
			a.close(errkind.None)
			continue
		}
		if at.arrived {
			c.arrivals++
		} else {
			c.refusals++
		}
		if errkind.Of(err) == errkind.BackendEnded {
			c.crashes++
		}
		failed = firstCertain(failed, err)
		if !c.mayRetry(ctx, at, err) {
			return nil, failed
		}
	}
}

// errBackendFailure stands for a backend server's own answer that it has failed.
var errBackendFailure = errkind.New(errkind.BackendFailed, "the backend server answered that it failed")

// firstCertain returns the error that a call with several failed attempts ends
// with: the latest, unless an earlier attempt may have run. "Not run" must not
// be said of a call that did run once.
func firstCertain(earlier, latest error) error {
	if earlier == nil || errkind.RunOf(earlier) == errkind.NotRun {
		return latest
	}
	return earlier
}

// callHead returns the head of the next attempt.
func (c *call) callHead(ctx context.Context, id []byte) *peerpb.CallHead {
	left := time.Until(c.deadline)
	h := &peerpb.CallHead{
		AttemptId:      id,
		Customer:       c.head.Customer,
		Service:        c.head.Service,
		Method:         c.head.Method,
		Target:         c.head.Target,
		Authority:      c.head.Authority,
		Fields:         c.head.Fields,
		NonIdempotent:  c.head.NonIdempotent,
		ContentLength:  c.head.ContentLength,
		ConfigOffset:   c.head.ConfigOffset,
		ExpectContinue: c.head.ExpectContinue,
		CallerService:  c.head.CallerService,
		Priority:       c.head.Priority,
		RequestId:      c.head.RequestId,
		Route:          c.head.Route,
		Origin:         c.head.Origin,
		Nested:         c.head.Nested,
		Identity:       c.head.Identity,
		MaxQueueMs:     uint32(c.maxQueue() / time.Millisecond),
		Attempt:        c.inherited + uint32(c.attempts) - 1,
		Traceparent:    telemetry.Traceparent(ctx),
		SenderHost:     c.h.opts.Host,
		SenderBoot:     c.h.opts.Boot,
		SentAtUs:       transit.Stamp(),
	}
	if c.route != nil {
		h.ObjectiveLeftMs = uint32(c.request.ObjectiveLeft(time.Now()) / time.Millisecond)
	}
	if left > 0 {
		h.RemainingMs = uint32(left / time.Millisecond)
	}
	return h
}

// heldBody returns a new reader of the held body.
func (c *call) heldBody() io.Reader { return bytes.NewReader(c.held) }

// streamedBody is a caller's body that is passed on as it comes.
type streamedBody struct {
	src io.Reader
	// ended is set once the body has been read to its end.
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// stopUpload makes a read of the caller's body return, so that nothing reads it
// after the call has ended.
func (c *call) stopUpload() { _ = c.control.SetReadDeadline(time.Unix(1, 0)) }

// uploadDone lifts the bound on reads, which would else end the caller's
// connection when it is used again.
func (c *call) uploadDone() { _ = c.control.SetReadDeadline(time.Time{}) }

// contextKind tells a caller that went away from a time that is up. The time is
// looked at as well as the cause: a read deadline that fires while this process
// was paused makes the HTTP library cancel the request as if the caller had gone.
func contextKind(ctx context.Context, onDeadline errkind.Kind) error {
	end, ok := ctx.Deadline()
	if isLeaving(ctx) {
		return errkind.Wrap(leavingKind(onDeadline), errLeaving, "give up")
	}
	if errors.Is(context.Cause(ctx), errDeadline) || ok && !time.Now().Before(end) {
		return errkind.Wrap(onDeadline, errDeadline, "give up")
	}
	return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the caller went away")
}

func isLeaving(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errLeaving) }

// leavingKind is the kind of a call that is given up as the host leaves, by the one that
// it would have if its time were up: only that tells whether it may have run.
func leavingKind(onDeadline errkind.Kind) errkind.Kind {
	if onDeadline == errkind.DeadlineNotRun {
		return errkind.Draining
	}
	return errkind.OutcomeUnknown
}
