package spread

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// startRoutes is the number of routes of a document of 251 kB, near the largest record that
	// memlog accepts.
	startRoutes = 4000
	// maxDeltaBytes limits the message of a change to one route, in bytes: two packets.
	maxDeltaBytes = 2 << 10
)

// All daemons of a fleet have just started and recovered the document as a state, without its
// record. The next version changes one route. If no daemon has a dictionary for it, the push takes
// 55,335 bytes, and callers' requests wait behind it on links of 5 Mbit/s.
func TestFirstChangeAfterStartIsSentAsDelta(t *testing.T) {
	st := recoveredState(t, 7, documentRecord(t, 1, startRoutes))
	ahead, _ := newCountingSpreader(t)
	behind, _ := newCountingSpreader(t)
	ahead.InstallState(st)
	behind.InstallState(st)
	must.NoError(t, ahead.applyNext(documentRecord(t, 2, startRoutes)))
	m := pushAfter(t, ahead, st)
	must.Less(t, maxDeltaBytes, proto.Size(m))
	answer := ahead.servePull(&peerpb.Pull{Offset: st.Offset, Chain: st.Chain[:], TakesPacked: true, HoldsRecord: true})
	must.Less(t, maxDeltaBytes, proto.Size(answer))
	must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
	must.Eq(t, ahead.State().Chain, behind.State().Chain)
}

// One daemon holds the record of the current document and packs the next version with it as
// dictionary; its neighbor has just started from the state. If the neighbor cannot unpack the push,
// it serves the old version until it has pulled the whole new one.
func TestStartedDaemonUnpacksDelta(t *testing.T) {
	first := documentRecord(t, 1, startRoutes)
	ahead, _ := newCountingSpreader(t)
	ahead.InstallState(fold.Empty())
	must.NoError(t, ahead.applyNext(first))
	st := ahead.State()
	must.NoError(t, ahead.applyNext(documentRecord(t, 2, startRoutes)))
	behind, _ := newCountingSpreader(t)
	behind.InstallState(recoveredState(t, 1, first))
	m := pushAfter(t, ahead, st)
	must.False(t, m.GetPacked()[0].GetAlone())
	must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
	must.Eq(t, ahead.State().Chain, behind.State().Chain)
}

// 21 hosts with links of 5 Mbit/s have just started when one of 4,000 routes changes. If the change
// is sent whole, every push times out, since each reader's six pushes share its link, and the other
// 19 daemons pull: the last daemon receives the change after 4.1 to 5.1 s, and 5.5 MB are pushed
// and pulled. Until then callers receive answers of both versions.
func TestFirstChangeAfterStartOnSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 21, 1, nil)
		f.linkMbps = 5
		first := documentRecord(t, 1, startRoutes)
		f.publish(first)
		st := recoveredState(t, 1, first)
		for _, n := range f.nodes {
			n.InstallState(st)
		}
		f.run()
		f.publish(documentRecord(t, 2, startRoutes))
		took := f.await(2, 10*time.Second)
		t.Logf("applied by all nodes after %v, %d bytes, %d pulls", took, f.traffic.bytes.Load(), f.traffic.pulls.Load())
		must.Less(t, 2*time.Second, took)
		must.Zero(t, f.traffic.pulls.Load())
	})
}

// The last record of a state cannot always be derived from it: that record may have been rejected,
// or the state may have no document. The next record must then be packed without a dictionary,
// because other daemons could not unpack it, and the daemon must not claim to hold the record.
func TestUnknownLastRecordIsNotUsedAsDictionary(t *testing.T) {
	rejected, _, err := fold.Apply(recoveredState(t, 7, documentRecord(t, 5, 100)), 8, documentRecord(t, 1, 100))
	must.NoError(t, err)
	_, bundles := recordsAndStates(t, 1)
	for name, st := range map[string]*fold.State{"record rejected": rejected, "no document": bundles[1]} {
		ahead, _ := newCountingSpreader(t)
		behind, _ := newCountingSpreader(t)
		ahead.InstallState(st)
		behind.InstallState(st)
		_, held := behind.history.recordAt(st.Offset)
		must.False(t, held, must.Sprint(name))
		must.NoError(t, ahead.applyNext(documentRecord(t, 9, 100)), must.Sprint(name))
		m := pushAfter(t, ahead, st)
		must.True(t, m.GetPacked()[0].GetAlone(), must.Sprint(name))
		must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
		must.Eq(t, ahead.State().Chain, behind.State().Chain, must.Sprint(name))
	}
}

// A daemon is one record behind the state with which another daemon started. It must receive the
// whole state, because the record derived from the document is not one that was read from the log.
func TestRecoveredStateIsNotServedAsRecord(t *testing.T) {
	ahead, _ := newCountingSpreader(t)
	ahead.InstallState(recoveredState(t, 7, documentRecord(t, 1, 100)))
	answer := ahead.servePull(&peerpb.Pull{Offset: 6, TakesPacked: true, HoldsRecord: true})
	must.SliceEmpty(t, answer.GetPacked())
	must.SliceEmpty(t, answer.GetRecords())
	st, err := StateOf(answer)
	must.NoError(t, err)
	must.Eq(t, 7, st.GetOffset())
}

// recoveredState returns the state of a daemon that recovered the document of a record.
func recoveredState(t *testing.T, offset uint64, data []byte) *fold.State {
	t.Helper()
	st, err := fold.FromDocument(offset, data)
	must.NoError(t, err)
	st, err = fold.Decode(st.Encode())
	must.NoError(t, err)
	return st
}

// pushAfter returns the push of the records that follow a state.
func pushAfter(t *testing.T, s *Spreader, st *fold.State) *peerpb.Push {
	t.Helper()
	b, ok := s.history.after(st.Offset, maxBatchBytes)
	must.True(t, ok)
	m := &peerpb.Push{Base: b.base, BaseChain: b.chain[:], Root: "host-1"}
	m.Records, m.Packed = s.encodeBatch(b, false)
	must.Len(t, 1, m.GetPacked())
	return m
}

// linkChunk is how much of a message is sent before the messages of other sessions have their turn,
// in bytes.
const linkChunk = 4 << 10

// link is the outgoing link of a node, shared by its messages.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// send waits for the transfer time of a message on a link of some Mbit/s, 0 for unlimited. It
// returns early if ctx is done.
func (l *link) send(ctx context.Context, m proto.Message, mbps int) {
	if mbps == 0 {
		return
	}
	for left := proto.Size(m); left > 0 && ctx.Err() == nil; left -= linkChunk {
		time.Sleep(l.reserve(time.Duration(min(left, linkChunk)*8/mbps) * time.Microsecond))
	}
}

// reserve occupies the link for d once it is free and returns the time until the end of that.
func (l *link) reserve(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(d)
	return time.Until(l.freeAt)
}
