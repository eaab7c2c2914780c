package inbound

import (
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/rollout"
)

// endRolloutCall reports the result of the call to the rollout that counts it. Without a
// rollout, rolloutCall is nil and the result is not computed.
func (c *call) endRolloutCall(rolloutCall *rollout.Call, err error) {
	if rolloutCall == nil {
		return
	}
	rolloutCall.End(c.head.GetRoute(), c.rolloutResult(err), c.latency, !time.Now().Before(c.warmAt))
}

// rolloutResult returns what the end of a call indicates about the backend server's version.
func (c *call) rolloutResult(err error) rollout.Result {
	switch errkind.Of(err) {
	case errkind.BackendFailed, errkind.BackendEnded, errkind.OutcomeUnknown, errkind.Deadline:
		return rollout.Failed
	}
	switch {
	case c.status >= http.StatusInternalServerError:
		return rollout.Failed
	case c.status > 0:
		return rollout.Answered
	}
	return rollout.Inconclusive
}
