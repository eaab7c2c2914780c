package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/snapshot"
	"github.com/crocuscross/crocuscross/transit"
)

// maxBufferedBody is the largest request body that is buffered whole, in bytes. A buffered body
// can be sent again after a refused attempt. A larger one is streamed once the gate has
// admitted the call.
const maxBufferedBody = 1 << 20

// maxEagerBody is the largest body that is sent before the gate has admitted the call, in
// bytes. A larger one would be transferred to another host in vain if the gate refuses the
// call.
const maxEagerBody = 16 << 10

// maxEagerBodyIfBusy replaces maxEagerBody if the gate is not known to have a free slot, in
// bytes. Under overload most gates refuse, while waiting for the gate to request the body costs
// a round trip of some 2 ms. With 11 hosts and a quarter of the requests carrying 4 kB, this
// limit reduced the traffic between availability zones from 63 MB to 38 MB per minute.
const maxEagerBodyIfBusy = 1 << 10

// minAttemptTime is the remaining time below which another attempt cannot succeed: two hops and
// the shortest calls take that long.
const minAttemptTime = 2 * time.Millisecond

var (
	errDeadline = errors.New("the call's deadline has passed")
	// errShuttingDown is the cancellation cause of calls in progress when the process is about
	// to exit.
	errShuttingDown = errors.New("the daemon is shutting down")
	// errResponseTruncated means that a response ended early after its head had been sent.
	errResponseTruncated = errors.New("response truncated")
)

// call is the state of one caller's request in progress.
type call struct {
	h       *Handler
	snap    *snapshot.Snapshot
	service string
	terms   snapshot.CallTerms
	// customer is the customer or account that the call belongs to, empty if there is none.
	customer string
	grant    *quota.Grant
	// dropKey is whether the Authorization header contains or may contain an API key, which must not
	// leave this daemon.
	dropKey bool
	// priority is the priority of the call under overload, set only for a call under a document's
	// terms.
	priority int
	// start is when the request arrived, set only for a call under a document's terms.
	start    time.Time
	deadline time.Time
	// admissionRequest holds the properties that determine how the call is treated under
	// overload, set only for a call under a document's terms.
	admissionRequest admission.Request
	// origin is whether this host's backend server may have made the call.
	origin admission.Origin
	// maxBody is the largest accepted request body, in bytes.
	maxBody int64
	// route is the call's route in the document, nil for a call under a contract.
	route *snapshot.DocumentRoute
	// requestID is the ID that the caller gave the request.
	requestID string
	// identity is the same each time a caller sends the same request. It is set once the body
	// has been received.
	identity quarantine.Identity
	// inheritedAttempt is the attempt number that the request arrived with, from 1.
	inheritedAttempt uint32
	// attempts is the number of attempts made by this daemon.
	attempts int
	// arrivals counts the attempts that may have reached a backend server, refusals those that
	// did not.
	arrivals, refusals int
	// crashes counts the backend servers that crashed while they processed the request: those
	// known when the call began and those of the call's own attempts.
	crashes int
	// lastAttempt is the latest attempt. status is the HTTP status of the latest response, 0 if
	// there was none.
	lastAttempt *attempt
	status      uint32
	// fullWait is set once the call may wait at a gate until its deadline.
	fullWait bool

	// head holds what the message heads of all attempts have in common.
	head *peerpb.CallHead
	// buffered is the whole request body, unless stream is set.
	buffered []byte
	stream   *streamedBody
	// streamRead is set once some of stream may have been read, which rules out another
	// attempt.
	streamRead bool
	// linkMaxWait is how long the current attempt may wait at the gate, set only if the call was
	// placed by the links of hosts.
	linkMaxWait time.Duration
	// tried lists the backend servers that were picked already. It is cleared when fullWait is
	// set.
	tried []backend.ID
	// responseController controls the caller's connection.
	responseController *http.ResponseController
}

var originToProto = map[admission.Origin]peerpb.Origin{
	admission.OriginCaller:   peerpb.Origin_ORIGIN_CALLER,
	admission.OriginMaybeRun: peerpb.Origin_ORIGIN_MAYBE_RUN,
}

