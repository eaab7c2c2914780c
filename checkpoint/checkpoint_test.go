package checkpoint

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

func TestRoundTripInParts(t *testing.T) {
	_, stream := newStream()
	st := bigState()
	must.NoError(t, NewWriter(stream, "h", options()).Write(t.Context(), st))
	bounds, _ := stream.Bounds(t.Context())
	must.Greater(t, uint64(3), bounds.End-bounds.First)
	got, err := Latest(t.Context(), stream)
	must.NoError(t, err)
	must.Eq(t, encoded(st), encoded(got))
}

func TestNoCheckpoint(t *testing.T) {
	svc, stream := newStream()
	_, err := Latest(t.Context(), stream)
	must.ErrorIs(t, err, ErrNoCheckpoint)
	svc.SetOutage(true)
	_, err = Latest(t.Context(), stream)
	must.ErrorIs(t, err, eventlog.ErrUnavailable)
	must.False(t, errors.Is(err, ErrNoCheckpoint), must.Sprint("an outage must not look like an empty stream"))
}

// The log becomes unavailable after a checkpoint has been found and before it is loaded. The
// checkpoint must not be treated as unusable, but loaded when the log is available again.
func TestOutageBeforeLoad(t *testing.T) {
	svc, stream := newStream()
	must.NoError(t, NewWriter(stream, "h", options()).Write(t.Context(), stateAt(3)))
	s := NewScanner(stream)
	must.NoError(t, s.Scan(t.Context()))
	svc.SetOutage(true)
	_, err := s.Load(t.Context())
	must.ErrorIs(t, err, eventlog.ErrUnavailable)
	svc.SetOutage(false)
	_, err = s.Load(t.Context())
	must.NoError(t, err)
}

// One append fails without effect, and the response to another is lost after it took effect. The
// writer appends these parts again, so that a part is in the stream twice. The checkpoint must be
// complete.
func TestLostResponsesLeaveCompleteCheckpoint(t *testing.T) {
	svc, stream := newStream()
	svc.LoseRequests(1)
	svc.LoseResponses(1)
	st := bigState()
	must.NoError(t, NewWriter(stream, "h", options()).Write(t.Context(), st))
	got, err := Latest(t.Context(), stream)
	must.NoError(t, err)
	must.Eq(t, encoded(st), encoded(got))
}

// A writer stops between two parts while an older checkpoint is in the stream. A starting daemon
// must get the older one, not part of the newer one.
func TestIncompleteCheckpointIsIgnored(t *testing.T) {
	_, stream := newStream()
	must.NoError(t, NewWriter(stream, "h", options()).Write(t.Context(), stateAt(3)))
	limited := &limitedLog{Log: stream, appends: 2}
	err := NewWriter(limited, "i", options()).Write(t.Context(), bigState())
	must.ErrorIs(t, err, eventlog.ErrUnavailable)
	got, err := Latest(t.Context(), stream)
	must.NoError(t, err)
	must.Eq(t, encoded(stateAt(3)), encoded(got))
}

// limitedLog becomes unavailable after some appends.
type limitedLog struct {
	eventlog.Log
	appends int
}

func (l *limitedLog) Append(ctx context.Context, data []byte) (eventlog.Offset, error) {
	if l.appends == 0 {
		return 0, eventlog.ErrUnavailable
	}
	l.appends--
	return l.Log.Append(ctx, data)
}

