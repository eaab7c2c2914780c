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
	w := newWorld(9)
	w.peer("a", 5, 8)
	w.svc.SetOutage(true)
	w.mustWait(t, ProblemBehind)
	res, err := w.recover(func(round int) { w.svc.SetOutage(round < 3) })
	must.NoError(t, err)
	must.Eq(t, 3, w.waits)
	must.Eq(t, uint64(9), res.State.Offset)
}

// The log is unavailable, and the only daemon that answers was paused and knows no floor above
// its own version 5. It is one of six known daemons, so the floor remains unknown.
func TestRecover_WaitsIfTooFewPeersAnswer(t *testing.T) {
	w := newWorld(9)
	w.peer("a", 5, 5)
	w.peers.known = 6
	w.svc.SetOutage(true)
	w.mustWait(t, ProblemNoSource)
	w.svc.SetOutage(false)
	w.mustServe(t, 9, NoProblem)
}

// The log is unavailable and enough daemons answer. Guards against an outage of the platform
// causing one of this host.
func TestRecover_ServesPeerStateWhileLogIsUnavailable(t *testing.T) {
	w := newWorld(9)
	w.peer("a", 7, 6)
	w.peer("b", 9, 8)
	w.peer("c", 8, 8)
	w.peers.known = 20
	w.svc.SetOutage(true)
	res := w.mustServe(t, 9, NoProblem)
	must.Eq(t, FromPeer, res.From)
	must.Eq(t, uint64(8), res.Floor)
	must.Zero(t, w.waits)

	w.peers.answers, w.peers.known = w.peers.answers[:2], 3
	w.mustServe(t, 9, NoProblem)
	delete(w.peers.states, "a")
	delete(w.peers.states, "b")
	w.peers.answers[0].Floor, w.peers.answers[1].Floor = 0, 0
	w.mustWait(t, ProblemBehind)
}

// The log is unavailable, and no daemon answers or only daemons that have just started
// themselves. The first start of a fleet cannot be distinguished from a restart of all daemons,
// so nothing is served.
func TestRecover_WaitsIfNoPeerHasVersionInForce(t *testing.T) {
	w := newWorld(9)
	w.svc.SetOutage(true)
	w.mustWait(t, ProblemNoSource)
	w.peer("a", 0, 0)
	w.peer("b", 0, 0)
	w.mustWait(t, ProblemNoSource)
}

// An empty log means that nothing has been published, and the empty state is served. If a daemon
// or a checkpoint proves that there was a version, the log has lost it and nothing is served.
func TestRecover_FirstStartOfFleet(t *testing.T) {
	w := newWorld(0)
	w.peer("a", 0, 0)
	res := w.mustServe(t, 0, NoProblem)
	must.Eq(t, FromScratch, res.From)

	told := map[string]func(w *world){
		"a daemon knows a floor": func(w *world) { w.peerWith("a", fold.Empty(), 3) },
		"there is a checkpoint":  func(w *world) { w.checkpoint(9) },
	}
	t.Run("checkpoints cannot be read", func(t *testing.T) {
		w := newWorld(0)
		w.opts.Checkpoints = down{}
		w.mustWait(t, ProblemNoSource)
	})
	for name, tell := range told {
		t.Run(name, func(t *testing.T) {
			w := newWorld(9)
			w.config.TruncateEnd(1)
			tell(w)
			w.mustWait(t, ProblemLogWentBack)
		})
	}
}

// The host is replaced by one with the same name. The previous daemon, which has version 8 in
// force, still runs, or another daemon knows its floor. Callers must not see version 7.
func TestRecover_HostReplacedUnderSameName(t *testing.T) {
	for name, mark := range map[string]func(w *world){
		"previous daemon answers":  func(w *world) { w.peer(own, 8, 0); delete(w.peers.states, own) },
		"a daemon knows its floor": func(w *world) { w.peer("c", 7, 8) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(9)
			w.peer("a", 7, 7)
			w.peer("b", 7, 7)
			mark(w)
			w.svc.SetOutage(true)
			w.mustWait(t, ProblemBehind)
		})
	}
}

// The log loses its last records. Daemons with these in force continue to serve them and report
// the problem. A daemon that starts gets the state from them, and waits while too few of them
// answer for the floor to be known.
func TestRecover_LogLosesLastRecords(t *testing.T) {
	w := newWorld(9)
	w.config.TruncateEnd(5)
	w.peer("a", 9, 9)
	w.peers.known = 5
	w.mustWait(t, ProblemLogWentBack)
	w.peer("b", 9, 9)
	w.peer("c", 8, 7)
	w.mustServe(t, 9, ProblemLogWentBack)

	// The problem is reported as well if only an older state can be fetched.
	w.peer("d", 4, 0)
	for i, a := range w.peers.answers[:3] {
		delete(w.peers.states, a.Host)
		w.peers.answers[i].Floor = 4
	}
	w.mustServe(t, 4, ProblemLogWentBack)
}

