package eventlog_test

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
)

// What became of an append is one of three things. Only after the second is it
// safe to append a record again that must not be there twice.
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
