package spread

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

func sequencedFrom(offset uint64, data ...[]byte) []*configpb.SequencedRecord {
	records := make([]eventlog.Record, len(data))
	for i, d := range data {
		records[i] = eventlog.Record{Offset: offset + uint64(i), Data: d}
	}
	return toSequenced(records)
}

// recordsAndStates returns n records and the states after each, with the empty state first.
func recordsAndStates(t must.T, n int) ([]*configpb.SequencedRecord, []*fold.State) {
	states := []*fold.State{fold.Empty()}
	var data [][]byte
	for i := range n {
		d, err := fold.EncodeRecord(contractChange(fmt.Sprint(i), uint64(i)).GetBundle())
		must.NoError(t, err)
		st, _, err := fold.Apply(states[i], uint64(i+1), d)
		must.NoError(t, err)
		states, data = append(states, st), append(data, d)
	}
	return sequencedFrom(1, data...), states
}

// Batches with any bounds, in any order and repeated, with whole states in between, must give the
// same state as the log in order, and the offset must never decrease.
func TestBatchOrderDoesNotAffectState(t *testing.T) {
	const n = 12
	records, states := recordsAndStates(t, n)
	rapid.Check(t, func(t *rapid.T) {
		last := -1
		h := history{onState: func(st *fold.State) {
			must.Greater(t, last, int(st.Offset))
			must.Eq(t, states[st.Offset].Chain, st.Chain)
			last = int(st.Offset)
		}, onRejected: func(fold.Verdict, int) {}}
		h.install(states[0])
		for range rapid.IntRange(0, 40).Draw(t, "batches") {
			from := rapid.IntRange(0, n).Draw(t, "from")
			to := rapid.IntRange(from, n).Draw(t, "to")
			if rapid.IntRange(0, 9).Draw(t, "whole state") == 0 {
				h.install(states[to])
				continue
			}
			_, err := h.apply(batch{base: uint64(from), chain: states[from].Chain, records: records[from:to]})
			must.True(t, err == nil || errors.Is(err, errGap))
		}
		for o := h.offset(); o < n; o++ {
			_, err := h.apply(batch{base: o, chain: states[o].Chain, records: records[o : o+1]})
			must.NoError(t, err)
		}
		must.Eq(t, states[n].Chain, h.current().Chain)
		must.Zero(t, len(h.pending))
	})
}

// The ring must drop the oldest records beyond its bounds and return the rest.
func TestRingBounds(t *testing.T) {
	var r ring
	const n = maxRingRecords + 10
	for i := range uint64(n) {
		r.add(sequencedFrom(i+1, []byte{1})[0], fold.Chain{byte(i)})
	}
	_, ok := r.after(9, maxBatchBytes)
	must.False(t, ok)
	records, ok := r.after(n-3, maxBatchBytes)
	must.True(t, ok)
	must.Len(t, 3, records)
	records, _ = r.after(n-3, 0)
	must.Len(t, 1, records)
	chain, ok := r.chainAt(10)
	must.True(t, ok)
	must.Eq(t, fold.Chain{9}, chain)
	r.add(sequencedFrom(n+1, make([]byte, maxRingBytes))[0], fold.Chain{})
	must.Len(t, 2, r.entries)
}

// The record with which a daemon started is the dictionary for the next record as long as the ring
// reaches back to it. Afterwards it must not be used for a later record: other daemons would refuse
// a record packed with the wrong dictionary as malformed and stop following.
func TestRingDropsBaseRecord(t *testing.T) {
	var r ring
	r.reset(7, fold.Chain{7}, []byte("7"))
	for o := uint64(8); r.base == 7; o++ {
		data, ok := r.dictionary(7)
		must.True(t, ok)
		must.Eq(t, "7", string(data))
		r.add(sequencedFrom(o, []byte("later"))[0], fold.Chain{8})
	}
	for _, o := range []uint64{7, 8} {
		_, ok := r.dictionary(o)
		must.False(t, ok)
	}
	_, ok := r.dictionary(9)
	must.True(t, ok)
}

// Records are larger than half of the ring. If the ring kept only the latest one, there would be no
// dictionary for it, and each push and answer would hold the whole record however small the change.
// No more than two records are kept.
func TestRingKeepsTwoLargeRecords(t *testing.T) {
	var r ring
	for i := range uint64(5) {
		r.add(sequencedFrom(i+1, make([]byte, maxRingBytes*2/3))[0], fold.Chain{byte(i)})
	}
	must.NotNil(t, r.entry(5))
	must.NotNil(t, r.entry(4))
	must.Len(t, 2, r.entries)
	must.Eq(t, 2*(maxRingBytes*2/3), r.bytes)
	records, ok := r.after(3, maxRingBytes)
	must.True(t, ok)
	must.Len(t, 1, records)
}
