package recovery

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// The log is unavailable. Version 8 was in force on the host; the only daemon that answers knows
// that and has version 5 in force. Serving version 5 would revert contracts for the callers on
// this host, so they are refused until the log is available.
func TestRecover_WaitsIfOnlyPeerIsBelowFloor(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 5, 8)
	f.svc.SetOutage(true)
	f.mustWait(t, ProblemBelowFloor)
	res, err := f.recover(func(round int) { f.svc.SetOutage(round < 3) })
	must.NoError(t, err)
	must.Eq(t, 3, f.waits)
	must.Eq(t, uint64(9), res.State.Offset)
}

// The log is unavailable, and the only daemon that answers was paused and knows no floor above
// its own version 5. It is one of six known daemons, so the floor remains unknown.
func TestRecover_WaitsIfTooFewPeersAnswer(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 5, 5)
	f.peers.known = 6
	f.svc.SetOutage(true)
	f.mustWait(t, ProblemNoSource)
	f.svc.SetOutage(false)
	f.mustServe(t, 9, NoProblem)
}

// The log is unavailable and enough daemons answer. Guards against an outage of the platform
// causing one of this host.
func TestRecover_ServesPeerStateWhileLogIsUnavailable(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 7, 6)
	f.peer("b", 9, 8)
	f.peer("c", 8, 8)
	f.peers.known = 20
	f.svc.SetOutage(true)
	res := f.mustServe(t, 9, NoProblem)
	must.Eq(t, FromPeer, res.From)
	must.Eq(t, uint64(8), res.Floor)
	must.Zero(t, f.waits)

	f.peers.answers, f.peers.known = f.peers.answers[:2], 3
	f.mustServe(t, 9, NoProblem)
	delete(f.peers.states, "a")
	delete(f.peers.states, "b")
	f.peers.answers[0].Floor, f.peers.answers[1].Floor = 0, 0
	f.mustWait(t, ProblemBelowFloor)
}

// The log is unavailable, and no daemon answers or only daemons that have just started
// themselves. The first start of a fleet cannot be distinguished from a restart of all daemons,
// so nothing is served.
func TestRecover_WaitsIfNoPeerHasVersionInForce(t *testing.T) {
	f := newFleet(9)
	f.svc.SetOutage(true)
	f.mustWait(t, ProblemNoSource)
	f.peer("a", 0, 0)
	f.peer("b", 0, 0)
	f.mustWait(t, ProblemNoSource)
}

// An empty log means that nothing has been published, and the empty state is served. If a daemon
// or a checkpoint proves that there was a version, the log has lost it and nothing is served.
func TestRecover_FirstStartOfFleet(t *testing.T) {
	f := newFleet(0)
	f.peer("a", 0, 0)
	res := f.mustServe(t, 0, NoProblem)
	must.Eq(t, FromEmpty, res.From)

	evidence := map[string]func(f *fleet){
		"a daemon knows a floor": func(f *fleet) { f.peerWith("a", fold.Empty(), 3) },
		"there is a checkpoint":  func(f *fleet) { f.checkpoint(9) },
	}
	t.Run("checkpoints cannot be read", func(t *testing.T) {
		f := newFleet(0)
		f.opts.Checkpoints = unavailableLog{}
		f.mustWait(t, ProblemNoSource)
	})
	for name, addEvidence := range evidence {
		t.Run(name, func(t *testing.T) {
			f := newFleet(9)
			f.config.TruncateEnd(1)
			addEvidence(f)
			f.mustWait(t, ProblemLogLostRecords)
		})
	}
}

