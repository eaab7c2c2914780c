// Command embed shows the parts of crocuscross in a program of one's own,
// without its daemon: two nodes in one process find each other over UDP, follow
// one log, put the contract published there in force, hold the customer to it
// together, and run a permit hold once though it is sent twice. It ends by
// itself within seconds.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/once"
)

const (
	// limit bounds the whole run.
	limit    = 20 * time.Second
	customer = "harbor-garage"
	// burst is how many calls the contract allows at once.
	burst = 4
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "embed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, out io.Writer) error {
	// memlog stands in for the platform's log; httplog reaches a real one.
	log := memlog.New(memlog.DefaultOptions()).Stream(eventlog.StreamConfig)
	nodes, err := startNodes(log, "host-1", "host-2")
	if err != nil {
		return err
	}
	defer stopNodes(nodes)
	for _, n := range nodes {
		if err := n.awaitMembers(ctx, len(nodes)); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, len(nodes), "nodes know each other")

	offset, err := publish(ctx, log)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		if err := n.awaitVersion(ctx, offset); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "version %d is in force on all\n", offset)
	if err := admitCalls(ctx, out, nodes); err != nil {
		return err
	}
	return holdOnce(ctx, out, nodes[0].keys)
}

// publish appends a contract and returns its version.
func publish(ctx context.Context, log eventlog.Log) (uint64, error) {
	contract := &configpb.Contract{Customer: customer, RatePerSecond: 0.1, Burst: burst, MaxWaitMs: 500}
	record, err := fold.EncodeRecord(&configpb.Bundle{
		PublishId: "first", Author: "embed",
		Changes: []*configpb.Change{{Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: contract}}}},
	})
	if err != nil {
		return 0, err
	}
	offset, err := log.Append(ctx, record)
	return offset, errors.Wrap(err, "publish")
}

// admitCalls sends twice as many calls as the contract allows, to both nodes in
// turn.
func admitCalls(ctx context.Context, out io.Writer, nodes []*node) error {
	admitted, refused := 0, 0
	for i := range 2 * burst {
		switch err := nodes[i%len(nodes)].admit(ctx, customer); errkind.Of(err) {
		case errkind.None:
			admitted++
		case errkind.RateLimited:
			refused++
		default:
			return err
		}
	}
	fmt.Fprintf(out, "of %d calls to both nodes %d were admitted and %d refused\n", 2*burst, admitted, refused)
	return nil
}

// holdOnce sends one permit hold twice under one idempotency key.
func holdOnce(ctx context.Context, out io.Writer, keys *once.KeyStore) error {
	key := keys.Issue(1)[0]
	fingerprint := once.NewFingerprint("POST", "/holds/space-12", customer).Sum()
	for range 2 {
		execution, answer, err := keys.BeginOrWait(ctx, key, fingerprint)
		if err != nil {
			return err
		}
		if answer != nil {
			fmt.Fprintf(out, "sent again, got the first answer: %s\n", answer.Body)
			continue
		}
		// Here the hold is placed.
		fmt.Fprintln(out, "the hold runs")
		execution.Finish(&once.Response{Status: 201, Body: []byte("space 12 is held")})
	}
	return nil
}