// The log loses its records from offset 5 on and assigns the offsets up to 12 again. Folding its
// records onto version 9, which daemons have in force, would mix two histories. A daemon that
// starts serves version 9 if enough daemons answer, and waits otherwise.
func TestRecover_LogReusesOffsets(t *testing.T) {
	w := newWorld(9)
	w.peer("a", 9, 9)
	w.peers.known = 5
	old := w.states[9]
	w.config.TruncateEnd(5)
	w.states = w.states[:5]
	w.publish(8, "second")
	w.mustWait(t, ProblemLogWentBack)
	w.peerWith("b", old, 8)
	w.peerWith("c", old, 9)
	res := w.mustServe(t, 9, ProblemLogWentBack)
	must.Eq(t, old.Chain, res.State.Chain)
}

// The log reuses offsets, and the only available state is a checkpoint at offset 4, from before
// the loss. Folding the log from there results in another chain at offset 9 than a daemon
// reports. Serving that state could revert the configuration on this host.
func TestRecover_DetectsForkWhileFolding(t *testing.T) {
	w := newWorld(9)
	w.peer("a", 9, 9)
	delete(w.peers.states, "a")
	w.checkpoint(4)
	w.config.TruncateEnd(5)
	w.states = w.states[:5]
	w.publish(8, "second")
	w.mustWait(t, ProblemForked)
	w.peer("b", 9, 9)
	w.mustWait(t, ProblemForked)
}

// While the log is unavailable, a daemon fetches the state of the only daemon that answers,
// without serving it. Then that daemon ends, and all others have another history. The fetched
// state was never in force on this host and must not keep it from using the state of the others.
func TestRecover_DropsFetchedStateOfForkedHistory(t *testing.T) {
	w := newWorld(9)
	w.peer("a", 9, 9)
	w.peers.known = 9
	w.config.TruncateEnd(5)
	w.states = w.states[:5]
	w.publish(5, "second")
	w.svc.SetOutage(true)
	res, err := w.recover(func(round int) {
		if round > 1 {
			return
		}
		w.peers.answers = nil
		for _, host := range []string{"b", "c", "d"} {
			w.peer(host, 9, 0)
		}
	})
	must.NoError(t, err)
	must.Eq(t, 2, w.waits)
	must.Eq(t, w.states[9].Chain, res.State.Chain)
}

// A running daemon has version 3 in force while the log starts at offset 7. It continues from the
// checkpoint that precedes the first record of the log, and never from an older one.
func TestRecover_RunningDaemonBehindRetention(t *testing.T) {
	w := newWorld(9)
	w.checkpoint(2)
	w.checkpoint(6)
	w.config.Cut(7)
	w.opts.Own = w.states[3]
	res := w.mustServe(t, 9, NoProblem)
	must.Eq(t, FromCheckpoint, res.From)
	must.Eq(t, w.states[9].Chain, res.State.Chain)
}

// All records of the log have expired without a checkpoint. Only the memory of other daemons
// holds the state, and a daemon that starts gets it from them.
func TestRecover_StateHeldByPeersOnly(t *testing.T) {
	w := newWorld(9)
	w.config.Cut(10)
	w.mustWait(t, ProblemHistoryLost)
	w.peer("a", 9, 9)
	res := w.mustServe(t, 9, NoProblem)
	must.Eq(t, FromPeer, res.From)
}

// Records 6 and 7 expire before any daemon has read them. Daemons continue to serve version 5 and
// report the problem. A daemon that starts does the same unless version 5 is below its floor.
func TestRecover_RecordsExpireUnread(t *testing.T) {
	w := newWorld(9)
	w.config.Cut(8)
	w.peer("a", 5, 5)
	w.mustServe(t, 5, ProblemHistoryLost)
	w.opts.Own = w.states[4]
	w.mustServe(t, 5, ProblemHistoryLost)
	w.opts.Own = nil
	w.peers.answers[0].Floor = 6
	w.mustWait(t, ProblemHistoryLost)
}

// Record 10 needs a newer program, which runs on some daemons. A daemon with an older program
// serves the floor once enough daemons answer, and never a state that it cannot decode.
func TestRecover_UnsupportedRecord(t *testing.T) {
	w := newWorld(9)
	w.append(newerRecord())
	w.mustWait(t, ProblemBlocked)
	w.peerWith("newer", &fold.State{Offset: 10, Chain: fold.Chain{1}}, 8)
	delete(w.peers.states, "newer")
	w.mustServe(t, 9, ProblemBlocked)
	w.peer("b", 7, 10)
	w.mustWait(t, ProblemBlocked)
}

