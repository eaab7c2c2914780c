package quarantine

import (
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// Refusal returns the error for a request that stays in quarantine for the given time. The
// request has not run, and the error tells the caller not to retry before that time is over.
func Refusal(left time.Duration) error {
	return errkind.New(errkind.Quarantined, "the request is in quarantine: backend servers crashed while processing it").WithRetryAfter(left)
}
