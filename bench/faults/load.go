package main

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

const (
	// inFlight bounds the calls of one kind at once; a paused daemon holds up
	// those sent to it for their timeout.
	inFlight = 400

	timeoutLookup = 1500 * time.Millisecond
	timeoutHold   = 2500 * time.Millisecond
	timeoutGate   = 9 * time.Second
	timeoutLong   = 12 * time.Second
	// repeats of a call through other daemons, and the time before each.
	repeats     = 4
	repeatDelay = 50 * time.Millisecond
	// maxCallTime is the longest that a steady call takes with all its repeats.
	maxCallTime = (repeats + 1) * (timeoutLong + repeatDelay)

	uploadBytes = 200 << 10
	holdBytes   = 200
	answerBytes = 20 << 10
)

// kind is one kind of caller: its share of the rate and how it calls.
type kind struct {
	share float64
	caller.Options
}

// steadyLoad is what all users' callers send: lookups, holds under issued keys,
// gate corrections without one, uploads, slow and large answers.
func steadyLoad() []kind {
	return []kind{
		{0.42, callerOf(customerSigns, timeoutLookup, caller.KeysNone, get(3, pathSigns+"7"), get(1, pathMoved+"7"))},
		{0.30, insisting(callerOf(customerHolds, timeoutHold, caller.KeysIssued, post(pathHolds+"12")))},
		{0.15, callerOf(customerGates, timeoutGate, caller.KeysNone, post(pathGates+"3"))},
		{0.06, withAnswers(callerOf(customerGates, timeoutLong, caller.KeysNone, get(9, pathCalib+"3"), get(1, pathCalib+"4?sleep=3s")))},
		{0.03, uploads(callerOf(customerUploads, timeoutLong, caller.KeysNone, caller.Shape{Weight: 1, Method: http.MethodPut, Path: pathUploads + "5"}))},
		{0.04, callerOf(customerOwnKeys, timeoutHold, caller.KeysOwn, post(pathOwnKeys+"9"))},
	}
}

// proofLoad is non-idempotent calls only.
func proofLoad() []kind {
	return []kind{
		{0.45, insisting(callerOf(customerHolds, timeoutHold, caller.KeysIssued, post(pathHolds+"12")))},
		{0.15, insisting(callerOf(customerHolds, timeoutGate, caller.KeysIssued, post(pathGates+"12")))},
		{0.32, callerOf(customerGates, timeoutGate, caller.KeysNone, post(pathGates+"3"), post(pathHolds+"14"))},
		{0.08, insisting(callerOf(customerOwnKeys, timeoutHold, caller.KeysOwn, post(pathOwnKeys+"9")))},
	}
}

func get(weight float64, path string) caller.Shape {
	return caller.Shape{Weight: weight, Method: http.MethodGet, Path: path}
}

func post(path string) caller.Shape {
	return caller.Shape{Weight: 1, Method: http.MethodPost, Path: path}
}

func callerOf(customer string, timeout time.Duration, keys caller.KeySource, mix ...caller.Shape) caller.Options {
	o := caller.DefaultOptions()
	o.Customer, o.Timeout, o.Keys, o.Mix = customer, timeout, keys, mix
	o.Poisson, o.Concurrency, o.Count = true, inFlight, caller.MaxCount
	o.Duration = caller.MaxDuration
	o.Repeats, o.RepeatDelay = repeats, repeatDelay
	return o
}

// insisting is for calls under a key: the caller does not take no for an answer.
// Their bodies have a known length; those of the others without one are sent in
// chunks, though they are empty, and so take the path of large uploads.
func insisting(o caller.Options) caller.Options {
	o.Insist = true
	o.BodyBytes = holdBytes
	return o
}

func withAnswers(o caller.Options) caller.Options {
	o.AnswerBytes = answerBytes
	return o
}

func uploads(o caller.Options) caller.Options {
	o.BodyBytes = uploadBytes
	return o
}

// load runs callers until ctx ends.
func (d *deployment) load(ctx context.Context, kinds []kind, rate float64) error {
	var t tomb.Tomb
	for i, k := range kinds {
		o := k.Options
		o.Targets, o.Record = d.CallerURLs(), d.ledger
		o.Rate = rate * k.share
		o.Seed = d.opts.seed + uint64(i)
		t.Go(func() error {
			_, err := caller.Run(ctx, o)
			return errors.Wrap(err, o.Customer)
		})
	}
	return t.Wait()
}
