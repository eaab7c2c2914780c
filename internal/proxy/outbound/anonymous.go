package outbound

import (
	"context"
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

// routedCall is what the terms of a route in the document in force say about a request.
type routedCall struct {
	doc     *snapshot.Document
	route   *snapshot.DocumentRoute
	allowed time.Duration
	timeout time.Duration
	origin  admission.Origin
	// account is the account of the caller, nil if the call has none.
	account *snapshot.Contract
}

// routeCall finds the route of a request in the document in force and authenticates its caller. It
// depends on the head of the request only and has no effect.
func (h *Handler) routeCall(r *http.Request, snap *snapshot.Snapshot, start time.Time) (routedCall, error) {
	doc := snap.Document()
	if doc == nil {
		return routedCall{}, errkind.New(errkind.NotReady, "the daemon has no configuration document in force yet")
	}
	route, ok := doc.Route(r.Host, rawPath(r))
	if !ok {
		return routedCall{}, errkind.Newf(errkind.NoRoute, "no route for path %s on virtual host %s in document version %d", rawPath(r), r.Host, doc.Version)
	}
	allowed := route.Timeout
	if allowed == 0 {
		allowed = defaultTimeout
	}
	timeout, err := h.callTimeout(r.Header, allowed)
	if err != nil {
		return routedCall{}, err
	}
	origin := h.opts.Runs.Origin(start.Add(timeout), start)
	account, err := h.authenticate(r, doc, route, origin)
	return routedCall{doc: doc, route: route, allowed: allowed, timeout: timeout, origin: origin, account: account}, err
}

// RejectsHead reports whether a request will be rejected whatever its body is.
func (h *Handler) RejectsHead(r *http.Request) bool {
	snap := h.opts.Board.Snapshot.Load()
	if snap == nil || !h.opts.Anonymous || !h.namesNoCustomer(r.Header, snap) {
		return false
	}
	_, err := h.routeCall(r, snap, time.Now())
	return err != nil
}

// admitAnonymous admits a call that names no customer under the terms of its route in the document
// in force. The caller's API key identifies the account that the call belongs to.
func (h *Handler) admitAnonymous(r *http.Request, snap *snapshot.Snapshot, start time.Time) (*call, error) {
	routed, err := h.routeCall(r, snap, start)
	if err != nil {
		return nil, err
	}
	route := routed.route
	c := &call{
		h: h, snap: snap, service: route.PickService(rand.Uint32N), route: route,
		terms: snapshot.CallTerms{NonIdempotent: route.NonIdempotent(), MaxWait: routed.allowed},
		start: start, deadline: start.Add(routed.timeout), inheritedAttempt: 1, maxBody: h.opts.MaxBody,
		requestID: dialect.Get(r.Header, h.opts.Dialect.RequestID),
		origin:    routed.origin,
		priority:  route.Priority,
		dropKey:   routed.doc.HasAccounts(),
	}
	if err := c.setAccount(r.Context(), routed.account); err != nil {
		return nil, err
	}
	c.admissionRequest = h.admissionRequest(c, routed.timeout)
	if limit := routed.doc.Limits.MaxBodyBytes; limit > 0 {
		c.maxBody = min(c.maxBody, limit)
	}
	return c, nil
}

// setAccount applies the priority and the limits of an account to the call. account may be nil.
func (c *call) setAccount(ctx context.Context, account *snapshot.Contract) error {
	if account == nil {
		return nil
	}
	c.customer = account.Customer
	if account.HasPriority {
		c.priority = account.Priority
	}
	if !account.Limited() {
		return nil
	}
	var err error
	c.grant, err = c.h.opts.Quota.AdmitWait(ctx, account)
	if err != nil {
		c.logOverLimit(account)
	}
	return err
}

// admissionRequest returns the properties that determine how the call is treated under
// overload. timeout is the call's time limit.
func (h *Handler) admissionRequest(c *call, timeout time.Duration) admission.Request {
	r := admission.Request{
		Nested: h.opts.NestedRoutes.Contains(c.route.Name), Priority: c.priority, Objective: c.route.Objective,
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
