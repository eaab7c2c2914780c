package outbound

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
)

const (
	// maxRoutineLogRate is how many log lines a second tell of requests that were
	// answered at the first try, in time. At some 300 bytes a line that is 10 KB a
	// second at most; the others are told of whole.
	maxRoutineLogRate = 30
)

// logRequestEnd tells how a request ended, and what decided it. Of those that went well
// only some are told while there are many. callerGone is whether its caller had gone before
// it was handled.
func (h *Handler) logRequestEnd(r *http.Request, c *call, err error, start time.Time, callerGone bool) {
	took := time.Since(start)
	if c == nil {
		h.opts.Logger.Info("outbound: request not admitted",
			"request", dialect.Get(r.Header, h.opts.Dialect.RequestID), "virtual_host", r.Host, "path", rawPath(r),
			"kind", errkind.Of(err), "took", took, "error", err)
		return
	}
	if c.isRoutine(err, took) && !callerGone && !h.logLimit.Allow() {
		return
	}
	attrs := c.endLogAttrs(err, took)
	if callerGone {
		attrs = append(attrs, "caller_gone", true)
	}
	h.opts.Logger.Info("outbound: request ended", attrs...)
}

// RecordDisconnect counts and tells of a request that does not begin, as its caller had left
// before.
func (h *Handler) RecordDisconnect(r *http.Request) {
	h.opts.Metrics.CallerGone.Inc()
	if h.logLimit.Allow() {
		h.opts.Logger.Info("outbound: request not begun",
			"request", dialect.Get(r.Header, h.opts.Dialect.RequestID), "virtual_host", r.Host, "path", rawPath(r),
			"kind", errkind.Canceled, "run", errkind.NotRun, "error", "its caller has left")
	}
}

// isRoutine reports whether nothing about the request needs an explanation.
func (c *call) isRoutine(err error, took time.Duration) bool {
	onTime := c.route == nil || c.route.Objective == 0 || took <= c.route.Objective
	return err == nil && c.attempts == 1 && c.status < http.StatusInternalServerError && onTime
}

func (c *call) endLogAttrs(err error, took time.Duration) []any {
	attrs := []any{
		"request", c.requestID, "service", c.service, "config", c.snap.Offset,
		"non_idempotent", c.terms.NonIdempotent, "allowed", c.terms.MaxWait, "took", took,
		"attempts", c.attempts, "arrivals", c.arrivals, "refusals", c.refusals, "status", c.status,
	}
	if c.route != nil {
		attrs = append(attrs, "route", c.route.Name, "priority", c.route.Priority, "objective", c.route.Objective, "began_before", c.start.Sub(c.request.FirstSent), "nested", c.request.Nested)
	}
	if c.lastAttempt != nil {
		attrs = append(attrs, "to", c.lastAttempt.server.Host, "to_zone", c.lastAttempt.server.AvailabilityZone)
	}
	if c.request.Nested {
		attrs = append(attrs, "made_for", c.h.opts.Runs.PossibleParents(c.deadline))
	}
	if err != nil {
		attrs = append(attrs, "kind", string(errkind.Of(err)), "run", string(errkind.RunOf(err)), "error", err)
	}
	return attrs
}

// logFailedAttempt tells what was decided after a failed attempt. Refusals for the length of
// a queue are only counted, in the line at the request's end: under overload there are
// several for each request.
func (c *call) logFailedAttempt(a *attempt, err error, again bool, reason string) {
	if errkind.Of(err) == errkind.Overloaded {
		return
	}
	c.h.opts.Logger.Info("outbound: attempt failed",
		"request", c.requestID, "service", c.service, "attempt", c.attempts, "to", a.server.Host,
		"to_zone", a.server.AvailabilityZone, "kind", string(errkind.Of(err)), "arrived", a.arrived,
		"config", c.snap.Offset, "left", time.Until(c.deadline), "took", time.Since(a.start), "again", again, "reason", reason,
		slog.Any("error", err))
}
