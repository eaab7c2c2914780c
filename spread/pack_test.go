package spread

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/peerpb"
)

// documentRecord returns the record of version v of a document with many routes, of which each
// version changes one.
func documentRecord(t testing.TB, v uint64, routes int) []byte {
	t.Helper()
	names := rand.New(rand.NewPCG(7, 7))
	d := &configpb.Document{Version: v, Services: []*configpb.DocumentService{{Name: "signs"}}}
	for i := range routes {
		r := &configpb.DocumentRoute{
			Name: fmt.Sprintf("r-%07x-%d", names.Uint32(), i), VirtualHost: fmt.Sprintf("host%d.example", i%20),
			PathPrefix: fmt.Sprintf("/p%07x%d/", names.Uint32(), i), Service: "signs",
			Kind: configpb.CallKind_CALL_KIND_IDEMPOTENT, TimeoutMs: 2500,
		}
		if uint64(i) < v {
			r.TimeoutMs = 3000
		}
		d.Routes = append(d.Routes, r)
	}
	data, err := fold.EncodeDocument(d)
	must.NoError(t, err)
	return data
}

// Versions of a large document are published in quick succession. Sent whole over links of
// 5 Mbit/s, they would leave no bandwidth for callers' requests for seconds. Only the first version
// may be sent whole, packed; each later one must cost a daemon less than a fiftieth of the
// document's size. Unpacked, the first version takes 0.9 of its size per daemon.
func TestLargeDocumentsAreSentAsDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, 4, nil)
		f.run()
		first := documentRecord(t, 1, 800)
		f.publish(first)
		f.await(1, 2*time.Second)
		must.Less(t, int64(len(first))*30, f.traffic.bytes.Swap(0), must.Sprint("the first version must be packed without a dictionary"))
		for v := uint64(2); v <= 11; v++ {
			f.publish(documentRecord(t, v, 800))
			time.Sleep(300 * time.Millisecond)
		}
		f.await(11, 2*time.Second)
		perVersion := f.traffic.bytes.Load() / 10 / 40
		t.Logf("%d bytes per version and daemon, the document has %d", perVersion, len(first))
		must.Less(t, int64(len(first))/50, perVersion)
	})
}

// A daemon misses a push and then receives the next one, which is packed with the missed record as
// dictionary. It must relay that push, must not apply a wrongly unpacked record, and must pull both
// records.
func TestPackedPushAfterMissedPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, func(o *Options) { o.OwnReadAfter = time.Hour })
		f.noProbes = true
		ahead, behind := f.nodes[0], f.nodes[1]
		f.setViews()
		ahead.InstallState(fold.Empty())
		behind.run()
		for v := uint64(1); v <= 3; v++ {
			must.NoError(t, ahead.applyNext(documentRecord(t, v, 100)))
		}
		b, ok := ahead.history.after(2, maxBatchBytes)
		must.True(t, ok)
		m := &peerpb.Push{Base: b.base, BaseChain: b.chain[:], Root: "host-0", Source: encodeAddr(ahead.member.PeerAddr)}
		m.Records, m.Packed = ahead.encodeBatch(b, false)
		must.Len(t, 1, m.GetPacked())
		must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
		must.Eq(t, 0, behind.inForce.Load())
		f.await(3, time.Second)
		must.Eq(t, ahead.State().Chain, behind.State().Chain)
	})
}

// A packed push arrives corrupted. It must be refused without a relay, and the state must stay as
// it was.
func TestCorruptedPackedPushIsRefused(t *testing.T) {
	s, relayed := newCountingSpreader(t)
	s.InstallState(fold.Empty())
	before := s.State()
	frame, err := packFrame(nil, documentRecord(t, 1, 100))
	must.NoError(t, err)
	frame[len(frame)/2] ^= 1
	var ack *peerpb.PushAck
	m := &peerpb.Push{BaseChain: before.Chain[:], Root: "host-1", Packed: []*peerpb.PackedRecord{{Offset: 1, Frame: frame, Alone: true}}}
	must.NoError(t, s.servePush(m, func(a *peerpb.PushAck) error { ack = a; return nil }))
	must.True(t, ack.GetDiverged())
	must.Eq(t, 0, s.State().Offset)
	must.Eq(t, 0, relayed.Load())
}

