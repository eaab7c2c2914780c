package outbound

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/snapshot"
)

// defaultTimeout limits calls whose route sets no timeout.
const defaultTimeout = 30 * time.Second

// admitAnonymous admits a call without a customer under the terms of its route in the document
// in force.
func (h *Handler) admitAnonymous(r *http.Request, snap *snapshot.Snapshot, start time.Time) (*call, error) {
	doc := snap.Document()
	if doc == nil {
		return nil, errkind.New(errkind.NotReady, "the daemon has no configuration document in force yet")
	}
	route, ok := doc.Route(r.Host, rawPath(r))
	if !ok {
		return nil, errkind.Newf(errkind.NoRoute, "no route for path %s on virtual host %s in document version %d", rawPath(r), r.Host, doc.Version)
	}
	allowed := route.Timeout
	if allowed == 0 {
		allowed = defaultTimeout
	}
	timeout, err := h.callTimeout(r.Header, allowed)
	if err != nil {
		return nil, err
	}
	c := &call{
		h: h, snap: snap, service: route.PickService(rand.Uint32N), route: route,
		terms: snapshot.CallTerms{NonIdempotent: route.NonIdempotent(), MaxWait: allowed},
		start: start, deadline: start.Add(timeout), inheritedAttempt: 1, maxBody: h.opts.MaxBody,
		requestID: dialect.Get(r.Header, h.opts.Dialect.RequestID),
		origin:    h.opts.Runs.Origin(start.Add(timeout), start),
	}
	c.admissionRequest = h.admissionRequest(c, timeout)
	if limit := doc.Limits.MaxBodyBytes; limit > 0 {
		c.maxBody = min(c.maxBody, limit)
	}
	return c, nil
}

// admissionRequest returns the properties that determine how the call is treated under
// overload. timeout is the call's time limit.
func (h *Handler) admissionRequest(c *call, timeout time.Duration) admission.Request {
	r := admission.Request{
		Nested: h.opts.NestedRoutes.Contains(c.route.Name), Priority: c.route.Priority, Objective: c.route.Objective,
		FirstSent: c.start, Arrived: c.start, Deadline: c.deadline,
	}
	if !r.Nested && !h.opts.IgnoreCallerRetries {
		r.FirstSent = c.start.Add(-h.initialTimeouts.Elapsed(c.route.Name, timeout))
	}
	return r
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}
