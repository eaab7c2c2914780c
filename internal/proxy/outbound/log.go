package outbound

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	// maxRoutineLogRate is the maximum number of log lines per second for routine requests (see
	// isRoutine). At some 300 bytes a line these amount to at most 10 KB/s. All other requests
	// are logged.
	maxRoutineLogRate = 30
)

// logRequestEnd logs how a request ended and what determined that. Routine requests are logged
// up to maxRoutineLogRate. callerGone is whether the caller had disconnected before the request
// was handled.
func (h *Handler) logRequestEnd(r *http.Request, c *call, err error, start time.Time, callerGone bool) {
	took := time.Since(start)
	if c == nil {
		h.logNotAdmitted(r, err, took)
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

// logNotAdmitted logs a request that was rejected without being routed, with the configuration in
// force and how recently a newer one could have become known.
func (h *Handler) logNotAdmitted(r *http.Request, err error, took time.Duration) {
	attrs := []any{
		"request", dialect.Get(r.Header, h.opts.Dialect.RequestID), "virtual_host", r.Host, "path", rawPath(r),
		"kind", errkind.Of(err), "took", took, "error", err,
	}
	if snap := h.opts.Board.Snapshot.Load(); snap != nil {
		attrs = append(attrs, "config", snap.Offset, "document", snap.Document().VersionOrZero())
	}
	f := h.opts.ConfigFreshness()
	attrs = append(attrs, "known", f.KnownOffset)
	if !f.LogRead.IsZero() {
		attrs = append(attrs, "log_read", time.Since(f.LogRead))
	}
	if !f.PeerContact.IsZero() {
		attrs = append(attrs, "peer_contact", time.Since(f.PeerContact))
	}
	h.opts.Logger.Info("outbound: request not admitted", attrs...)
}

// RecordDisconnect counts a request that is not handled because its caller has disconnected,
// and logs it up to maxRoutineLogRate.
func (h *Handler) RecordDisconnect(r *http.Request) {
	h.opts.Metrics.CallerDisconnects.Inc()
	if h.logLimit.Allow() {
		h.opts.Logger.Info("outbound: request not begun",
			"request", dialect.Get(r.Header, h.opts.Dialect.RequestID), "virtual_host", r.Host, "path", rawPath(r),
			"kind", errkind.Canceled, "run", errkind.NotRun, "error", "the caller disconnected before the request was handled")
	}
}

// logOverLimit logs a call that is refused because of its account's limits, up to
// maxRoutineLogRate.
func (c *call) logOverLimit(account *snapshot.Contract) {
	if c.h.logLimit.Allow() {
		c.h.opts.Logger.Info("outbound: call over the limit of its account", "request", c.requestID,
			"account", account.Customer, "quota", c.h.opts.Quota.Situation(account))
	}
}

// isRoutine reports whether the request was answered at the first attempt, without a server
// error and within its objective.
func (c *call) isRoutine(err error, took time.Duration) bool {
	onTime := c.route == nil || c.route.Objective == 0 || took <= c.route.Objective
	return err == nil && c.attempts == 1 && c.status < http.StatusInternalServerError && onTime
}

// endLogAttrs returns the attributes of the log line for a request that has ended.
func (c *call) endLogAttrs(err error, took time.Duration) []any {
	attrs := []any{
		"request", c.requestID, "service", c.service, "config", c.snap.Offset, "document", c.snap.Document().VersionOrZero(),
		"non_idempotent", c.terms.NonIdempotent, "allowed", c.terms.MaxWait, "took", took,
		"attempts", c.attempts, "arrivals", c.arrivals, "refusals", c.refusals, "status", c.status,
	}
	if c.route != nil {
		attrs = append(attrs, "route", c.route.Name, "priority", c.priority, "account", c.customer, "objective", c.route.Objective, "began_before", c.start.Sub(c.admissionRequest.FirstSent), "nested", c.admissionRequest.Nested)
	}
	if c.lastAttempt != nil {
		attrs = append(attrs, "to", c.lastAttempt.server.Host, "to_zone", c.lastAttempt.server.AvailabilityZone)
	}
	if c.admissionRequest.Nested {
		attrs = append(attrs, "made_for", c.h.opts.Runs.PossibleParents(c.deadline))
	}
	if err != nil {
		attrs = append(attrs, "kind", string(errkind.Of(err)), "run", string(errkind.RunOf(err)), "error", err)
	}
	return attrs
}

// logFailedAttempt logs a failed attempt and whether it is retried. Refusals because of the
// length of a gate's queue (Overloaded) are only counted, in the log line at the end of the
// request: under overload there are several for each request.
func (c *call) logFailedAttempt(a *attempt, err error, retrying bool, reason string) {
	if errkind.Of(err) == errkind.Overloaded {
		return
	}
	c.h.opts.Logger.Info("outbound: attempt failed",
		"request", c.requestID, "service", c.service, "attempt", c.attempts, "to", a.server.Host,
		"to_zone", a.server.AvailabilityZone, "kind", string(errkind.Of(err)), "arrived", a.arrived,
		"config", c.snap.Offset, "left", time.Until(c.deadline), "took", time.Since(a.start), "again", retrying, "reason", reason,
		slog.Any("error", err))
}
