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

// maxBufferedBody is the largest request body that is held whole, in bytes. A body
// held whole can be sent again when an attempt is refused; a larger one is
// streamed after the gate has admitted the call.
const maxBufferedBody = 1 << 20

// maxEagerBody is the largest body that is sent before the gate has admitted the
// call, in bytes. A larger one would cross to another host for nothing where the
// gate refuses the call.
const maxEagerBody = 16 << 10

// maxEagerBodyIfBusy is that bound where the gate is not known to have a free slot. Under
// overload most gates refuse, and a question costs a round trip, some 2 ms. In a minute of
// 11 hosts where one request in four has a body of 4 kB, 38 MB went between availability zones
// with it, 63 MB without.
const maxEagerBodyIfBusy = 1 << 10

// minAttemptTime is the time below which another attempt cannot end well: two
// hops and the shortest calls take that long.
const minAttemptTime = 2 * time.Millisecond

var (
	errDeadline = errors.New("the call's time is up")
	// errShuttingDown ends the calls of a process that is about to end.
	errShuttingDown = errors.New("this host is leaving")
	// errResponseTruncated means that an answer broke off after its head was written.
	errResponseTruncated = errors.New("answer cut short")
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
	// inheritedAttempt is the number of the attempt that brought the call here, from 1.
	inheritedAttempt uint32
	// attempts is how many attempts this daemon has made.
	attempts int
	// arrivals counts those that may have reached a backend server, refusals the
	// others.
	arrivals, refusals int
	// crashes counts the backend servers that ended under the request, as far as was known
	// when the call began, and under the call itself.
	crashes int
	// lastAttempt is the attempt made lastAttempt, status that of the answer, 0 without one.
	lastAttempt *attempt
	status      uint32
	// fullWait is set once the call waits at a gate for as long as its time allows.
	fullWait bool

	head *peerpb.CallHead
	// buffered is the whole request body, unless stream is set.
	buffered []byte
	stream   *streamedBody
	// streamRead is set once a byte of stream may have been read.
	streamRead bool
	tried      []backend.ID
	// responseController reaches the caller's connection.
	responseController *http.ResponseController
}

var originToProto = map[admission.Origin]peerpb.Origin{
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
		c.head.Origin = originToProto[c.origin]
		c.head.Nested = c.request.Nested
	}
	c.responseController = http.NewResponseController(w)
	if err := c.receiveBody(ctx, w, r); err != nil {
		return err
	}
	c.setIdentity()
	return nil
}

// receiveBody reads a body whole that may be held, and has a larger one streamed.
func (c *call) receiveBody(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	limited := http.MaxBytesReader(w, r.Body, c.maxBody)
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		_ = c.responseController.SetReadDeadline(c.deadline)
		c.stream = &streamedBody{src: limited}
		c.head.ExpectContinue = true
		return nil
	}
	// A caller that is slow to send must not hold the call beyond its time.
	_ = c.responseController.SetReadDeadline(c.deadline)
	defer c.responseController.SetReadDeadline(time.Time{})
	c.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(limited, c.buffered); err != nil {
		return bodyError(ctx, err)
	}
	c.head.ExpectContinue = len(c.buffered) > maxEagerBody
	return nil
}

// setIdentity tells the request from others by what its caller would send again.
func (c *call) setIdentity() {
	c.identity = quarantine.IdentityOf(quarantine.Request{
		Customer: c.customer, Method: c.head.GetMethod(), Authority: c.head.GetAuthority(), Target: c.head.GetTarget(),
		Body: c.buffered, Streamed: c.stream != nil,
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
		return contextError(ctx, errkind.DeadlineNotRun)
	}
	return errkind.Wrap(errkind.BadRequest, err, "read request body")
}

// runAttempts makes attempts until one is answered by a backend server or no further
// one is allowed.
func (c *call) runAttempts(ctx context.Context) (*pendingResponse, error) {
	c.recordForRetryBudget()
	c.crashes = c.h.opts.Quarantine.Crashes(c.identity)
	var failed error
	for {
		lease, err := c.pick()
		if err != nil {
			return nil, finalError(failed, err)
		}
		c.h.opts.Metrics.Attempt(c.attempts == 0)
		c.attempts++
		at := newAttempt(c, lease)
		c.lastAttempt = at
		a, err := at.run(ctx)
		if err == nil {
			c.arrivals++
			c.status = a.head.GetStatus()
			if !c.isRetryableResponse(a) || !c.shouldRetry(ctx, at, errBackendStatus500) {
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
		failed = finalError(failed, err)
		if !c.shouldRetry(ctx, at, err) {
			return nil, failed
		}
	}
}

// errBackendStatus500 stands for a backend server's own answer that it has failed.
var errBackendStatus500 = errkind.New(errkind.BackendFailed, "the backend server answered that it failed")

// finalError returns the error that a call with several failed attempts ends
// with: the latest, unless an earlier attempt may have run. "Not run" must not
// be said of a call that did run once.
func finalError(earlier, latest error) error {
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
		MaxQueueMs:     uint32(c.maxQueueTime() / time.Millisecond),
		Attempt:        c.inheritedAttempt + uint32(c.attempts) - 1,
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

// bufferedBody returns a new reader of the held body.
func (c *call) bufferedBody() io.Reader { return bytes.NewReader(c.buffered) }

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

// interruptBodyRead makes a read of the caller's body return, so that nothing reads it
// after the call has ended.
func (c *call) interruptBodyRead() { _ = c.responseController.SetReadDeadline(time.Unix(1, 0)) }

// clearReadDeadline lifts the bound on reads, which would else end the caller's
// connection when it is used again.
func (c *call) clearReadDeadline() { _ = c.responseController.SetReadDeadline(time.Time{}) }

// contextError tells a caller that went away from a time that is up. The time is
// looked at as well as the cause: a read deadline that fires while this process
// was paused makes the HTTP library cancel the request as if the caller had gone.
func contextError(ctx context.Context, onDeadline errkind.Kind) error {
	end, ok := ctx.Deadline()
	if isShuttingDown(ctx) {
		return errkind.Wrap(shutdownKind(onDeadline), errShuttingDown, "give up")
	}
	if errors.Is(context.Cause(ctx), errDeadline) || ok && !time.Now().Before(end) {
		return errkind.Wrap(onDeadline, errDeadline, "give up")
	}
	return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the caller went away")
}

func isShuttingDown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShuttingDown) }

// shutdownKind is the kind of a call that is given up as the host leaves, by the one that
// it would have if its time were up: only that tells whether it may have run.
func shutdownKind(onDeadline errkind.Kind) errkind.Kind {
	if onDeadline == errkind.DeadlineNotRun {
		return errkind.Draining
	}
	return errkind.OutcomeUnknown
}
