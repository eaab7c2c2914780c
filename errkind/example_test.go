package errkind_test

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
)

// Of finds the kind in a wrapped error, and the kind determines the response.
func Example() {
	err := errors.Wrap(errkind.New(errkind.Draining, "the host is leaving"), "send the call")
	kind := errkind.Of(err)
	fmt.Println(kind, kind.Response().Status, "ran:", errkind.RunOf(err))
	// An earlier request with the same idempotency key may have run.
	fmt.Println("ran:", errkind.RunOf(errkind.WithRunUnknown(err)))
	// Output:
	// draining 503 ran: no
	// ran: unknown
}
