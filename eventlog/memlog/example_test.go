package memlog_test

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
)

// An append whose response is lost has taken effect nevertheless.
func Example() {
	ctx := context.Background()
	svc := memlog.New(memlog.DefaultOptions())
	log := svc.Stream(eventlog.StreamConfig)

	svc.LoseResponses(1)
	_, err := log.Append(ctx, []byte("bundle"))
	fmt.Println("unknown:", errors.Is(err, eventlog.ErrUnknown))

	recs, _ := log.Read(ctx, 1, 10, 0)
	fmt.Println("records:", len(recs))
	// Output:
	// unknown: true
	// records: 1
}
