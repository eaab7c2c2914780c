package operator

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/rollout"
)

const pathRollouts = "/v1/rollouts"

// RolloutList is the response to GET /v1/rollouts.
type RolloutList struct {
	// Rollouts holds the rollouts that the responding daemon decides on, sorted by service.
	Rollouts []rollout.Status `json:"rollouts"`
}

func (h *handler) rollouts(w http.ResponseWriter, _ bunrouter.Request) error {
	list := RolloutList{Rollouts: []rollout.Status{}}
	if h.opts.Rollouts != nil {
		list.Rollouts = append(list.Rollouts, h.opts.Rollouts()...)
	}
	slices.SortFunc(list.Rollouts, func(a, b rollout.Status) int { return cmp.Compare(a.Service, b.Service) })
	return writeJSON(w, list)
}
