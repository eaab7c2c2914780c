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
	// startRoutes is a document of 251 kB, near the largest record that the log in memory takes.
	startRoutes = 4000
	// deltaBytes bounds the change of one route, in bytes: two packets.
	deltaBytes = 2 << 10
)

// All daemons of a fleet have just started, after a loss of power or a rollout. They
// recovered the document in force as a state and saw no record of it. The next version
// changes one route, and callers' requests wait behind it on links of 5 Mbit/s: no
// daemon had a record to pack it with, and the push held 55,335 bytes.
func TestFirstChangeAfterStartTravelsAsChange(t *testing.T) {
	st := startedWith(t, 7, document(t, 1, startRoutes))
	ahead, _ := lone(t)
	behind, _ := lone(t)
	ahead.InstallState(st)
	behind.InstallState(st)
	must.NoError(t, ahead.foldNext(document(t, 2, startRoutes)))
	m := firstPush(t, ahead, st)
	must.Less(t, deltaBytes, proto.Size(m))
	answer := ahead.servePull(&peerpb.Pull{Offset: st.Offset, Chain: st.Chain[:], TakesPacked: true, HoldsRecord: true})
	must.Less(t, deltaBytes, proto.Size(answer))
	must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
	must.Eq(t, ahead.State().Chain, behind.State().Chain)
}

// One daemon still holds the record of the document in force and packs the next version
// with it; its neighbor has just started. Callers there are served by the old version
// until a pull has brought the new one whole: the push could not be unpacked (record
// before a packed one is not at hand).
func TestStartedDaemonUnpacksAChange(t *testing.T) {
	first := document(t, 1, startRoutes)
	ahead, _ := lone(t)
	ahead.InstallState(fold.Empty())
	must.NoError(t, ahead.foldNext(first))
	st := ahead.State()
	must.NoError(t, ahead.foldNext(document(t, 2, startRoutes)))
	behind, _ := lone(t)
	behind.InstallState(startedWith(t, 1, first))
	m := firstPush(t, ahead, st)
	must.False(t, m.GetPacked()[0].GetAlone())
	must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
	must.Eq(t, ahead.State().Chain, behind.State().Chain)
}

// Power returns to 21 hosts with links of 5 Mbit/s; then an operator changes one of
// 4,000 routes. Callers meet old and new answers in turns until all daemons have the
// change. It traveled whole: each reader's six pushes shared its link, every push ran
// into its timeout, and the other 19 daemons pulled. The last had the change after 4.1
// to 5.1 s, and 5.5 MB had been pushed and pulled.
func TestFirstChangeAfterStartOnSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 21, 1, nil)
		f.linkMbps = 5
		first := document(t, 1, startRoutes)
		f.publish(first)
		st := startedWith(t, 1, first)
		for _, n := range f.nodes {
			n.InstallState(st)
		}
		f.run()
		f.publish(document(t, 2, startRoutes))
		took := f.await(2, 10*time.Second)
		t.Logf("in force everywhere after %v, %d bytes, %d pulls", took, f.traffic.bytes.Load(), f.traffic.pulls.Load())
		must.Less(t, 2*time.Second, took)
		must.Zero(t, f.traffic.pulls.Load())
	})
}

// What a state holds is not always its last record: that may have changed nothing, or
// the state may have no document. Then a guess would not unpack at the others; the
// first record travels alone, and nobody is told that one is held.
func TestStateWithoutItsRecordSendsAlone(t *testing.T) {
	rejected, _, err := fold.Apply(startedWith(t, 7, document(t, 5, 100)), 8, document(t, 1, 100))
	must.NoError(t, err)
	_, bundles := logOf(t, 1)
	for name, st := range map[string]*fold.State{"record rejected": rejected, "no document": bundles[1]} {
		ahead, _ := lone(t)
		behind, _ := lone(t)
		ahead.InstallState(st)
		behind.InstallState(st)
		_, held := behind.history.recordAt(st.Offset)
		must.False(t, held, must.Sprint(name))
		must.NoError(t, ahead.foldNext(document(t, 9, 100)), must.Sprint(name))
		m := firstPush(t, ahead, st)
		must.True(t, m.GetPacked()[0].GetAlone(), must.Sprint(name))
		must.NoError(t, behind.servePush(m, func(*peerpb.PushAck) error { return nil }))
		must.Eq(t, ahead.State().Chain, behind.State().Chain, must.Sprint(name))
	}
}

// A daemon that is a record behind the state with which another started gets the whole
// state: the document there is no record that was read.
func TestStateIsNotServedAsARecord(t *testing.T) {
	ahead, _ := lone(t)
	ahead.InstallState(startedWith(t, 7, document(t, 1, 100)))
	answer := ahead.servePull(&peerpb.Pull{Offset: 6, TakesPacked: true, HoldsRecord: true})
	must.SliceEmpty(t, answer.GetPacked())
	must.SliceEmpty(t, answer.GetRecords())
	st, err := StateOf(answer)
	must.NoError(t, err)
	must.Eq(t, 7, st.GetOffset())
}

// startedWith returns the state of a daemon that recovered the document of a record.
func startedWith(t *testing.T, offset uint64, data []byte) *fold.State {
	t.Helper()
	st, err := fold.FromDocument(offset, data)
	must.NoError(t, err)
	st, err = fold.Decode(st.Encode())
	must.NoError(t, err)
	return st
}

// firstPush returns the push of what follows a state.
func firstPush(t *testing.T, s *Spreader, st *fold.State) *peerpb.Push {
	t.Helper()
	b, ok := s.history.after(st.Offset, maxBatchBytes)
	must.True(t, ok)
	m := &peerpb.Push{Base: b.base, BaseChain: b.chain[:], Root: "host-1"}
	m.Records, m.Packed = s.wireForm(b, false)
	must.Len(t, 1, m.GetPacked())
	return m
}

// linkTurn is how much of a message goes out before those of other sessions have their
// turn, in bytes.
const linkTurn = 4 << 10

// link is what a node sends over; its messages share it.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// send takes the time of a message on a link of some Mbit/s, 0 for no bound. It ends
// early where its sender gives up.
func (l *link) send(ctx context.Context, m proto.Message, mbps int) {
	if mbps == 0 {
		return
	}
	for left := proto.Size(m); left > 0 && ctx.Err() == nil; left -= linkTurn {
		time.Sleep(l.take(time.Duration(min(left, linkTurn)*8/mbps) * time.Microsecond))
	}
}

// take occupies the link once it is free and returns how long until that is over.
func (l *link) take(d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(d)
	return time.Until(l.free)
}