// The host is replaced by one with the same name. The previous daemon, which has version 8 in
// force, still runs, or another daemon knows its floor. Callers must not see version 7.
func TestRecover_HostReplacedUnderSameName(t *testing.T) {
	for name, addEvidence := range map[string]func(f *fleet){
		"previous daemon answers":  func(f *fleet) { f.peer(own, 8, 0); delete(f.peers.states, own) },
		"a daemon knows its floor": func(f *fleet) { f.peer("c", 7, 8) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(9)
			f.peer("a", 7, 7)
			f.peer("b", 7, 7)
			addEvidence(f)
			f.svc.SetOutage(true)
			f.mustWait(t, ProblemBelowFloor)
		})
	}
}

// The log loses its last records. Daemons with these in force continue to serve them and report
// the problem. A daemon that starts gets the state from them, and waits while too few of them
// answer for the floor to be known.
func TestRecover_LogLosesLastRecords(t *testing.T) {
	f := newFleet(9)
	f.config.TruncateEnd(5)
	f.peer("a", 9, 9)
	f.peers.known = 5
	f.mustWait(t, ProblemLogLostRecords)
	f.peer("b", 9, 9)
	f.peer("c", 8, 7)
	f.mustServe(t, 9, ProblemLogLostRecords)

	// The problem is reported as well if only an older state can be fetched.
	f.peer("d", 4, 0)
	for i, a := range f.peers.answers[:3] {
		delete(f.peers.states, a.Host)
		f.peers.answers[i].Floor = 4
	}
	f.mustServe(t, 4, ProblemLogLostRecords)
}

// The log loses its records from offset 5 on and assigns the offsets up to 12 again. Folding its
// records onto version 9, which daemons have in force, would mix two histories. A daemon that
// starts serves version 9 if enough daemons answer, and waits otherwise.
func TestRecover_LogReusesOffsets(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 9, 9)
	f.peers.known = 5
	old := f.states[9]
	f.config.TruncateEnd(5)
	f.states = f.states[:5]
	f.publish(8, "second")
	f.mustWait(t, ProblemLogLostRecords)
	f.peerWith("b", old, 8)
	f.peerWith("c", old, 9)
	res := f.mustServe(t, 9, ProblemLogLostRecords)
	must.Eq(t, old.Chain, res.State.Chain)
}

// The log reuses offsets, and the only available state is a checkpoint at offset 4, from before
// the loss. Folding the log from there results in another chain at offset 9 than a daemon
// reports. Serving that state could revert the configuration on this host.
func TestRecover_DetectsForkWhileFolding(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 9, 9)
	delete(f.peers.states, "a")
	f.checkpoint(4)
	f.config.TruncateEnd(5)
	f.states = f.states[:5]
	f.publish(8, "second")
	f.mustWait(t, ProblemForked)
	f.peer("b", 9, 9)
	f.mustWait(t, ProblemForked)
}

// While the log is unavailable, a daemon fetches the state of the only daemon that answers,
// without serving it. Then that daemon ends, and all others have another history. The fetched
// state was never in force on this host and must not keep it from using the state of the others.
func TestRecover_DropsFetchedStateOfForkedHistory(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 9, 9)
	f.peers.known = 9
	f.config.TruncateEnd(5)
	f.states = f.states[:5]
	f.publish(5, "second")
	f.svc.SetOutage(true)
	res, err := f.recover(func(round int) {
		if round > 1 {
			return
		}
		f.peers.answers = nil
		for _, host := range []string{"b", "c", "d"} {
			f.peer(host, 9, 0)
		}
	})
	must.NoError(t, err)
	must.Eq(t, 2, f.waits)
	must.Eq(t, f.states[9].Chain, res.State.Chain)
}

// A running daemon has version 3 in force while the log starts at offset 7. It continues from the
// checkpoint that precedes the first record of the log, and never from an older one.
func TestRecover_RunningDaemonBehindRetention(t *testing.T) {
	f := newFleet(9)
	f.checkpoint(2)
	f.checkpoint(6)
	f.config.TruncateBefore(7)
	f.opts.Own = f.states[3]
	res := f.mustServe(t, 9, NoProblem)
	must.Eq(t, FromCheckpoint, res.From)
	must.Eq(t, f.states[9].Chain, res.State.Chain)
}

