package quota

import (
	"time"

	"github.com/crocuscross/crocuscross/membership"
)

// Owner returns the daemon that owns a customer according to a view, or nil if there is none.
func Owner(view *membership.View, customer string) *membership.Member {
	return newFleet(view, time.Now(), 0, nil, DefaultOptions()).owner(customer)
}
