package quarantine

import (
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// Refusal is the error of a request that is kept from backend servers for so long yet. It
// has not run, and its caller need not come back before.
func Refusal(left time.Duration) error {
	return errkind.New(errkind.Quarantined, "backend servers have ended under this request").After(left)
}