// All records of the log have expired without a checkpoint. Only the memory of other daemons
// holds the state, and a daemon that starts gets it from them.
func TestRecover_StateHeldByPeersOnly(t *testing.T) {
	f := newFleet(9)
	f.config.TruncateBefore(10)
	f.mustWait(t, ProblemRetentionGap)
	f.peer("a", 9, 9)
	res := f.mustServe(t, 9, NoProblem)
	must.Eq(t, FromPeer, res.From)
}

// Records 6 and 7 expire before any daemon has read them. Daemons continue to serve version 5 and
// report the problem. A daemon that starts does the same unless version 5 is below its floor.
func TestRecover_RecordsExpireUnread(t *testing.T) {
	f := newFleet(9)
	f.config.TruncateBefore(8)
	f.peer("a", 5, 5)
	f.mustServe(t, 5, ProblemRetentionGap)
	f.opts.Own = f.states[4]
	f.mustServe(t, 5, ProblemRetentionGap)
	f.opts.Own = nil
	f.peers.answers[0].Floor = 6
	f.mustWait(t, ProblemRetentionGap)
}

// Record 10 needs a newer program, which runs on some daemons. A daemon with an older program
// serves the floor once enough daemons answer, and never a state that it cannot decode.
func TestRecover_UnsupportedRecord(t *testing.T) {
	f := newFleet(9)
	f.append(unsupportedRecord())
	f.mustWait(t, ProblemUnsupportedRecord)
	f.peerWith("newer", &fold.State{Offset: 10, Chain: fold.Chain{1}}, 8)
	delete(f.peers.states, "newer")
	f.mustServe(t, 9, ProblemUnsupportedRecord)
	f.peer("b", 7, 10)
	f.mustWait(t, ProblemUnsupportedRecord)
}

// A daemon reports version 9, restarts, and then sends an older state. Guards against serving that
// state, which is older than the reported one.
func TestRecover_PeerSendsOlderStateThanReported(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 9, 6)
	f.peers.states["a"] = f.states[6]
	f.svc.SetOutage(true)
	f.mustWait(t, ProblemBelowFloor)
}

// All daemons restart. A daemon that knows others waits once before it reads the checkpoint. If
// another daemon has a state by then, that state is used and the checkpoint is not read.
func TestRecover_FleetRestartSkipsCheckpoint(t *testing.T) {
	f := newFleet(9)
	f.checkpoint(9)
	f.peer("a", 0, 0)
	before := f.svc.Counters().BytesOut
	res, err := f.recover(func(int) {
		f.peers.answers, f.peers.known = nil, 0
		f.peer("a", 9, 0)
	})
	must.NoError(t, err)
	must.Eq(t, FromPeer, res.From)
	must.Eq(t, before+uint64(len(contractRecord("first", 9))), f.svc.Counters().BytesOut, must.Sprint("more than record 9 was read from the log"))

	f.peers.answers = nil
	res, err = f.recover(nil)
	must.NoError(t, err)
	must.Eq(t, 1, f.waits)
	must.Eq(t, FromCheckpoint, res.From)
}

// The log becomes unavailable several times while its records are folded. Folded records are
// kept, and nothing is served in between.
func TestRecover_LogFailsWhileCatchingUp(t *testing.T) {
	f := newFleet(9)
	f.checkpoint(3)
	f.config.TruncateBefore(3)
	f.svc.SetOutage(true)
	res, err := f.recover(func(round int) { f.svc.SetOutage(round%2 == 0) })
	must.NoError(t, err)
	must.Eq(t, uint64(9), res.State.Offset)
}

// newerStatePeers send a state that is newer than the position they reported: a record is appended
// between the answer and the transfer.
type newerStatePeers struct {
	Peers
	f *fleet
}

func (p newerStatePeers) State(context.Context, string) (*fold.State, error) {
	p.f.publish(1, "meanwhile")
	return p.f.states[len(p.f.states)-1], nil
}

