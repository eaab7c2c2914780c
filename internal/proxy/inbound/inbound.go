// Package inbound implements the receiving side of a call: the daemon beside the selected
// backend server admits the call, sends it to the server over loopback HTTP and streams the
// response back to the sending daemon.
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
	"github.com/crocuscross/crocuscross/capacity"
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
	// maxHeadBytes bounds the CallHead message that opens a call, in bytes.
	maxHeadBytes = 256 << 10
	// headTimeout bounds the wait for that message.
	headTimeout = 5 * time.Second
	// rejectTimeout bounds the time to send a rejection.
	rejectTimeout = time.Second
)

// Options holds the dependencies and the settings of a Handler.
type Options struct {
	// Local is the backend server that is announced to this daemon.
	Local *blackboard.Cell[blackboard.LocalBackend]
	// NewGate creates the gate of a backend server.
	NewGate func() *gate.Gate
	// Attempts records the non-idempotent attempts and their outcomes.
	Attempts *once.AttemptTable
	// Dialect names the headers that are exchanged with the backend server.
	Dialect dialect.Dialect
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, or 0 if it is not
	// configured.
	LinkMbps float64
	// LinkPlacement makes the handler report the state of that link to senders and keep it busy.
	// Host is the name of this host, whose own calls do not use the link.
	LinkPlacement bool
	Host          string
	// Runs tracks the calls that the backend server is running.
	Runs *admission.Runs
	// CalleeStats measures which services the backend server calls while it runs those calls.
	// The handler counts the runs and reports the rates with each response.
	CalleeStats *admission.CalleeStats
	// HostShare returns the fraction of the known hosts, 0 to 1, that run a backend server of a
	// service.
	HostShare func(service string) float64
	// Zones holds the load of services by availability zone, which is reported with responses. If it
	// is nil, none is reported.
	Zones *capacity.Zones
	// MergeRoutes makes the gate treat the calls of all routes alike. IgnoreObjective makes it
	// ignore the latency objective, so that only the maximum wait that the sender states bounds
	// the wait for a slot. Both are for experiments.
	MergeRoutes, IgnoreObjective bool
	// AccountWeight returns the weight of an account at the gate, 0 if it is not known. It must not
	// block or allocate. If it is nil, no weight is known.
	AccountWeight func(name string) float64
	// ReportRouteTimes adds the mean slot time of a call's route to the load in its answer.
	ReportRouteTimes bool
	// OnServerMismatch is called with the ID of a backend server if a different server responds
	// at its address.
	OnServerMismatch func(id string)
	// OnServerLeaving is called with the ID of the backend server when it first states that it is
	// about to exit.
	OnServerLeaving func(id string)
	// Quarantine determines which requests are kept from the backend server, and records the
	// requests in progress when it exits.
	Quarantine Quarantine
	// Rollout decides whether calls may go to the backend server's version, and counts their
	// results. If it is nil, all calls may.
	Rollout *rollout.Gate
	Tracer  trace.Tracer
	Metrics *telemetry.CallMeter
	Logger  *slog.Logger
}

// Quarantine is the part of quarantine.Tracker that a Handler uses.
type Quarantine interface {
	// QuarantinedFor returns how much longer a request is kept from backend servers, or 0 if it
	// is not quarantined.
	QuarantinedFor(quarantine.Identity) time.Duration
	// RecordCrash records the requests that were in progress when the backend server exited,
	// the most recent one last. RecordSuccess records a request that the server completed.
	RecordCrash([]quarantine.Identity)
	RecordSuccess(quarantine.Identity)
}

// Handler serves the calls that other daemons send to the backend server beside this daemon.
type Handler struct {
	opts      Options
	instances serverInstances
	// receiving counts the calls whose bodies are received before they queue at the gate.
	// bufferedBytes is the memory reserved for such bodies.
	receiving, bufferedBytes atomic.Int64
	pacer                    *pacer
	transits                 *transit.Estimator
	classifier               *admission.RouteClassifier
	rejectionLog, noticeLog  telemetry.LogLimiter
}

