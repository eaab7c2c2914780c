package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/bench/checker"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/bundle"
	"github.com/crocuscross/crocuscross/internal/configlog"
	"github.com/crocuscross/crocuscross/internal/publish"
)

const (
	publishEvery   = 1500 * time.Millisecond
	publishTimeout = 5 * time.Second
	// probeMargin is how long after a version is due its customer calls.
	probeMargin = 100 * time.Millisecond
	// badEvery is every how many publishes a bad one follows.
	badEvery = 3
)

// operators publish all the time.
type operators struct {
	d         *deployment
	publisher *publish.Publisher

	// pairs lets one publish of the pair go on at a time: two would race, and one
	// be rejected rightly.
	pairs sync.Mutex

	mu sync.Mutex
	// pair is the revision of the pair of contracts.
	pair uint64
	// known are the customers made known so far.
	known []string
	count int
}

func newOperators(d *deployment) *operators {
	empty := func(context.Context) (*fold.State, error) { return fold.Empty(), nil }
	return &operators{d: d, publisher: &publish.Publisher{
		Reader: &configlog.Reader{Log: d.Config(), Checkpoint: empty},
	}}
}

// run publishes until ctx ends.
func (o *operators) run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	tick := time.NewTicker(publishEvery)
	defer tick.Stop()
	for n := 1; ; n++ {
		if p, ok := o.publishPair(ctx); ok {
			probes.Go(func() { o.probeWhenDue(ctx, p) })
		}
		if n%badEvery == 0 {
			o.publishBad(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// publishPair revises two contracts in one bundle and makes a customer known.
func (o *operators) publishPair(ctx context.Context) (checker.Publish, bool) {
	o.pairs.Lock()
	defer o.pairs.Unlock()
	o.mu.Lock()
	o.count++
	customer := fmt.Sprintf("customer-%d", o.count)
	o.mu.Unlock()
	p, ok := o.publish(ctx, publish.Revisions{Auto: true}, "",
		setContract(contractOf(contractPairA)), setContract(contractOf(contractPairB)), setContract(contractOf(customer)))
	if !ok || p.Outcome != checker.Accepted {
		return p, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pair = p.Offset
	o.known = append(o.known, customer)
	return p, true
}

// publish publishes changes as an operator does and notes the outcome; it
// returns false where nothing was published.
func (o *operators) publish(ctx context.Context, rev publish.Revisions, race string, changes ...*configpb.Change) (checker.Publish, bool) {
	file := &bundle.File{Author: "trial"}
	p := checker.Publish{ID: publish.NewPublishID(), Race: race}
	for _, c := range changes {
		file.Changes = append(file.Changes, bundle.Change{Change: c})
		p.Resources = append(p.Resources, nameOf(c.GetResource()))
		p.Customer = c.GetResource().GetContract().GetCustomer()
	}
	if len(changes) == 1 {
		p.Customer = ""
	}
	limited, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	r, err := o.publisher.Publish(limited, publish.Request{File: file, Author: file.Author, PublishID: p.ID, Revisions: rev})
	if err != nil {
		return p, false
	}
	p.Outcome, p.Offset, p.At = checker.Outcome(r.Outcome), r.Revision, time.Now()
	o.d.ledger.update(func(r *checker.Records) { r.Publishes = append(r.Publishes, p) })
	return p, true
}

// publishBad appends a bundle of which one half is good and the other is not,
// past the checks of the operators' own tool.
func (o *operators) publishBad(ctx context.Context) {
	o.pairs.Lock()
	defer o.pairs.Unlock()
	o.mu.Lock()
	revision := o.pair
	o.mu.Unlock()
	bad := contractOf(contractPairB)
	bad.RatePerSecond = -1
	changes := []*configpb.Change{setContract(contractOf(contractPairA)), setContract(bad)}
	for _, c := range changes {
		c.Replaces = revision
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	id := publish.NewPublishID()
	data, err := fold.EncodeRecord(&configpb.Bundle{PublishId: id, Author: "trial", Changes: changes})
	if err != nil {
		return
	}
	offset, err := o.d.Config().Append(ctx, data)
	if err != nil {
		return
	}
	o.d.ledger.update(func(r *checker.Records) {
		r.Publishes = append(r.Publishes, checker.Publish{
			ID: id, Outcome: checker.Rejected, Offset: offset, At: time.Now(),
			Resources: []string{nameOf(changes[0].GetResource()), nameOf(changes[1].GetResource())},
		})
	})
}

// probeWhenDue lets the customer of a publish call every daemon once the version
// must be in force.
func (o *operators) probeWhenDue(ctx context.Context, p checker.Publish) {
	if sleep(ctx, time.Until(p.At.Add(checker.InForceBound+probeMargin))) == nil {
		o.d.probe(ctx, p.Customer)
	}
}

// probeLatest lets the customers made known last call every daemon.
func (o *operators) probeLatest(ctx context.Context, n int) {
	o.mu.Lock()
	known := o.known[max(0, len(o.known)-n):]
	o.mu.Unlock()
	for _, customer := range known {
		o.d.probe(ctx, customer)
	}
}

// sleep waits and returns an error if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
