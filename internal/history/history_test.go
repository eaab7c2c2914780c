package history_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/history"
)

// record encodes a record that changes or removes a service.
func record(t *testing.T, id, author, service string, replaces uint64, remove bool) []byte {
	data, err := fold.EncodeRecord(&configpb.Bundle{PublishId: id, Author: author, Changes: []*configpb.Change{{
		Replaces: replaces, Delete: remove,
		Resource: &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: service}}},
	}}})
	must.NoError(t, err)
	return data
}

func TestEveryVerdict(t *testing.T) {
	log := memlog.New(memlog.DefaultOptions()).Stream("config")
	st := fold.Empty()
	for _, data := range [][]byte{
		record(t, "p1", "jane", "a", 0, false),
		record(t, "p1", "jane", "a", 0, false),
		record(t, "p2", "zola", "a", 0, false),
		[]byte("\xff\xff"),
		record(t, "", "anon", "b", 0, false),
		record(t, "p3", "jane", "a", 1, true),
	} {
		offset, err := log.Append(t.Context(), data)
		must.NoError(t, err)
		st, _, err = fold.Apply(st, offset, data)
		must.NoError(t, err)
	}
	_, err := log.Append(t.Context(), record(t, "p4", "late", "c", 0, false))
	must.NoError(t, err)

	items, err := history.Read(t.Context(), log, st, history.Filter{})
	must.NoError(t, err)
	var verdicts []history.Verdict
	for _, it := range items {
		verdicts = append(verdicts, it.Verdict)
	}
	must.Eq(t, []history.Verdict{
		history.Accepted, history.Duplicate, history.Rejected, history.Unreadable,
		history.Rejected, history.Accepted, history.Undecided,
	}, verdicts)
	must.Eq(t, 1, items[1].RepeatOf)
	must.SliceNotEmpty(t, items[2].Reasons)
	must.Eq(t, []history.Change{{Kind: "service", Name: "a", From: 1, To: 0}}, items[5].Changes)

	items, err = history.Read(t.Context(), log, st, history.Filter{Name: "a", Limit: 2})
	must.NoError(t, err)
	must.Eq(t, []uint64{3, 6}, []uint64{items[0].Offset, items[1].Offset})

	// Records that the log no longer retains are left out. The others are still listed.
	log.TruncateBefore(6)
	items, err = history.Read(t.Context(), log, st, history.Filter{})
	must.NoError(t, err)
	must.Eq(t, 6, items[0].Offset)
}
