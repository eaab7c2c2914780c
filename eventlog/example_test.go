package eventlog_test

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
)

// An append has three possible outcomes. A record that must not be stored twice may be appended
// again only after ErrUnavailable.
func ExampleLog() {
	svc := memlog.New(memlog.DefaultOptions())
	var log eventlog.Log = svc.Stream(eventlog.StreamConfig)
	add := func() {
		offset, err := log.Append(context.Background(), []byte("record"))
		switch {
		case err == nil:
			fmt.Println("in the log at", offset)
		case errors.Is(err, eventlog.ErrUnavailable):
			fmt.Println("not in the log and never will be")
		default:
			fmt.Println("in the log or not:", errors.Is(err, eventlog.ErrUnknown))
		}
	}
	add()
	svc.SetOutage(true)
	add()
	svc.SetOutage(false)
	svc.LoseResponses(1)
	add()
	// Output:
	// in the log at 1
	// not in the log and never will be
	// in the log or not: true
}
