// Package inbound is the second half of a call's path: the daemon beside the
// chosen backend server admits the call, runs it there over loopback HTTP and
// streams the answer back.
package inbound

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/rollout"
	"github.com/crocuscross/crocuscross/transit"
)

const (
	// maxHeadBytes bounds the message that opens a call.
	maxHeadBytes = 256 << 10
	// headTimeout bounds the time until that message is there.
	headTimeout = 5 * time.Second
	// refuseTimeout bounds the effort to tell of a refusal.
	refuseTimeout = time.Second
)

// Options holds what a Handler works with.
type Options struct {
	Local *blackboard.Cell[blackboard.LocalBackend]
	// NewGate makes the gate of a backend server.
	NewGate  func() *gate.Gate
	Attempts *once.AttemptTable
	Dialect  dialect.Dialect
	// LinkMbps is the bandwidth of the host's link in Mbit/s, 0 where it is not stated.
	LinkMbps float64
	// Runs is told what the backend server runs.
	Runs *admission.Runs
	// CalleeStats learns what those runs call.
	CalleeStats *admission.CalleeStats
	// HostShare returns the share of hosts beside the servers of a service, 0 to 1.
	HostShare func(service string) float64
	// MergeRoutes takes the calls of all routes for alike, IgnoreObjective bounds their waits by
	// the sender's word alone; both are for trials.
	MergeRoutes, IgnoreObjective bool
	// OnServerMismatch is told that the server of an id is not at its address any more.
	OnServerMismatch func(id string)
	// Quarantine tells which requests are kept from the backend server, and is told what it
	// ends under.
	Quarantine Quarantine
	// Rollout tells whether calls may go to the backend server's version, and counts them;
	// nil where all may.
	Rollout *rollout.Gate
	Tracer  trace.Tracer
	Metrics *telemetry.Calls
	Logger  *slog.Logger
}

// Quarantine is the part of quarantine.Tracker that a gate needs.
type Quarantine interface {
	// QuarantinedFor returns how long a request is kept from backend servers yet.
	QuarantinedFor(quarantine.Identity) time.Duration
	// RecordCrash and RecordSuccess tell of requests under which the server has ended, the latest
	// last, and of one that it has run to its end.
	RecordCrash([]quarantine.Identity)
	RecordSuccess(quarantine.Identity)
}

// Handler serves the calls that other daemons send to the backend server
// beside this one.
type Handler struct {
	opts  Options
	sites sites
	// receiving counts the calls whose bodies come before they queue, held their
	// bytes.
	receiving, held atomic.Int64
	pacer           *pacer
	transits        *transit.Estimator
	origins         *admission.RouteClassifier
	lines           telemetry.LineLimit
}

// NewHandler returns a handler.
func NewHandler(opts Options) *Handler {
	if opts.Rollout == nil {
		opts.Rollout = rollout.NewGate(time.Now)
	}
	h := &Handler{
		opts: opts, lines: telemetry.NewLineLimit(refusedLines), pacer: newPacer(opts.LinkMbps), transits: transit.New(),
		origins: admission.NewRouteClassifier(opts.HostShare),
	}
	h.sites.init(opts)
	return h
}

// InFlight returns the number of calls that run, wait or are being received.
func (h *Handler) InFlight() int {
	l := h.Load()
	return l.InUse + l.Queued + int(h.receiving.Load())
}

// Load returns the load of the backend server's gate.
func (h *Handler) Load() gate.Load { return h.sites.current.Load().gate.Load() }

// RejectNewCalls lets no new call in, whichever backend server is there.
func (h *Handler) RejectNewCalls() { h.sites.refuse() }

// Run keeps the gate at what the backend server announced, until ctx is done.
func (h *Handler) Run(ctx context.Context) error {
	for {
		local, changed := h.opts.Local.Watch()
		if local != nil {
			h.sites.follow(local)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// ServeStream runs one attempt of one call.
func (h *Handler) ServeStream(ctx context.Context, st *peer.Stream) error {
	c, err := h.receive(ctx, st)
	if err != nil {
		return err
	}
	defer c.cancel()
	defer c.span.End()
	err = c.run()
	kind := errkind.Of(err)
	c.span.SetAttributes(attribute.String("crocuscross.kind", string(kind)))
	h.opts.Metrics.Inbound(kind, time.Since(c.start))
	c.logEnd(err)
	return err
}

// receive reads the call's head and starts its clock.
func (h *Handler) receive(ctx context.Context, st *peer.Stream) (*call, error) {
	start := time.Now()
	_ = st.SetReadDeadline(start.Add(headTimeout))
	head := new(peerpb.CallHead)
	if err := st.RecvMax(head, maxHeadBytes); err != nil {
		return nil, errors.Wrap(err, "read call head")
	}
	// What the call lost on the way is gone from the time that it has: its caller leaves
	// when that is up, and the word of it comes over the same link.
	heldUp := h.delay(head)
	start = start.Add(-heldUp)
	remaining := time.Duration(head.GetRemainingMs()) * time.Millisecond
	deadline := start.Add(remaining)
	_ = st.SetReadDeadline(deadline)
	if head.GetNonIdempotent() {
		// The call outlives its link: the outcome can be asked for over
		// another one.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(telemetry.WithTraceparent(ctx, head.GetTraceparent()), deadline)
	ctx, span := h.opts.Tracer.Start(ctx, "inbound", trace.WithSpanKind(trace.SpanKindServer))
	identity, _ := quarantine.IdentityFrom(head.GetIdentity())
	return &call{
		h: h, st: st, head: head, span: span, identity: identity,
		ctx: ctx, cancel: cancel, heldUp: heldUp, start: start, deadline: deadline,
		madeBy: h.origins.Observe(head.GetRoute(), head.GetCallerService(), origins[head.GetOrigin()]),
	}, nil
}

var origins = map[peerpb.Origin]admission.Origin{
	peerpb.Origin_ORIGIN_CALLER:    admission.OriginCaller,
	peerpb.Origin_ORIGIN_MAYBE_RUN: admission.OriginMaybeRun,
}

// delay returns how long the head of a call was held up on the way.
func (h *Handler) delay(head *peerpb.CallHead) time.Duration {
	sender := transit.Sender{Host: head.GetSenderHost(), Boot: head.GetSenderBoot()}
	return h.transits.Delay(sender, head.GetSentAtUs(), transit.BootTimeMicros())
}