// readBody builds the message head and receives the request body, or prepares to stream it.
func (c *call) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength > c.maxBody {
		return errkind.Newf(errkind.TooLarge, "the request body has %d bytes, the limit is %d", r.ContentLength, c.maxBody)
	}
	c.head = &peerpb.CallHead{
		Customer:      c.customer,
		Service:       c.service,
		Method:        r.Method,
		Target:        rawTarget(r),
		Authority:     r.Host,
		Fields:        c.forwardedFields(r.Header),
		NonIdempotent: c.terms.NonIdempotent,
		ContentLength: r.ContentLength,
		ConfigOffset:  c.snap.Offset,
		CallerService: c.h.opts.CallerService(),
		RequestId:     c.requestID,
	}
	if c.route != nil {
		c.head.Priority = uint32(c.admissionRequest.Rank())
		c.head.Route = c.route.Name
		c.head.Origin = originToProto[c.origin]
		c.head.Nested = c.admissionRequest.Nested
	}
	c.responseController = http.NewResponseController(w)
	if err := c.receiveBody(ctx, w, r); err != nil {
		return err
	}
	c.setIdentity()
	return nil
}

// setIdentity computes the request's identity from what a caller would repeat when it sends the
// request again.
func (c *call) setIdentity() {
	c.identity = quarantine.IdentityOf(quarantine.Request{
		Customer: c.customer, Method: c.head.GetMethod(), Authority: c.head.GetAuthority(), Target: c.head.GetTarget(),
		Body: c.buffered, Streamed: c.stream != nil,
	})
	c.head.Identity = c.identity[:]
}

// runAttempts makes attempts until a backend server answers or no further attempt is allowed.
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

// errBackendStatus500 stands for a response with status 500 when a retry is considered.
var errBackendStatus500 = errkind.New(errkind.BackendFailed, "the backend server answered with status 500")

// finalError returns the error that a call with several failed attempts ends with: the latest,
// unless an earlier attempt may have run. A call that may have run must not be reported as not
// run.
func finalError(earlier, latest error) error {
	if earlier == nil || errkind.RunOf(earlier) == errkind.NotRun {
		return latest
	}
	return earlier
}

// callHead returns the message head of the current attempt. id identifies a non-idempotent
// attempt at the gate, and is zero or nil for other attempts.
func (c *call) callHead(ctx context.Context, id []byte) *peerpb.CallHead {
	remaining := time.Until(c.deadline)
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
		SentAtUs:       transit.BootTimeMicros(),
	}
	if c.route != nil {
		h.ObjectiveLeftMs = uint32(c.admissionRequest.ObjectiveLeft(time.Now()) / time.Millisecond)
	}
	if remaining > 0 {
		h.RemainingMs = uint32(remaining / time.Millisecond)
	}
	return h
}

// contextError returns the error of a call whose context is done. onDeadline is the kind of the
// error if the deadline has passed. The time is checked as well as the cause: a read deadline
// that expires while this process is paused makes the HTTP server cancel the request as if the
// caller had disconnected.
func contextError(ctx context.Context, onDeadline errkind.Kind) error {
	end, ok := ctx.Deadline()
	if isShuttingDown(ctx) {
		return errkind.Wrap(shutdownKind(onDeadline), errShuttingDown, "end the call")
	}
	if errors.Is(context.Cause(ctx), errDeadline) || ok && !time.Now().Before(end) {
		return errkind.Wrap(onDeadline, errDeadline, "end the call")
	}
	return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "the caller disconnected")
}

func isShuttingDown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShuttingDown) }

// shutdownKind returns the kind of error for a call that ends because the daemon shuts down. It
// is derived from the kind that the call would have at its deadline, which tells whether the
// call may have run.
func shutdownKind(onDeadline errkind.Kind) errkind.Kind {
	if onDeadline == errkind.DeadlineNotRun {
		return errkind.Draining
	}
	return errkind.OutcomeUnknown
}