// Several writers append concurrently: some repeat parts, some stop halfway, and one continues
// after newer checkpoints have been written. Invalid records are mixed in, and retention drops
// the oldest records. A starting daemon must get the newest complete checkpoint, or
// ErrNoCheckpoint if there is none.
func TestNewestCompleteCheckpointIsFound(t *testing.T) {
	states := []*fold.State{stateAt(1), stateAt(2), stateAt(3), stateAt(4)}
	rapid.Check(t, func(t *rapid.T) {
		_, stream := newStream()
		type writer struct {
			state   int
			records [][]byte
			at      []uint64
		}
		var writers []*writer
		for i := range rapid.IntRange(1, 5).Draw(t, "writers") {
			w := &writer{state: rapid.IntRange(0, len(states)-1).Draw(t, "state")}
			w.records = partsOf("w", uint64(i), states[w.state], rapid.IntRange(1, 4).Draw(t, "parts"))
			writers = append(writers, w)
		}
		for range rapid.IntRange(0, 30).Draw(t, "appends") {
			w := rapid.SampledFrom(writers).Draw(t, "writer")
			done := len(w.at)
			what := rapid.IntRange(0, 9).Draw(t, "what")
			switch {
			case what == 0:
				_, _ = stream.Append(context.Background(), rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
			case what <= 2 && done > 0:
				_, _ = stream.Append(context.Background(), w.records[rapid.IntRange(0, done-1).Draw(t, "repeat")])
			case done < len(w.records):
				at, _ := stream.Append(context.Background(), w.records[done])
				w.at = append(w.at, at)
			}
		}
		bounds, _ := stream.Bounds(context.Background())
		first := rapid.Uint64Range(bounds.First, bounds.End).Draw(t, "first")
		stream.TruncateBefore(first)

		got, err := Latest(context.Background(), stream)
		whole := slices.DeleteFunc(writers, func(w *writer) bool {
			return len(w.at) < len(w.records) || w.at[0] < first
		})
		if len(whole) == 0 {
			// A repeated part after the cut can replace one that was cut off.
			must.True(t, errors.Is(err, ErrNoCheckpoint) || got != nil)
			return
		}
		must.NoError(t, err)
		newest := slices.MaxFunc(whole, func(a, b *writer) int { return cmp.Compare(a.state, b.state) })
		must.GreaterEq(t, states[newest.state].Offset, got.Offset)
		must.Eq(t, encoded(states[got.Offset-1]), encoded(got))
	})
}

// A newer program writes a checkpoint under an unknown rule, or a faulty writer appends parts
// with a wrong digest or a state other than the parts claim. An older valid checkpoint must be
// used in place of any of these.
func TestUnusableCheckpointsAreSkipped(t *testing.T) {
	newer := stateAt(5).Encode()
	newer.RuleVersion = fold.RuleVersion + 1
	for name, records := range map[string][][]byte{
		"rule unknown":     {rawPart(newer, func(*configpb.CheckpointPart) {})},
		"no valid state":   {rawPart(&configpb.State{Offset: 5}, func(*configpb.CheckpointPart) {})},
		"wrong digest":     {rawPart(stateAt(5).Encode(), func(p *configpb.CheckpointPart) { p.Digest[0]++ })},
		"wrong offset":     {rawPart(stateAt(2).Encode(), func(p *configpb.CheckpointPart) { p.Offset = 5 })},
		"count is 0":       {rawPart(stateAt(5).Encode(), func(p *configpb.CheckpointPart) { p.Count = 0 })},
		"parts left out":   {rawPart(stateAt(5).Encode(), func(p *configpb.CheckpointPart) { p.Index, p.Count = 1, 2 })},
		"parts of several": {partsOf("w", 1, stateAt(5), 2)[0], partsOf("w", 1, stateAt(6), 2)[1]},
	} {
		t.Run(name, func(t *testing.T) {
			_, stream := newStream()
			must.NoError(t, NewWriter(stream, "h", options()).Write(t.Context(), stateAt(3)))
			for _, r := range records {
				_, _ = stream.Append(t.Context(), r)
			}
			s := NewScanner(stream)
			must.NoError(t, s.Scan(t.Context()))
			got, err := s.Load(t.Context())
			must.NoError(t, err)
			must.Eq(t, uint64(3), got.Offset)
			must.Eq(t, uint64(3), s.Newest().Offset)
		})
	}
}

// rawPart returns a checkpoint in one part, modified by change.
func rawPart(m *configpb.State, change func(*configpb.CheckpointPart)) []byte {
	data, _ := proto.Marshal(m)
	sum := sha256.Sum256(data)
	p := &configpb.CheckpointPart{Writer: "w", Id: 1, Offset: m.GetOffset(), Count: 1, Digest: sum[:], Data: data}
	change(p)
	raw, _ := proto.Marshal(p)
	return raw
}

// A faulty program fills the stream with first parts of checkpoints that are never completed, and
// another one with complete checkpoints. The scanner's memory must stay bounded, or one faulty
// writer would bring down every daemon that starts.
func TestScannerMemoryIsBounded(t *testing.T) {
	_, stream := newStream()
	first := partsOf("w", 0, stateAt(1), 2)[0]
	whole := partsOf("w", 0, stateAt(1), 1)[0]
	s := NewScanner(stream)
	most := 0
	for i := range uint64(5 * maxGapRecords) {
		_, _ = stream.Append(t.Context(), withID(first, i))
		_, _ = stream.Append(t.Context(), withID(whole, i))
		must.NoError(t, s.Scan(t.Context()))
		most = max(most, len(s.incomplete))
	}
	must.LessEq(t, 2*maxGapRecords, most)
	must.Eq(t, maxComplete, len(s.complete))
}

// withID returns a part with another checkpoint id.
func withID(raw []byte, id uint64) []byte {
	p := &configpb.CheckpointPart{}
	if err := proto.Unmarshal(raw, p); err != nil {
		panic(err)
	}
	p.Id = id
	raw, _ = proto.Marshal(p)
	return raw
}

// Retention drops the newest checkpoint, or the stream loses its latest records, between two
// scans. If the scanner kept the checkpoint, a Checkpointer would not write another one.
func TestScannerDropsExpiredCheckpoints(t *testing.T) {
	_, stream := newStream()
	w := NewWriter(stream, "h", options())
	s := NewScanner(stream)
	for i, drop := range []func(){
		func() { b, _ := stream.Bounds(t.Context()); stream.TruncateBefore(b.End) },
		func() { b, _ := stream.Bounds(t.Context()); stream.TruncateEnd(b.First) },
	} {
		must.NoError(t, w.Write(t.Context(), stateAt(i+1)))
		must.NoError(t, s.Scan(t.Context()))
		must.Eq(t, uint64(i+1), s.Newest().Offset)
		drop()
		must.NoError(t, s.Scan(t.Context()))
		must.Nil(t, s.Newest(), must.Sprint(fmt.Sprint("drop ", i)))
	}
}
