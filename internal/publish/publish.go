// Package publish appends an operator's changes to the platform's log and finds
// out what became of them: accepted, rejected with reasons, or unknown, and
// unknown only when it truly is.
package publish

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/bundle"
	"github.com/crocuscross/crocuscross/internal/configlog"
	"github.com/crocuscross/crocuscross/internal/loop"
)

const (
	publishIDBytes = 16
	defaultBackoff = 250 * time.Millisecond
	// lastLookTimeout bounds the look at the log after the time is up.
	lastLookTimeout = 2 * time.Second
)

// Outcome is what became of a publish.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	Rejected Outcome = "rejected"
	Unknown  Outcome = "unknown"
)

// Result tells what became of a publish.
type Result struct {
	Outcome   Outcome
	PublishID string
	// Revision is the offset of the record that was decided on; 0 if none was
	// appended or its offset is not known.
	Revision uint64
	// Reasons tells why a publish was rejected or its outcome is unknown.
	Reasons []string
	// Began is when the append that took effect was sent, or an earlier one
	// whose answer was lost. It is zero where this run appended nothing.
	Began time.Time
}

// Request is one publish.
type Request struct {
	File   *bundle.File
	Author string
	// PublishID tells a repeat from a new publish. A repeat must carry the same
	// changes.
	PublishID string
	// Repeat is whether an earlier run may have sent the same publish.
	Repeat bool
	// Revisions fills in what the file leaves open.
	Revisions Revisions
}

// Revisions decides which revision a change replaces that names none.
type Revisions struct {
	// Auto takes the revision in force when the publish begins.
	Auto bool
	// Fixed is the revision without Auto. 0 means that the resource must not
	// exist yet.
	Fixed uint64
}

// VerdictSource is asked for a verdict where the log cannot be read or folded.
type VerdictSource interface {
	Verdict(ctx context.Context, publishID string) (v fold.Verdict, ok bool, err error)
}

// Publisher publishes.
type Publisher struct {
	Reader *configlog.Reader
	// Verdicts may be nil.
	Verdicts VerdictSource
	// Backoff is the time between two attempts; 0 means a default.
	Backoff time.Duration
}

// NewPublishID returns a random id.
func NewPublishID() string {
	var b [publishIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Publish publishes and waits for the verdict until ctx ends. An error means
// that nothing was published and nothing will be.
func (p *Publisher) Publish(ctx context.Context, req Request) (Result, error) {
	st, err := p.load(ctx)
	if err != nil {
		return Result{}, errors.Wrap(err, "nothing was published")
	}
	if v, ok := st.Verdict(req.PublishID); ok {
		return resultOf(v, time.Time{}), nil
	}
	data, err := fold.EncodeRecord(req.bundle(st))
	if err != nil {
		return Result{}, errors.Wrap(err, "nothing was published")
	}
	if len(data) > eventlog.MaxRecordBytes {
		return Result{}, errors.Newf("nothing was published: the record has %d bytes, at most %d are taken; publish in parts",
			len(data), eventlog.MaxRecordBytes)
	}
	// What the current state rejects is not worth a record that every daemon
	// has to carry. A repeat goes into the log all the same: an append of the
	// earlier run may still arrive and be accepted, and only a verdict on the
	// same publish id settles that.
	if _, v, err := fold.Apply(st, st.Offset+1, data); err == nil && !v.Accepted && !req.Repeat {
		return Result{Outcome: Rejected, PublishID: req.PublishID, Reasons: v.Reasons}, nil
	}
	a := &attempt{Publisher: p, id: req.PublishID, data: data, state: st}
	return a.run(ctx)
}

// load reads the current state, again and again while the log is down: without
// it neither a race nor a repeat could be told.
func (p *Publisher) load(ctx context.Context) (*fold.State, error) {
	for {
		st, err := p.Reader.Load(ctx)
		if err == nil || !errors.Is(err, eventlog.ErrUnavailable) {
			return st, err
		}
		if !p.pause(ctx) {
			return nil, err
		}
	}
}

// pause reports whether the time between two attempts passed before ctx ended.
func (p *Publisher) pause(ctx context.Context) bool {
	backoff := p.Backoff
	if backoff <= 0 {
		backoff = defaultBackoff
	}
	return loop.Sleep(ctx, backoff)
}

// bundle returns the message of a request, with the revisions that the file
// leaves open filled in from the state.
func (r *Request) bundle(st *fold.State) *configpb.Bundle {
	b := &configpb.Bundle{PublishId: r.PublishID, Author: r.Author, PublishedUnixMs: time.Now().UnixMilli()}
	for _, c := range r.File.Changes {
		change := proto.CloneOf(c.Change)
		if !c.NamesRevision {
			change.Replaces = r.Revisions.of(c.GetResource(), st)
		}
		b.Changes = append(b.Changes, change)
	}
	return b
}

func (r Revisions) of(res *configpb.Resource, st *fold.State) uint64 {
	if !r.Auto {
		return r.Fixed
	}
	key, _ := fold.KeyOf(res)
	if e := st.Get(key); e != nil {
		return e.Revision
	}
	return 0
}

func resultOf(v fold.Verdict, began time.Time) Result {
	r := Result{Outcome: Rejected, PublishID: v.PublishID, Revision: v.Offset, Reasons: v.Reasons, Began: began}
	if v.Accepted {
		r.Outcome = Accepted
	}
	return r
}
