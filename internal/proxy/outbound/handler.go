// Package outbound is the first half of a call's path: the daemon that a caller
// reached identifies the customer, holds it to its contract, chooses a backend
// server and sends the call to the daemon beside that one.
package outbound

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/retry"
	"github.com/crocuscross/crocuscross/snapshot"
)

// Options holds what a Handler works with.
type Options struct {
	Board    *blackboard.Board
	Pool     *peer.Pool
	Picker   *balance.Picker
	Quota    *quota.Manager
	Budgets  *retry.Budgets
	Keys     *once.KeyStore
	OwnKeys  once.KeyResolver
	Tracer   trace.Tracer
	Metrics  *telemetry.Calls
	Logger   *slog.Logger
	Host     string
	Boot     uint64
	MaxBody  int64
	MaxCalls int
	Dialect  dialect.Dialect
	// Anonymous is whether calls without a customer are served under the terms of
	// the document in force.
	Anonymous bool
	// CallerService is told to backend servers as the service that calls begin at.
	CallerService func() string
	// Runs is what the backend server beside this daemon runs, Nested what gates tell of
	// routes.
	Runs         *admission.Runs
	NestedRoutes *admission.NestedRoutes
	// CalleeStats learns what the backend server's runs call, Calls is what gates tell of
	// theirs.
	CalleeStats *admission.CalleeStats
	CallGraph   *admission.CallGraph
	// AlwaysSendSmallBodies sends small bodies without a question, IgnoreCallerRetries takes callers that
	// come back for new ones, TryBusyGates tries gates known to be busy; all are for trials.
	AlwaysSendSmallBodies, IgnoreCallerRetries, TryBusyGates bool
	// KilobyteCost is the time that 1,000 bytes are worth that stay in the
	// availability zone, for a latency objective of 1 s.
	KilobyteCost func() time.Duration
	// Quarantine tells which requests are kept from backend servers.
	Quarantine Quarantine
}

// Quarantine is the part of quarantine.Tracker that a call needs.
type Quarantine interface {
	// QuarantinedFor returns how long a request is kept from backend servers yet.
	QuarantinedFor(quarantine.Identity) time.Duration
	// Crashes returns how many servers are known to have ended under a request.
	Crashes(quarantine.Identity) int
	// Add takes in the verdict of a gate.
	Add(quarantine.Verdict)
}

// Handler serves callers' requests.
type Handler struct {
	opts            Options
	router          *bunrouter.Router
	idAllocator      *once.IDAllocator
	responseSizes   responseSizes
	initialTimeouts admission.InitialTimeouts
	logLimit        telemetry.LineLimit
	inFlight        atomic.Int64
	// running holds the context.CancelCauseFunc of each call in progress.
	running sync.Map
}

// NewHandler returns the handler for the callers' listener.
func NewHandler(opts Options) *Handler {
	h := &Handler{opts: opts, logLimit: telemetry.NewLineLimit(maxRoutineLogRate)}
	h.idAllocator = once.NewIDAllocator(once.DefaultIDAllocatorOptions(h.openLane))
	h.router = bunrouter.New(bunrouter.WithNotFoundHandler(h.proxy), bunrouter.WithMethodNotAllowedHandler(h.proxy))
	h.router.POST(KeysPath, h.issueKeys)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// CancelCalls ends the calls in progress: the process is about to end, and a call that is
// then still without an answer gets none. One that has not run is answered so, one that
// may have run as a failure, unless its gate has the answer already.
func (h *Handler) CancelCalls() {
	h.running.Range(func(call, cancel any) bool {
		cancel.(context.CancelCauseFunc)(errShuttingDown)
		return true
	})
}

// proxy serves one call from end to end.
func (h *Handler) proxy(w http.ResponseWriter, r bunrouter.Request) error {
	start := time.Now()
	n := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.opts.Metrics.InFlight.Inc()
	defer h.opts.Metrics.InFlight.Dec()
	if l := h.opts.Board.Lifecycle.Load(); l != nil && l.Phase >= blackboard.Draining {
		// Lets the caller end the connection. Closed from here, a request that is
		// just being sent on it would be cut off.
		w.Header().Set("Connection", "close")
	}
	callerGone := r.Context().Err() != nil
	if callerGone {
		h.opts.Metrics.CallerGone.Inc()
	}
	ctx := telemetry.WithTraceparent(r.Context(), r.Header.Get("Traceparent"))
	ctx, span := h.opts.Tracer.Start(ctx, "outbound", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c, err := h.serve(ctx, w, r.Request, start, int(n))
	kind := errkind.Of(err)
	span.SetAttributes(attribute.String("crocuscross.kind", string(kind)))
	h.opts.Metrics.Outbound(kind, time.Since(start))
	h.logRequestEnd(r.Request, c, err, start, callerGone)
	h.writeError(w, err)
	return nil
}

// writeError answers with an error, unless the answer has begun: then the
// connection is cut, so that no caller takes a part for the whole.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	if err == nil {
		return
	}
	if errors.Is(err, errResponseTruncated) {
		panic(http.ErrAbortHandler)
	}
	answer.WriteAs(w, err, h.opts.Dialect.RetryAfter)
}