// NewHandler returns a handler. Without a rollout gate in opts it admits calls to all versions.
func NewHandler(opts Options) *Handler {
	if opts.Rollout == nil {
		opts.Rollout = rollout.NewGate(time.Now)
	}
	h := &Handler{
		opts: opts, rejectionLog: telemetry.NewLogLimiter(rejectionLogLimit), pacer: newPacer(opts.LinkMbps, opts.LinkPlacement), transits: transit.New(),
		classifier: admission.NewRouteClassifier(opts.HostShare), noticeLog: telemetry.NewLogLimiter(noticeLogLimit),
	}
	h.instances.init(opts)
	return h
}

// InFlight returns the number of calls that are running, queued or being received.
func (h *Handler) InFlight() int {
	l := h.Load()
	return l.InUse + l.Queued + int(h.receiving.Load())
}

// Load returns the load of the backend server's gate and of the host's link.
func (h *Handler) Load() gate.Load {
	l := h.instances.current.Load().gate.Load()
	l.LinkWait = h.pacer.expectedWait()
	return l
}

// RejectNewCalls rejects all new calls from now on, also those to a backend server that is
// announced later.
func (h *Handler) RejectNewCalls() { h.instances.rejectNewCalls() }

// Run applies the backend server's announcements to the gate until ctx is done.
func (h *Handler) Run(ctx context.Context) error {
	for {
		local, changed := h.opts.Local.Watch()
		if local != nil {
			h.instances.update(local)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// ServeStream handles one attempt of a call.
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

// receive reads the head of a call and determines its deadline.
func (h *Handler) receive(ctx context.Context, st *peer.Stream) (*call, error) {
	start := time.Now()
	_ = st.SetReadDeadline(start.Add(headTimeout))
	head := new(peerpb.CallHead)
	if err := st.RecvMax(head, maxHeadBytes); err != nil {
		return nil, errors.Wrap(err, "read call head")
	}
	// The delay in transit counts against the remaining time: the caller disconnects when
	// that time is up, and the cancellation is delayed on the same link.
	transitDelay := h.transitDelay(head)
	start = start.Add(-transitDelay)
	remaining := time.Duration(head.GetRemainingMs()) * time.Millisecond
	deadline := start.Add(remaining)
	_ = st.SetReadDeadline(deadline)
	if head.GetNonIdempotent() {
		// The call continues when its link is lost, since its outcome can be queried over
		// another one.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(telemetry.WithTraceparent(ctx, head.GetTraceparent()), deadline)
	ctx, span := h.opts.Tracer.Start(ctx, "inbound", trace.WithSpanKind(trace.SpanKindServer))
	identity, _ := quarantine.IdentityFrom(head.GetIdentity())
	return &call{
		h: h, st: st, head: head, span: span, identity: identity,
		ctx: ctx, cancel: cancel, transitDelay: transitDelay, start: start, deadline: deadline,
		madeBy: h.classifier.Observe(head.GetRoute(), head.GetCallerService(), originFromProto[head.GetOrigin()]),
	}, nil
}

// originFromProto maps the origins on the wire. An unspecified one maps to the zero value.
var originFromProto = map[peerpb.Origin]admission.Origin{
	peerpb.Origin_ORIGIN_CALLER:    admission.OriginCaller,
	peerpb.Origin_ORIGIN_MAYBE_RUN: admission.OriginMaybeRun,
}

// transitDelay returns the estimated delay in transit of the head of a call.
func (h *Handler) transitDelay(head *peerpb.CallHead) time.Duration {
	sender := transit.Sender{Host: head.GetSenderHost(), Boot: head.GetSenderBoot()}
	return h.transits.Delay(sender, head.GetSentAtUs(), transit.BootTimeMicros())
}
