package outbound

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
)

// KeysPath is where callers get idempotency keys; ?count=N asks for several.
const KeysPath = "/.well-known/crocuscross/keys"

// IssuedKeys is the answer to a POST on KeysPath.
type IssuedKeys struct {
	Keys []string `json:"keys"`
	// LifetimeSeconds is how long the keys may be used.
	LifetimeSeconds int `json:"lifetime_seconds"`
}

func (h *Handler) issueKeys(w http.ResponseWriter, r bunrouter.Request) error {
	keys, err := h.newKeys(r.Request)
	if err != nil {
		answer.Write(w, err)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(body.HeaderIdempotencyKey, keys.Keys[0])
	return json.NewEncoder(w).Encode(keys)
}

func (h *Handler) newKeys(r *http.Request) (*IssuedKeys, error) {
	snap := h.opts.Board.Snapshot.Load()
	if customer := r.Header.Get(body.HeaderCustomer); snap.Contract(customer) == nil {
		return nil, errkind.Newf(errkind.UnknownCustomer, "no contract for customer %q", customer)
	}
	if l := h.opts.Board.Lifecycle.Load(); l != nil && l.Phase >= blackboard.Draining {
		// Keys of a host that leaves would soon be good for nothing.
		return nil, errkind.New(errkind.Draining, "this host is leaving, ask another one for keys")
	}
	n, err := parseKeyCount(r.URL.Query().Get("count"))
	if err != nil {
		return nil, err
	}
	issued := h.opts.Keys.Issue(n)
	if len(issued) == 0 {
		return nil, errkind.New(errkind.Overloaded, "this host has issued as many keys as it may")
	}
	out := &IssuedKeys{LifetimeSeconds: int(h.opts.Keys.MaxLifetime().Seconds())}
	for _, k := range issued {
		out.Keys = append(out.Keys, k.String())
	}
	return out, nil
}

func parseKeyCount(v string) (int, error) {
	if v == "" {
		return 1, nil
	}
	n, err := strconv.ParseUint(v, 10, 16)
	if err != nil || n == 0 {
		return 0, errkind.Newf(errkind.BadRequest, "count is not a number from 1: %q", v)
	}
	return int(n), nil
}
