package outbound

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/snapshot"
)

// defaultWait is how long a call may take where neither its route nor its caller
// bounds that.
const defaultWait = 30 * time.Second

// returnedShare is the inverse of the part of the objective that a call needs at least
// to be answered within it.
const returnedShare = 3

// admitAnonymous admits a call without a customer under the terms of its route in
// the document in force.
func (h *Handler) admitAnonymous(r *http.Request, snap *snapshot.Snapshot, start time.Time) (*call, error) {
	doc := snap.Document()
	if doc == nil {
		return nil, errkind.New(errkind.NotReady, "this host has no document in force yet")
	}
	route, ok := doc.Route(r.Host, rawPath(r))
	if !ok {
		return nil, errkind.Newf(errkind.NoRoute, "no route for %s at %s in version %d", rawPath(r), r.Host, doc.Version)
	}
	allowed := route.Timeout
	if allowed == 0 {
		allowed = defaultWait
	}
	wait, err := h.remaining(r.Header, allowed)
	if err != nil {
		return nil, err
	}
	c := &call{
		h: h, snap: snap, service: route.Service(rand.Uint32N), route: route,
		terms: snapshot.CallTerms{NonIdempotent: route.NonIdempotent(), MaxWait: allowed},
		start: start, deadline: start.Add(wait), inherited: 1, maxBody: h.opts.MaxBody,
		requestID: dialect.Get(r.Header, h.opts.Dialect.RequestID),
	}
	c.began = start.Add(-h.usual.elapsed(route.Name, wait))
	if limit := doc.Limits.MaxBodyBytes; limit > 0 {
		c.maxBody = min(c.maxBody, limit)
	}
	return c, nil
}

// returned reports whether the call can hardly be answered within its objective any
// more: its caller has been refused before, and has come back.
func (c *call) returned() bool {
	objective := c.route.Objective
	return objective > 0 && c.start.Sub(c.began) > objective-objective/returnedShare
}

// rank returns the call's priority at gates. Within one priority of the document, calls
// that can be answered in time go before those that come back too late for that: they
// would else take the slots from callers who then come back late in turn.
func (c *call) rank() uint32 {
	rank := 2 * uint32(c.route.Priority)
	if c.returned() {
		rank++
	}
	return rank
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}