// serve returns the call as well, nil where it was not admitted.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, start time.Time, inFlight int) (*call, error) {
	key := r.Header.Get(body.HeaderIdempotencyKey)
	c, err := h.admit(r, start, inFlight)
	if err != nil {
		return nil, rejectedBeforeKeyLookup(key, err)
	}
	if c.grant != nil {
		defer c.grant.Done()
	}
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errDeadline)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	h.running.Store(c, giveUp)
	defer h.running.Delete(c)
	if err := c.readBody(ctx, w, r); err != nil {
		return c, rejectedBeforeKeyLookup(key, err)
	}
	if left := h.opts.Quarantine.QuarantinedFor(c.identity); left > 0 {
		return c, rejectedBeforeKeyLookup(key, quarantine.Refusal(left))
	}
	if key != "" && c.terms.NonIdempotent && c.route == nil {
		return c, c.serveKeyed(ctx, w, key)
	}
	a, err := c.runAttempts(ctx)
	if err != nil {
		return c, err
	}
	return c, a.writeTo(w)
}

// rejectedBeforeKeyLookup is the error of a request that was refused before its key was
// looked up. An earlier request under the key may have run, so a repeat must
// not be told that the call was not run.
func rejectedBeforeKeyLookup(key string, err error) error {
	if key == "" {
		return err
	}
	return errkind.Doubt(err)
}

// admit finds the call's contract and route and holds it to its limits.
func (h *Handler) admit(r *http.Request, start time.Time, inFlight int) (*call, error) {
	if inFlight > h.opts.MaxCalls {
		return nil, errkind.New(errkind.Overloaded, "this host holds as many calls as it may")
	}
	snap := h.opts.Board.Snapshot.Load()
	if snap == nil {
		return nil, errkind.New(errkind.NotReady, "this host has no configuration in force yet")
	}
	customer := dialect.Get(r.Header, h.opts.Dialect.Customer)
	if customer == "" && h.opts.Anonymous {
		return h.admitAnonymous(r, snap, start)
	}
	contract := snap.Contract(customer)
	if contract == nil {
		return nil, errkind.Newf(errkind.UnknownCustomer, "no contract for customer %q", customer)
	}
	route, ok := snap.Route(r.URL.Path)
	if !ok {
		return nil, noRouteError(snap, r.URL.Path)
	}
	terms := contract.Terms(r.Method, r.URL.Path)
	wait, err := h.callTimeout(r.Header, terms.MaxWait)
	if err != nil {
		return nil, err
	}
	attempt, err := h.inheritedAttempt(r.Header)
	if err != nil {
		return nil, err
	}
	grant, err := h.opts.Quota.AdmitWait(r.Context(), contract)
	if err != nil {
		return nil, err
	}
	return &call{
		h: h, snap: snap, service: route.Service, terms: terms, customer: customer, grant: grant,
		deadline: start.Add(wait), inheritedAttempt: attempt, maxBody: h.opts.MaxBody,
	}, nil
}

// noRouteError tells a route that waits for its backend servers from one that does
// not exist.
func noRouteError(snap *snapshot.Snapshot, path string) error {
	if snap.Withholds(path) {
		return errkind.Newf(errkind.NoBackend, "the route for %s waits for its first backend server", path)
	}
	return errkind.Newf(errkind.NoRoute, "no route for %s", path)
}

// callTimeout returns how long a call may take: what the contract allows, or
// what an earlier hop says is left, if that is less.
func (h *Handler) callTimeout(header http.Header, allowed time.Duration) (time.Duration, error) {
	v := dialect.Get(header, h.opts.Dialect.Remaining)
	if v == "" {
		return allowed, nil
	}
	ms, err := strconv.ParseUint(v, 10, 31)
	if err != nil {
		return 0, errkind.Newf(errkind.BadRequest, "%s is not a number of milliseconds: %q", h.opts.Dialect.Remaining, v)
	}
	return min(allowed, time.Duration(ms)*time.Millisecond), nil
}

// inheritedAttempt returns the number of the attempt that brought the call here.
func (h *Handler) inheritedAttempt(header http.Header) (uint32, error) {
	v := dialect.Get(header, h.opts.Dialect.Attempt)
	if v == "" {
		return 1, nil
	}
	n, err := strconv.ParseUint(v, 10, 16)
	if err != nil || n == 0 {
		return 0, errkind.Newf(errkind.BadRequest, "%s is not a number from 1: %q", h.opts.Dialect.Attempt, v)
	}
	return uint32(n), nil
}
