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

// document returns version v of a document of many routes, of which each version
// changes one.
func document(t testing.TB, v uint64, routes int) []byte {
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

// An operator publishes versions of a large document in quick succession. Callers
// wait for seconds: on links of 5 Mbit/s the documents leave their requests no room.
// Only the first travels whole; each later one costs a daemon less than a
// fiftieth of its size. Sent as it is, the first alone took 0.9 of its size a daemon.
func TestLargeDocumentsTravelAsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, 4, nil)
		f.run()
		first := document(t, 1, 800)
		f.publish(first)
		f.await(1, 2*time.Second)
		must.Less(t, int64(len(first))*30, f.traffic.bytes.Swap(0), must.Sprint("packed by itself"))
		for v := uint64(2); v <= 11; v++ {
			f.publish(document(t, v, 800))
			time.Sleep(300 * time.Millisecond)
		}
		f.await(11, 2*time.Second)
		perVersion := f.traffic.bytes.Load() / 10 / 40
		t.Logf("%d bytes a version and daemon, the document has %d", perVersion, len(first))
		must.Less(t, int64(len(first))/50, perVersion)
	})
}

// A daemon misses a push and gets the next, which is packed with what it missed. It
// passes that on, folds nothing made up, and pulls both.
func TestPackedPushBeyondAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, func(o *Options) { o.OwnReadAfter = time.Hour })
		f.quiet = true
		ahead, behind := f.nodes[0], f.nodes[1]
		f.setViews()
		ahead.InstallState(fold.Empty())
		behind.run()
		for v := uint64(1); v <= 3; v++ {
			must.NoError(t, ahead.foldNext(document(t, v, 100)))
		}
		b, ok := ahead.history.after(2, maxBatchBytes)
		must.True(t, ok)
		m := &peerpb.Push{Base: b.base, BaseChain: b.chain[:], Root: "host-0", Source: encodeAddr(ahead.member.PeerAddr)}
		m.Records, m.Packed = ahead.wireForm(b, false)
		must.Len(t, 1, m.GetPacked())
		must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
		must.Eq(t, 0, behind.inForce.Load())
		f.await(3, time.Second)
		must.Eq(t, ahead.State().Chain, behind.State().Chain)
	})
}

// Bytes on a link are damaged, or made up. The push is refused, and what was in force
// stays.
func TestDamagedPackedPush(t *testing.T) {
	s, relayed := lone(t)
	s.InstallState(fold.Empty())
	before := s.State()
	frame, err := packFrame(nil, document(t, 1, 100))
	must.NoError(t, err)
	frame[len(frame)/2] ^= 1
	var ack *peerpb.PushAck
	m := &peerpb.Push{BaseChain: before.Chain[:], Root: "host-1", Packed: []*peerpb.PackedRecord{{Offset: 1, Frame: frame, Alone: true}}}
	must.NoError(t, s.servePush(m, func(a *peerpb.PushAck) error { ack = a; return nil }))
	must.True(t, ack.GetDiverged())
	must.Eq(t, 0, s.State().Offset)
	must.Eq(t, 0, relayed.Load())
}

// A daemon of an older program pulls: it does not say that it takes packed records and
// gets them as they are. It takes a packed push for a digest.
func TestOlderProgramsGetPlainRecords(t *testing.T) {
	s, _ := lone(t)
	s.InstallState(fold.Empty())
	must.NoError(t, s.foldNext(document(t, 1, 100)))
	must.Len(t, 1, s.servePull(&peerpb.Pull{}).GetRecords())
	must.NotNil(t, s.servePull(&peerpb.Pull{WholeState: true}).GetState())
	packed := s.servePull(&peerpb.Pull{TakesPacked: true})
	must.SliceEmpty(t, packed.GetRecords())
	must.Len(t, 1, packed.GetPacked())
	state, err := StateOf(s.servePull(&peerpb.Pull{WholeState: true, TakesPacked: true}))
	must.NoError(t, err)
	must.True(t, proto.Equal(state, s.State().Encode()))
}

// Many daemons start at once and ask one for its whole state. That host runs short of
// memory while it serves callers: each answer was packed anew, with 5.3 MB of garbage for
// 4,000 routes, and 16 are answered at once. The answers share what was packed, until
// another version is in force.
func TestPackedStateIsKept(t *testing.T) {
	s, _ := lone(t)
	s.InstallState(startedWith(t, 7, document(t, 1, 100)))
	ask := func() []byte {
		return s.servePull(&peerpb.Pull{WholeState: true, TakesPacked: true}).GetPackedState()
	}
	first, second := ask(), ask()
	must.True(t, &first[0] == &second[0], must.Sprint("packed anew"))
	must.NoError(t, s.foldNext(document(t, 2, 100)))
	st, err := unpackState(ask())
	must.NoError(t, err)
	must.True(t, proto.Equal(st, s.State().Encode()))
}

// What was packed comes out the same, with and without the record before.
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

// One route changes in a document of 16,384 routes. Callers' requests wait: the push takes
// 159,999 bytes, which occupy a link of 5 Mbit/s for 0.26 s. The packer's fastest level
// remembers too few places of the record before to find what is the same in so large a
// one; at 10,000 routes the push took 2,345 bytes, at 4,000 it took 220.
func TestSmallChangeOfALargeDocumentIsSmall(t *testing.T) {
	for _, routes := range []int{4_000, 10_000, 16_384} {
		before, data := document(t, 5, routes), document(t, 6, routes)
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

// foldNext folds the record that follows the version in force.
func (s *Spreader) foldNext(data []byte) error {
	st := s.State()
	_, err := s.fold(batch{base: st.Offset, chain: st.Chain, records: sequencedFrom(st.Offset+1, data)}, "test")
	return err
}

// A daemon starts beside others and asks for their state, with the largest document that
// the fold takes in it. What may travel between daemons must unpack, or the newcomer is
// refused by all of them; what is larger must not fill its memory.
func TestLargestStateUnpacks(t *testing.T) {
	largest := make([]byte, fold.MaxDocumentBytes+fold.MaxResourceBytes)
	frame, err := packFrame(nil, largest)
	must.NoError(t, err)
	got, err := unpackFrame(nil, frame)
	must.NoError(t, err)
	must.Eq(t, len(largest), len(got))
	frame, err = packFrame(nil, make([]byte, maxUnpacked+1))
	must.NoError(t, err)
	_, err = unpackFrame(nil, frame)
	must.True(t, errors.Is(err, errMalformed))
}
