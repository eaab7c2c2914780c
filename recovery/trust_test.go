package recovery

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
)

// asked counts the questions where a log ends.
type asked struct {
	eventlog.Log
	bounds int
}

func (a *asked) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	a.bounds++
	return a.Log.Bounds(ctx)
}

// newTrustingWorld returns a world in which daemons are taken at their word.
func newTrustingWorld() (*world, *asked) {
	w := newWorld(9)
	log := &asked{Log: w.config}
	w.opts.Config, w.opts.PreferPeers = log, true
	return w, log
}

// A host restarts beside living daemons. It asked the platform where the log ends, which
// sends the whole newest document with the answer: a call for each start and, over a narrow
// link, the time in which its callers are refused. Enough daemons know both.
func TestEnoughDaemonsSpareTheLog(t *testing.T) {
	w, log := newTrustingWorld()
	w.peer("a", 9, 9)
	w.peer("b", 9, 8)
	w.peer("c", 8, 8)
	w.peers.known = 20
	res := w.mustServe(t, 9, NoProblem)
	must.Eq(t, FromPeer, res.From)
	must.Eq(t, uint64(9), res.Floor)
	must.Zero(t, log.bounds)
}

// Two daemons answer of twenty, or all that answer have just started as well. What they
// have heard is not taken for the floor, so the log is asked at once.
func TestTooFewDaemonsLeadToTheLog(t *testing.T) {
	w, log := newTrustingWorld()
	w.peer("a", 7, 7)
	w.peer("b", 7, 7)
	w.peer("c", 0, 0)
	w.peers.known = 20
	w.mustServe(t, 9, NoProblem)
	must.Positive(t, log.bounds)
}

// Enough daemons answer, but none has what the host had in force before: they lag, and one
// has heard of it. Their states must not be served; the log has the rest.
func TestDaemonsBelowTheFloorLeadToTheLog(t *testing.T) {
	w, log := newTrustingWorld()
	w.peer("a", 6, 6)
	w.peer("b", 7, 8)
	w.peer("c", 7, 7)
	w.peers.known = 20
	w.mustServe(t, 9, NoProblem)
	must.Eq(t, 1, w.waits)
	must.Positive(t, log.bounds)
}

// Enough daemons answer and then none gives its state: they have restarted meanwhile.
func TestDaemonsThatGiveNothingLeadToTheLog(t *testing.T) {
	w, log := newTrustingWorld()
	for _, host := range []string{"a", "b", "c"} {
		w.peer(host, 9, 9)
		delete(w.peers.states, host)
	}
	w.mustServe(t, 9, NoProblem)
	must.Positive(t, log.bounds)
}

// All hosts lose power and start at once, so that daemons answer which have nothing. The
// platform sends its whole newest configuration with the log's end, and a start asked for
// that twice: a round ended for the wait before the checkpoint is read, which is nothing
// there, and the next began with the same question.
func TestStartOfAll_LogIsAskedOnce(t *testing.T) {
	w, log := newTrustingWorld()
	w.opts.Stagger = 0
	for _, host := range []string{"a", "b", "c"} {
		w.peer(host, 0, 0)
	}
	w.checkpoint(9)
	w.mustServe(t, 9, NoProblem)
	must.Eq(t, 1, log.bounds)
	must.Zero(t, w.waits)
}
