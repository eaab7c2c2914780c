package operator

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/quarantine"
)

const (
	pathQuarantine = "/v1/quarantine"
	// paramIdentity is the path parameter with the identity of a request.
	paramIdentity = "identity"
)

// Quarantine is the part of quarantine.Tracker that operators use.
type Quarantine interface {
	// Verdicts returns the verdicts in force.
	Verdicts() []quarantine.Verdict
	// Lift clears the crashes and the verdict of a request at all daemons, and reports whether
	// this daemon had recorded any.
	Lift(quarantine.Identity) bool
}

// QuarantineList is the response to GET /v1/quarantine.
type QuarantineList struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a request that daemons do not send to backend servers.
type QuarantinedRequest struct {
	// Identity is the hash that also identifies the request in the log lines about crashed
	// backend servers, in hexadecimal digits.
	Identity string `json:"identity"`
	// Until is the end of the quarantine, truncated to seconds.
	Until time.Time `json:"until"`
}

// listQuarantined responds with the requests in quarantine, the first to be released first.
func (h *handler) listQuarantined(w http.ResponseWriter, _ bunrouter.Request) error {
	verdicts := h.opts.Quarantine.Verdicts()
	slices.SortFunc(verdicts, func(a, b quarantine.Verdict) int { return a.Until.Compare(b.Until) })
	list := QuarantineList{Requests: make([]QuarantinedRequest, 0, len(verdicts))}
	for _, v := range verdicts {
		list.Requests = append(list.Requests, QuarantinedRequest{Identity: v.Identity.String(), Until: v.Until.UTC().Truncate(time.Second)})
	}
	return writeJSON(w, list)
}

// liftQuarantine releases a request from quarantine at all daemons.
func (h *handler) liftQuarantine(w http.ResponseWriter, req bunrouter.Request) error {
	id, ok := quarantine.ParseIdentity(req.Param(paramIdentity))
	if !ok {
		return errkind.Newf(errkind.BadRequest, "the identity of a request must have %d hexadecimal digits", 2*len(id))
	}
	if !h.opts.Quarantine.Lift(id) {
		return errkind.Newf(errkind.BadRequest, "this daemon has recorded no crash and no quarantine of request %s", id)
	}
	h.opts.Logger.Info("operator: quarantine lifted", "identity", id.String(), "by", req.RemoteAddr)
	return writeJSON(w, struct{}{})
}

// Quarantine returns the requests that the daemon does not send to backend servers.
func (c *Client) Quarantine(ctx context.Context) (*QuarantineList, error) {
	list := &QuarantineList{}
	return list, c.getJSON(ctx, pathQuarantine, nil, 0, list)
}

// LiftQuarantine releases the request with the given identity from quarantine at all daemons.
func (c *Client) LiftQuarantine(ctx context.Context, identity string) error {
	_, err := c.do(ctx, http.MethodDelete, pathQuarantine+"/"+url.PathEscape(identity), nil, nil, 0)
	return err
}
