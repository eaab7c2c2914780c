// Package publish appends an operator's changes to the platform's log and determines their outcome:
// accepted, rejected with reasons, or unknown. The outcome is unknown only if it cannot be
// determined.
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
	// finalReadTimeout limits the last read of the log after the time of the publish is up.
	finalReadTimeout = 2 * time.Second
)

// Outcome is the outcome of a publish.
type Outcome string

// The outcomes.
const (
	// Accepted means that the changes are part of the configuration.
	Accepted Outcome = "accepted"
	// Rejected means that the publish changed nothing.
	Rejected Outcome = "rejected"
	// Unknown means that an append may have taken effect or may still take effect.
	Unknown Outcome = "unknown"
)

// Result is the result of a publish.
type Result struct {
	Outcome   Outcome
	PublishID string
	// Revision is the offset of the record with the verdict, 0 if no record was appended or its
	// offset is unknown.
	Revision uint64
	// Reasons describes why the publish was rejected or its outcome is unknown.
	Reasons []string
	// Began is when the append that took effect was sent, or an earlier append whose response was
	// lost. It is zero if this run appended nothing.
	Began time.Time
}

// Request is the request for one publish.
type Request struct {
	File   *bundle.File
	Author string
	// PublishID identifies the publish. A repeat has the ID and the changes of the earlier run.
	PublishID string
	// Repeat is set if an earlier run may have appended the same publish.
	Repeat bool
	// Revisions sets the replaced revision of changes that name none in the file.
	Revisions Revisions
}

// Revisions selects the replaced revision of a change that names none.
type Revisions struct {
	// Auto selects the latest revision when the publish begins.
	Auto bool
	// Fixed is the revision if Auto is not set. 0 means that the resource must not exist yet.
	Fixed uint64
}

// VerdictSource provides verdicts while the log cannot be read or folded.
type VerdictSource interface {
	// Verdict returns the verdict on a publish ID. ok is false if there is none yet.
	Verdict(ctx context.Context, publishID string) (v fold.Verdict, ok bool, err error)
}

// Publisher publishes changes to the platform's log.
type Publisher struct {
	// Reader reads the log. Its Log is also used for appends.
	Reader *configlog.Reader
	// Verdicts is used if the log cannot be read. It may be nil.
	Verdicts VerdictSource
	// Backoff is the time between two attempts to access the log. 0 selects the default of 250 ms.
	Backoff time.Duration
}

// NewPublishID returns a random publish ID.
func NewPublishID() string {
	var b [publishIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Publish appends the changes of req and waits for the verdict until ctx ends. An error means that
// nothing was published and that no append can take effect later.
func (p *Publisher) Publish(ctx context.Context, req Request) (Result, error) {
	st, err := p.load(ctx)
	if err != nil {
		return Result{}, errors.Wrap(err, "nothing was published")
	}
	if v, ok := st.Verdict(req.PublishID); ok {
		return newResult(v, time.Time{}), nil
	}
	data, err := fold.EncodeRecord(req.bundle(st))
	if err != nil {
		return Result{}, errors.Wrap(err, "nothing was published")
	}
	if len(data) > eventlog.MaxRecordBytes {
		return Result{}, errors.Newf("nothing was published: the record has %d bytes, at most %d are allowed; publish in parts",
			len(data), eventlog.MaxRecordBytes)
	}
	// Changes that the current state rejects are not appended, because every daemon would have to
	// process the record. A repeat is appended nevertheless: an append of the earlier run may still
	// arrive and be accepted, and only a verdict on the same publish ID excludes that.
	if _, v, err := fold.Apply(st, st.Offset+1, data); err == nil && !v.Accepted && !req.Repeat {
		return Result{Outcome: Rejected, PublishID: req.PublishID, Reasons: v.Reasons}, nil
	}
	a := &attempt{Publisher: p, id: req.PublishID, data: data, state: st}
	return a.run(ctx)
}

// load reads the current state. It retries while the log is unavailable, because the state is
// needed to detect concurrent changes and repeats.
func (p *Publisher) load(ctx context.Context) (*fold.State, error) {
	for {
		st, err := p.Reader.Load(ctx)
		if err == nil || !errors.Is(err, eventlog.ErrUnavailable) {
			return st, err
		}
		if !p.waitBackoff(ctx) {
			return nil, err
		}
	}
}

// waitBackoff waits for the time between two attempts. It returns false if ctx ends first.
func (p *Publisher) waitBackoff(ctx context.Context) bool {
	backoff := p.Backoff
	if backoff <= 0 {
		backoff = defaultBackoff
	}
	return loop.Sleep(ctx, backoff)
}

// bundle returns the bundle of a request. Changes that name no replaced revision get one according
// to r.Revisions and the state.
func (r *Request) bundle(st *fold.State) *configpb.Bundle {
	b := &configpb.Bundle{PublishId: r.PublishID, Author: r.Author, PublishedUnixMs: time.Now().UnixMilli()}
	for _, c := range r.File.Changes {
		change := proto.CloneOf(c.Change)
		if !c.NamesRevision {
			change.Replaces = r.Revisions.revisionOf(c.GetResource(), st)
		}
		b.Changes = append(b.Changes, change)
	}
	return b
}

// revisionOf returns the replaced revision of a change to res.
func (r Revisions) revisionOf(res *configpb.Resource, st *fold.State) uint64 {
	if !r.Auto {
		return r.Fixed
	}
	key, _ := fold.KeyOf(res)
	if e := st.Get(key); e != nil {
		return e.Revision
	}
	return 0
}

// newResult returns the result of a publish with a verdict.
func newResult(v fold.Verdict, began time.Time) Result {
	r := Result{Outcome: Rejected, PublishID: v.PublishID, Revision: v.Offset, Reasons: v.Reasons, Began: began}
	if v.Accepted {
		r.Outcome = Accepted
	}
	return r
}