// Records are appended in quick succession while a daemon restarts, so that a fetched state is
// beyond the end of the log as read before. Guards against taking that for a log that has lost
// records, which would delay serving by a round.
func TestStateIsNewerThanTheEndThatWasRead(t *testing.T) {
	f := newFleet(9)
	f.peer("a", 9, 9)
	f.opts.Peers = newerStatePeers{&f.peers, f}
	f.mustServe(t, 10, NoProblem)
	must.Zero(t, f.waits)
}

// During a program upgrade a daemon fetches a state from one whose program has narrower limits and
// rejected the newest document. That state has the offset and chain of the log's last record and
// the document before it. Guards against serving the old document until the operator publishes the
// next version.
func TestRecover_PeerStateLacksLastDocument(t *testing.T) {
	f := newFleet(0)
	f.append(documentRecord(1))
	f.append(documentRecord(2))
	m := f.states[2].Encode()
	m.Document = f.states[1].Document()
	stale, err := fold.Decode(m)
	must.NoError(t, err)
	f.peerWith("a", stale, 2)
	r := f.mustServe(t, 2, NoProblem)
	must.Eq(t, FromPeer, r.From)
	must.Eq(t, uint64(2), r.State.Document().GetVersion())
}

// documentRecord returns the record of a document with a version and without routes.
func documentRecord(version uint64) []byte {
	data, err := fold.EncodeDocument(&configpb.Document{Version: version})
	if err != nil {
		panic(err)
	}
	return data
}

// The log is available, its newest configuration is invalid, and no other daemon has a state.
// Guards against reporting that the log is down, which would lead operators to a platform that
// works.
func TestRecover_NewestConfigInvalid(t *testing.T) {
	f := newFleet(1)
	var lines bytes.Buffer
	f.opts.Logger = slog.New(slog.NewTextHandler(&lines, nil))
	f.config.TruncateBefore(2)
	f.opts.LoadCheckpoint = func(context.Context) (*fold.State, error) {
		return fold.FromDocument(1, contractRecord("no document", 1))
	}
	_, err := f.recover(nil)
	must.ErrorIs(t, err, errWaits)
	must.Eq(t, ProblemInvalidConfig, f.last.Problem)
	must.False(t, f.last.CanServe())
	must.StrContains(t, lines.String(), fold.ErrBadDocument.Error())
}

// A host with a slow link starts. The log sends a complete configuration with its bounds, which
// takes 8 s on 5 Mbit/s. If other daemons have the state, callers are served after
// LogTimeoutWithPeers. Otherwise the daemon waits for the log: a request that is restarted every
// 2 s would never complete.
func TestRecover_SlowLog(t *testing.T) {
	const takes = 8 * time.Second
	for name, tc := range map[string]struct {
		peers    int
		from     Origin
		atLeast  time.Duration
		lessThan time.Duration
	}{
		"with peers":    {3, FromPeer, 0, takes / 2},
		"without peers": {0, FromEmpty, takes, 2 * takes},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				for i := range tc.peers {
					f.peer(fmt.Sprint("peer-", i), 3, 3)
				}
				f.opts.Config = slowBoundsLog{f.config, takes}
				f.opts.LogTimeout = time.Minute
				began := time.Now()
				r := f.mustServe(t, 3, NoProblem)
				took := time.Since(began)
				must.Eq(t, tc.from, r.From)
				must.Between(t, tc.atLeast, took, tc.lessThan)
			})
		})
	}
}

// slowBoundsLog is a log that answers a request for its bounds after a delay.
type slowBoundsLog struct {
	eventlog.Log
	takes time.Duration
}

func (l slowBoundsLog) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	select {
	case <-time.After(l.takes):
		return l.Log.Bounds(ctx)
	case <-ctx.Done():
		return eventlog.Bounds{}, eventlog.Unavailable(ctx.Err())
	}
}
