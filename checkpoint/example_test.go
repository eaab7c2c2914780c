package checkpoint_test

import (
	"context"
	"fmt"

	"github.com/crocuscross/crocuscross/checkpoint"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
)

// A daemon writes a checkpoint of its state before the records expire, and a new daemon starts
// from it.
func Example() {
	ctx := context.Background()
	stream := memlog.New(memlog.DefaultOptions()).Stream(eventlog.StreamCheckpoints)

	contract := &configpb.Contract{Customer: "harbour-garage", RatePerSecond: 100, MaxWaitMs: 500}
	record, err := fold.EncodeRecord(&configpb.Bundle{
		PublishId: "p-1",
		Changes: []*configpb.Change{{
			Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: contract}},
		}},
	})
	if err != nil {
		panic(err)
	}
	state, _, err := fold.Apply(fold.Empty(), 1, record)
	if err != nil {
		panic(err)
	}
	writer := checkpoint.NewWriter(stream, "host-1", checkpoint.DefaultWriterOptions())
	if err := writer.Write(ctx, state); err != nil {
		panic(err)
	}

	restored, err := checkpoint.Latest(ctx, stream)
	if err != nil {
		panic(err)
	}
	fmt.Println("offset", restored.Offset, "resources", restored.Len(), "same records", restored.Chain == state.Chain)
	// Output: offset 1 resources 1 same records true
}
