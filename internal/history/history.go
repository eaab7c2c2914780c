// Package history tells who changed what: the records that the platform's log
// still retains, with the verdict on each.
package history

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// batch is how many records are read at once.
const batch = 256

// Verdict is what became of a record.
type Verdict string

// The verdicts. Duplicate records carry the publish id of an earlier one, whose
// verdict stands. Evicted ones are older than what the fold remembers.
const (
	Accepted   Verdict = "accepted"
	Rejected   Verdict = "rejected"
	Duplicate  Verdict = "repeated"
	Unreadable Verdict = "unreadable"
	Undecided  Verdict = "undecided"
	Evicted    Verdict = "forgotten"
)

// Item is one record.
type Item struct {
	Offset    uint64    `json:"offset"`
	PublishID string    `json:"publish_id,omitempty"`
	Author    string    `json:"author,omitempty"`
	Published time.Time `json:"published"`
	Verdict   Verdict   `json:"verdict"`
	// RepeatOf is the offset whose verdict stands.
	RepeatOf uint64   `json:"repeat_of,omitempty"`
	Reasons  []string `json:"reasons,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
}

// Change is one change of a record.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// From is the revision replaced, 0 for none; To is the new one, 0 for a
	// resource deleted.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// Filter narrows a history.
type Filter struct {
	// Name of a resource; empty takes all.
	Name string
	// Limit keeps the latest items; 0 keeps all.
	Limit int
}

// Read returns the records that the log retains, oldest first. The verdicts come
// from a state that was folded to the log's end.
func Read(ctx context.Context, log eventlog.Log, st *fold.State, f Filter) ([]Item, error) {
	bounds, err := log.Bounds(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the log's bounds")
	}
	var items []Item
	for next := max(bounds.First, 1); next < bounds.End; {
		records, err := log.Read(ctx, next, batch, 0)
		var truncated *eventlog.TruncatedError
		switch {
		case errors.As(err, &truncated):
			// Records expired since the bounds were read.
			next = max(truncated.First, next+1)
			continue
		case err != nil:
			return nil, errors.Wrapf(err, "read the log from %d", next)
		case len(records) == 0:
			return f.last(items), nil
		}
		for _, rec := range records {
			next = rec.Offset + 1
			if it := itemOf(rec, st); f.takes(it) {
				items = append(items, it)
			}
		}
	}
	return f.last(items), nil
}

func (f Filter) takes(it Item) bool {
	if f.Name == "" {
		return true
	}
	for _, c := range it.Changes {
		if c.Name == f.Name {
			return true
		}
	}
	return false
}

func (f Filter) last(items []Item) []Item {
	if f.Limit > 0 && len(items) > f.Limit {
		return items[len(items)-f.Limit:]
	}
	return items
}

func itemOf(rec eventlog.Record, st *fold.State) Item {
	var r configpb.Record
	if err := proto.Unmarshal(rec.Data, &r); err != nil {
		return Item{Offset: rec.Offset, Verdict: Unreadable}
	}
	b := r.GetBundle()
	it := Item{
		Offset: rec.Offset, PublishID: b.GetPublishId(), Author: b.GetAuthor(),
		Published: time.UnixMilli(b.GetPublishedUnixMs()).UTC(),
	}
	it.decide(st)
	for _, c := range b.GetChanges() {
		it.Changes = append(it.Changes, changeOf(c, rec.Offset))
	}
	return it
}

func (it *Item) decide(st *fold.State) {
	v, ok := st.Verdict(it.PublishID)
	switch {
	case it.Offset > st.Offset:
		it.Verdict = Undecided
	case !ok && it.PublishID == "":
		it.Verdict = Rejected
		it.Reasons = []string{"the record names no publish id"}
	case !ok:
		it.Verdict = Evicted
	case v.Offset < it.Offset:
		it.Verdict, it.RepeatOf = Duplicate, v.Offset
	case v.Accepted:
		it.Verdict = Accepted
	default:
		it.Verdict, it.Reasons = Rejected, v.Reasons
	}
}

func changeOf(c *configpb.Change, offset uint64) Change {
	k, _ := fold.KeyOf(c.GetResource())
	change := Change{Kind: k.Kind.String(), Name: k.Name, From: c.GetReplaces(), To: offset}
	if c.GetDelete() {
		change.To = 0
	}
	return change
}
