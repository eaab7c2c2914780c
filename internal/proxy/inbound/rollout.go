package inbound

import (
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/rollout"
)

// endCounted tells the rollout that counts the call, if any, how it has ended. Without one
// a call is spared the look at it.
func (c *call) endCounted(counted *rollout.Call, err error) {
	if counted == nil {
		return
	}
	counted.End(c.head.GetRoute(), c.rolloutResult(err), c.latency, !time.Now().Before(c.warmAt))
}

// rolloutResult tells what a call that has ended says of the backend server's version.
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
