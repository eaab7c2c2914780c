// Package history lists the configuration records that the platform log retains, with the author,
// the changes and the verdict of each.
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

// batchSize is the maximum number of records that are read at once.
const batchSize = 256

// Verdict is the result of applying a record to the configuration.
type Verdict string

// The verdicts.
const (
	// Accepted means that the changes of the record were applied.
	Accepted Verdict = "accepted"
	// Rejected means that the record was not applied.
	Rejected Verdict = "rejected"
	// Duplicate means that the record has the publish ID of an earlier record, whose verdict
	// applies.
	Duplicate Verdict = "repeated"
	// Unreadable means that the record cannot be decoded.
	Unreadable Verdict = "unreadable"
	// Undecided means that the record is later than the state that the verdicts are taken from.
	Undecided Verdict = "undecided"
	// Evicted means that the record is so old that the state no longer holds its verdict.
	Evicted Verdict = "forgotten"
)

// Item describes one record.
type Item struct {
	Offset    uint64 `json:"offset"`
	PublishID string `json:"publish_id,omitempty"`
	Author    string `json:"author,omitempty"`
	// Published is the time of the publish according to the publisher's clock.
	Published time.Time `json:"published"`
	Verdict   Verdict   `json:"verdict"`
	// RepeatOf is, for a Duplicate, the offset of the earlier record with the same publish ID.
	RepeatOf uint64 `json:"repeat_of,omitempty"`
	// Reasons is why the record was rejected.
	Reasons []string `json:"reasons,omitempty"`
	Changes []Change `json:"changes,omitempty"`
}

// Change describes the change of one resource.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// From is the revision that the change replaces, 0 if the resource is new. To is the new
	// revision, 0 if the resource is deleted.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// Filter selects the items that Read returns.
type Filter struct {
	// Name selects the records that change the resource of this name, or all records if empty.
	Name string
	// Limit is the maximum number of items, of which the latest are kept. 0 means no limit.
	Limit int
}

// Read returns the records that the log retains and f selects, the oldest first. The verdicts are
// taken from st, a state that was folded up to the end of the log. Records that were appended since
// are Undecided.
func Read(ctx context.Context, log eventlog.Log, st *fold.State, f Filter) ([]Item, error) {
	bounds, err := log.Bounds(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the bounds of the log")
	}
	var items []Item
	for next := max(bounds.First, 1); next < bounds.End; {
		records, err := log.Read(ctx, next, batchSize, 0)
		var truncated *eventlog.TruncatedError
		switch {
		case errors.As(err, &truncated):
			// Records expired since the bounds were read.
			next = max(truncated.First, next+1)
			continue
		case err != nil:
			return nil, errors.Wrapf(err, "read the log from offset %d", next)
		case len(records) == 0:
			return f.latest(items), nil
		}
		for _, rec := range records {
			next = rec.Offset + 1
			if it := newItem(rec, st); f.matches(it) {
				items = append(items, it)
			}
		}
	}
	return f.latest(items), nil
}

// matches reports whether the record changes a resource that the filter selects.
func (f Filter) matches(it Item) bool {
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

// latest returns the latest items, up to the limit of the filter.
func (f Filter) latest(items []Item) []Item {
	if f.Limit > 0 && len(items) > f.Limit {
		return items[len(items)-f.Limit:]
	}
	return items
}

// newItem describes a record, with its verdict from st.
func newItem(rec eventlog.Record, st *fold.State) Item {
	var r configpb.Record
	if err := proto.Unmarshal(rec.Data, &r); err != nil {
		return Item{Offset: rec.Offset, Verdict: Unreadable}
	}
	b := r.GetBundle()
	it := Item{
		Offset: rec.Offset, PublishID: b.GetPublishId(), Author: b.GetAuthor(),
		Published: time.UnixMilli(b.GetPublishedUnixMs()).UTC(),
	}
	it.setVerdict(st)
	for _, c := range b.GetChanges() {
		it.Changes = append(it.Changes, newChange(c, rec.Offset))
	}
	return it
}

// setVerdict sets the verdict of the item from st.
func (it *Item) setVerdict(st *fold.State) {
	v, ok := st.Verdict(it.PublishID)
	switch {
	case it.Offset > st.Offset:
		it.Verdict = Undecided
	case !ok && it.PublishID == "":
		it.Verdict = Rejected
		it.Reasons = []string{"the record has no publish ID"}
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

// newChange describes a change of the record at offset.
func newChange(c *configpb.Change, offset uint64) Change {
	k, _ := fold.KeyOf(c.GetResource())
	change := Change{Kind: k.Kind.String(), Name: k.Name, From: c.GetReplaces(), To: offset}
	if c.GetDelete() {
		change.To = 0
	}
	return change
}