// A daemon reports version 9, restarts, and then sends an older state. Guards against serving that
// state, which is older than the reported one.
func TestRecover_PeerSendsOlderStateThanReported(t *testing.T) {
	w := newWorld(9)
	w.peer("a", 9, 6)
	w.peers.states["a"] = w.states[6]
	w.svc.SetOutage(true)
	w.mustWait(t, ProblemBehind)
}

// All daemons restart. A daemon that knows others waits once before it reads the checkpoint. If
// another daemon has a state by then, that state is used and the checkpoint is not read.
func TestRecover_FleetRestartSkipsCheckpoint(t *testing.T) {
	w := newWorld(9)
	w.checkpoint(9)
	w.peer("a", 0, 0)
	before := w.svc.Counters().BytesOut
	res, err := w.recover(func(int) {
		w.peers.answers, w.peers.known = nil, 0
		w.peer("a", 9, 0)
	})
	must.NoError(t, err)
	must.Eq(t, FromPeer, res.From)
	must.Eq(t, before+uint64(len(contractRecord("first", 9))), w.svc.Counters().BytesOut, must.Sprint("more than record 9 was read from the log"))

	w.peers.answers = nil
	res, err = w.recover(nil)
	must.NoError(t, err)
	must.Eq(t, 1, w.waits)
	must.Eq(t, FromCheckpoint, res.From)
}

// The log becomes unavailable several times while its records are folded. Folded records are
// kept, and nothing is served in between.
func TestRecover_LogFailsWhileCatchingUp(t *testing.T) {
	w := newWorld(9)
	w.checkpoint(3)
	w.config.Cut(3)
	w.svc.SetOutage(true)
	res, err := w.recover(func(round int) { w.svc.SetOutage(round%2 == 0) })
	must.NoError(t, err)
	must.Eq(t, uint64(9), res.State.Offset)
}

// fresherPeers send a state that is newer than the position they reported: a record is appended
// between the answer and the transfer.
type fresherPeers struct {
	Peers
	w *world
}

func (p fresherPeers) State(context.Context, string) (*fold.State, error) {
	p.w.publish(1, "meanwhile")
	return p.w.states[len(p.w.states)-1], nil
}

// Records are appended in quick succession while a daemon restarts, so that a fetched state is
// beyond the end of the log as read before. Guards against taking that for a log that has lost
// records, which would delay serving by a round.
func TestStateIsNewerThanTheEndThatWasRead(t *testing.T) {
	w := newWorld(9)
	w.peer("a", 9, 9)
	w.opts.Peers = fresherPeers{&w.peers, w}
	w.mustServe(t, 10, NoProblem)
	must.Zero(t, w.waits)
}

// During a program upgrade a daemon fetches a state from one whose program has narrower limits and
// rejected the newest document. That state has the offset and chain of the log's last record and
// the document before it. Guards against serving the old document until the operator publishes the
// next version.
func TestRecover_PeerStateLacksLastDocument(t *testing.T) {
	w := newWorld(0)
	w.append(documentRecord(1))
	w.append(documentRecord(2))
	m := w.states[2].Encode()
	m.Document = w.states[1].Document()
	narrow, err := fold.Decode(m)
	must.NoError(t, err)
	w.peerWith("a", narrow, 2)
	r := w.mustServe(t, 2, NoProblem)
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
	w := newWorld(1)
	var lines bytes.Buffer
	w.opts.Logger = slog.New(slog.NewTextHandler(&lines, nil))
	w.config.Cut(2)
	w.opts.LoadCheckpoint = func(context.Context) (*fold.State, error) {
		return fold.FromDocument(1, contractRecord("no document", 1))
	}
	_, err := w.recover(nil)
	must.ErrorIs(t, err, errWaits)
	must.Eq(t, ProblemUnusable, w.last.Problem)
	must.False(t, w.last.Serve())
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
		"without peers": {0, FromScratch, takes, 2 * takes},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(3)
				for i := range tc.peers {
					w.peer(fmt.Sprint("peer-", i), 3, 3)
				}
				w.opts.Config = slowEnd{w.config, takes}
				w.opts.LogTimeout = time.Minute
				began := time.Now()
				r := w.mustServe(t, 3, NoProblem)
				took := time.Since(began)
				must.Eq(t, tc.from, r.From)
				must.Between(t, tc.atLeast, took, tc.lessThan)
			})
		})
	}
}

// slowBoundsLog is a log that answers a request for its bounds after a delay.
type slowEnd struct {
	eventlog.Log
	takes time.Duration
}

func (l slowEnd) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	select {
	case <-time.After(l.takes):
		return l.Log.Bounds(ctx)
	case <-ctx.Done():
		return eventlog.Bounds{}, eventlog.Unavailable(ctx.Err())
	}
}