// A daemon of an older program does not set takes_packed in its pull and must receive plain
// records. It treats a packed push as a digest.
func TestOlderProgramsReceivePlainRecords(t *testing.T) {
	s, _ := newCountingSpreader(t)
	s.InstallState(fold.Empty())
	must.NoError(t, s.applyNext(documentRecord(t, 1, 100)))
	must.Len(t, 1, s.servePull(&peerpb.Pull{}).GetRecords())
	must.NotNil(t, s.servePull(&peerpb.Pull{WholeState: true}).GetState())
	packed := s.servePull(&peerpb.Pull{TakesPacked: true})
	must.SliceEmpty(t, packed.GetRecords())
	must.Len(t, 1, packed.GetPacked())
	state, err := StateOf(s.servePull(&peerpb.Pull{WholeState: true, TakesPacked: true}))
	must.NoError(t, err)
	must.True(t, proto.Equal(state, s.State().Encode()))
}

// Many daemons start at once and request the whole state from one. If each answer were packed anew,
// with 5.3 MB of allocations for 4,000 routes and 16 concurrent answers, that host would run short
// of memory. The answers must share one packed form until the version changes.
func TestPackedStateIsCached(t *testing.T) {
	s, _ := newCountingSpreader(t)
	s.InstallState(recoveredState(t, 7, documentRecord(t, 1, 100)))
	ask := func() []byte {
		return s.servePull(&peerpb.Pull{WholeState: true, TakesPacked: true}).GetPackedState()
	}
	first, second := ask(), ask()
	must.True(t, &first[0] == &second[0], must.Sprint("the state was packed again"))
	must.NoError(t, s.applyNext(documentRecord(t, 2, 100)))
	st, err := unpackState(ask())
	must.NoError(t, err)
	must.True(t, proto.Equal(st, s.State().Encode()))
}

// Packed data must be unchanged after unpacking, with and without a dictionary.
func TestFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(rapid.Byte(), 8, 4096).Draw(t, "before")
		data := append(bytes.Clone(before), rapid.SliceOf(rapid.Byte()).Draw(t, "more")...)
		for _, dictionary := range [][]byte{nil, before} {
			frame, err := packFrame(dictionary, data)
			must.NoError(t, err)
			got, err := unpackFrame(dictionary, frame)
			must.NoError(t, err)
			must.True(t, bytes.Equal(data, got))
		}
	})
}

// One route changes in a document of 16,384 routes. At zstd's fastest level the push takes 159,999
// bytes, which occupy a link of 5 Mbit/s for 0.26 s, because that level indexes too few positions
// of a large dictionary. It takes 2,345 bytes at 10,000 routes and 220 at 4,000.
func TestSmallChangeOfLargeDocumentPacksSmall(t *testing.T) {
	for _, routes := range []int{4_000, 10_000, 16_384} {
		before, data := documentRecord(t, 5, routes), documentRecord(t, 6, routes)
		frame, err := packFrame(before, data)
		must.NoError(t, err)
		t.Logf("%d routes, %d bytes: %d bytes packed", routes, len(data), len(frame))
		must.Less(t, 500, len(frame))
		got, err := unpackFrame(before, frame)
		must.NoError(t, err)
		must.True(t, bytes.Equal(data, got))
	}
}

// publish appends a record to the fleet's log.
func (f *fleet) publish(data []byte) {
	f.t.Helper()
	_, err := f.log.Append(f.t.Context(), data)
	must.NoError(f.t, err)
}

// applyNext applies the record that follows the current state.
func (s *Spreader) applyNext(data []byte) error {
	st := s.State()
	_, err := s.applyBatch(batch{base: st.Offset, chain: st.Chain, records: sequencedFrom(st.Offset+1, data)}, "test")
	return err
}

// A state with the largest document must unpack, or a newly started daemon could not load it from
// any other daemon. A larger frame must be rejected, so that it does not exhaust memory.
func TestLargestStateUnpacks(t *testing.T) {
	largest := make([]byte, fold.MaxDocumentBytes+fold.MaxResourceBytes)
	frame, err := packFrame(nil, largest)
	must.NoError(t, err)
	got, err := unpackFrame(nil, frame)
	must.NoError(t, err)
	must.Eq(t, len(largest), len(got))
	frame, err = packFrame(nil, make([]byte, maxUnpackedBytes+1))
	must.NoError(t, err)
	_, err = unpackFrame(nil, frame)
	must.True(t, errors.Is(err, errMalformed))
}
