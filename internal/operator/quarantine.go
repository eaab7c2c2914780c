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
	paramIdentity  = "identity"
)

// Quarantine is the part of quarantine.Tracker that operators see.
type Quarantine interface {
	Verdicts() []quarantine.Verdict
	// Lift lets a request in again at all daemons, and reports whether anything was held
	// against it.
	Lift(quarantine.Identity) bool
}

// QuarantineList is the answer of /v1/quarantine.
type QuarantineList struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a request that is kept from backend servers.
type QuarantinedRequest struct {
	// Identity is the one in the log lines about the servers that ended.
	Identity string    `json:"identity"`
	Until    time.Time `json:"until"`
}

func (h *handler) quarantined(w http.ResponseWriter, _ bunrouter.Request) error {
	verdicts := h.opts.Quarantine.Verdicts()
	slices.SortFunc(verdicts, func(a, b quarantine.Verdict) int { return a.Until.Compare(b.Until) })
	list := QuarantineList{Requests: make([]QuarantinedRequest, 0, len(verdicts))}
	for _, v := range verdicts {
		list.Requests = append(list.Requests, QuarantinedRequest{Identity: v.Identity.String(), Until: v.Until.UTC().Truncate(time.Second)})
	}
	return writeJSON(w, list)
}

func (h *handler) lift(w http.ResponseWriter, req bunrouter.Request) error {
	id, ok := quarantine.ParseIdentity(req.Param(paramIdentity))
	if !ok {
		return errkind.Newf(errkind.BadRequest, "an identity has %d hexadecimal digits", 2*len(id))
	}
	if !h.opts.Quarantine.Lift(id) {
		return errkind.Newf(errkind.BadRequest, "nothing is held against request %s here", id)
	}
	h.opts.Logger.Info("operator: quarantine lifted", "identity", id.String(), "by", req.RemoteAddr)
	return writeJSON(w, struct{}{})
}

// Quarantine returns the requests that the daemon keeps from backend servers.
func (c *Client) Quarantine(ctx context.Context) (*QuarantineList, error) {
	list := &QuarantineList{}
	return list, c.getJSON(ctx, pathQuarantine, nil, 0, list)
}

// LiftQuarantine lets a request in again at all daemons.
func (c *Client) LiftQuarantine(ctx context.Context, identity string) error {
	_, err := c.do(ctx, http.MethodDelete, pathQuarantine+"/"+url.PathEscape(identity), nil, nil, 0)
	return err
}
