package configlog_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/configlog"
)

// appendRecords appends n records and returns the empty state, followed by the state after each record.
func appendRecords(t *testing.T, log eventlog.Log, n int) []*fold.State {
	states := []*fold.State{fold.Empty()}
	for i := range n {
		data, err := fold.EncodeRecord(&configpb.Bundle{PublishId: string(rune('a' + i)), Changes: []*configpb.Change{{
			Resource: &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: string(rune('a' + i))}}},
		}}})
		must.NoError(t, err)
		offset, err := log.Append(t.Context(), data)
		must.NoError(t, err)
		st, _, err := fold.Apply(states[i], offset, data)
		must.NoError(t, err)
		states = append(states, st)
	}
	return states
}

// fixedCheckpoint returns a Checkpoint function that returns st.
func fixedCheckpoint(st *fold.State) configlog.Checkpoint {
	return func(context.Context) (*fold.State, error) { return st, nil }
}

func TestLoadFoldsCheckpointAndTail(t *testing.T) {
	log := memlog.New(memlog.DefaultOptions()).Stream("config")
	states := appendRecords(t, log, 6)
	log.TruncateBefore(4)
	for _, start := range []uint64{3, 4, 6} {
		st, err := (&configlog.Reader{Log: log, Checkpoint: fixedCheckpoint(states[start])}).Load(t.Context())
		must.NoError(t, err)
		must.Eq(t, states[6].Chain, st.Chain)
	}
}

// The records after a state expire while a publisher holds the state. Each further read would fail,
// so Advance starts again from the checkpoint. If the checkpoint is too old as well, Advance
// returns a TruncatedError.
func TestAdvanceAfterRecordsExpired(t *testing.T) {
	log := memlog.New(memlog.DefaultOptions()).Stream("config")
	states := appendRecords(t, log, 6)
	log.TruncateBefore(5)
	st, err := (&configlog.Reader{Log: log, Checkpoint: fixedCheckpoint(states[5])}).Advance(t.Context(), states[1])
	must.NoError(t, err)
	must.Eq(t, states[6].Chain, st.Chain)

	_, err = (&configlog.Reader{Log: log, Checkpoint: fixedCheckpoint(states[0])}).Advance(t.Context(), states[1])
	var truncated *eventlog.TruncatedError
	must.True(t, errors.As(err, &truncated))
}

// The log has lost its latest records. A state that was folded from these must not be returned as
// the current one.
func TestShorterLogReturnsErrShrunk(t *testing.T) {
	log := memlog.New(memlog.DefaultOptions()).Stream("config")
	states := appendRecords(t, log, 6)
	log.TruncateEnd(4)
	_, err := (&configlog.Reader{Log: log, Checkpoint: fixedCheckpoint(states[6])}).Load(t.Context())
	must.True(t, errors.Is(err, configlog.ErrShrunk))
}
