package recovery

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
)

// countingLog counts the requests for the bounds of a log.
type countingLog struct {
	eventlog.Log
	bounds int
}

func (l *countingLog) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	l.bounds++
	return l.Log.Bounds(ctx)
}

// newPreferPeersFleet returns a fleet with PreferPeers set and the log of its daemon.
func newPreferPeersFleet() (*fleet, *countingLog) {
	f := newFleet(9)
	log := &countingLog{Log: f.config}
	f.opts.Config, f.opts.PreferPeers = log, true
	return f, log
}

// One host restarts while other daemons run. Guards against a needless request for the bounds of
// the log: the platform sends the complete newest document with them, which costs a platform call
// per start and, on a slow link, time in which callers are refused. Enough daemons know both the
// floor and the state.
func TestPreferPeers_SkipsLog(t *testing.T) {
	f, log := newPreferPeersFleet()
	f.peer("a", 9, 9)
	f.peer("b", 9, 8)
	f.peer("c", 8, 8)
	f.peers.known = 20
	res := f.mustServe(t, 9, NoProblem)
	must.Eq(t, FromPeer, res.From)
	must.Eq(t, uint64(9), res.Floor)
	must.Zero(t, log.bounds)
}

// Three of twenty daemons answer, and one of them has just started. Their floors are not
// sufficient, so the log is read immediately.
func TestPreferPeers_ReadsLogIfTooFewPeersAnswer(t *testing.T) {
	f, log := newPreferPeersFleet()
	f.peer("a", 7, 7)
	f.peer("b", 7, 7)
	f.peer("c", 0, 0)
	f.peers.known = 20
	f.mustServe(t, 9, NoProblem)
	must.Positive(t, log.bounds)
}

// Enough daemons answer, but all lag behind the floor that one of them knows. Their states must
// not be served; the log holds the missing records.
func TestPreferPeers_ReadsLogIfPeersAreBelowFloor(t *testing.T) {
	f, log := newPreferPeersFleet()
	f.peer("a", 6, 6)
	f.peer("b", 7, 8)
	f.peer("c", 7, 7)
	f.peers.known = 20
	f.mustServe(t, 9, NoProblem)
	must.Eq(t, 1, f.waits)
	must.Positive(t, log.bounds)
}

// Enough daemons answer, but their states cannot be fetched because they have restarted since.
func TestPreferPeers_ReadsLogIfPeerStatesUnavailable(t *testing.T) {
	f, log := newPreferPeersFleet()
	for _, host := range []string{"a", "b", "c"} {
		f.peer(host, 9, 9)
		delete(f.peers.states, host)
	}
	f.mustServe(t, 9, NoProblem)
	must.Positive(t, log.bounds)
}

// All hosts start at the same time after a power loss, so that no daemon has a version in force.
// Guards against a second request for the bounds of the log, with which the platform sends its
// complete newest configuration: a round must not end for a wait of zero before the checkpoint is
// read.
func TestPreferPeers_FleetStartReadsBoundsOnce(t *testing.T) {
	f, log := newPreferPeersFleet()
	f.opts.Stagger = 0
	for _, host := range []string{"a", "b", "c"} {
		f.peer(host, 0, 0)
	}
	f.checkpoint(9)
	f.mustServe(t, 9, NoProblem)
	must.Eq(t, 1, log.bounds)
	must.Zero(t, f.waits)
}
