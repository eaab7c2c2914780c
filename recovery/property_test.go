package recovery

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/eventlog"
)

// drawWorld draws a log of some records of which retention has dropped some,
// checkpoints, and daemons that lag in what they have and in what they heard.
func drawWorld(t *rapid.T) (w *world, end int) {
	end = rapid.IntRange(0, 12).Draw(t, "records")
	w = newWorld(end)
	for range rapid.IntRange(0, 2).Draw(t, "checkpoints") {
		w.checkpoint(rapid.IntRange(0, end).Draw(t, "checkpoint"))
	}
	for _, host := range []string{"a", "b", "c", "d"}[:rapid.IntRange(0, 4).Draw(t, "daemons")] {
		w.peer(host, rapid.IntRange(0, end).Draw(t, "in force"), uint64(rapid.IntRange(0, end).Draw(t, "heard")))
		if rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
			delete(w.peers.states, host)
		}
	}
	w.peers.known += rapid.IntRange(0, 8).Draw(t, "silent")
	w.config.Cut(eventlog.Offset(rapid.IntRange(1, end+1).Draw(t, "first")))
	return w, end
}

// heard returns the highest floor that a daemon heard, and how many have
// something in force.
func (w *world) heard() (floor uint64, inForce int) {
	for _, a := range w.peers.answers {
		floor = max(floor, a.Floor)
		if a.Offset > 0 {
			inForce++
		}
	}
	return floor, inForce
}

// Whatever lags, has gone or has expired, and whether or not the log is up at
// first: what is served is at or above every floor heard of. Where too few
// daemons have answered it is the log's end, and nothing where that cannot be
// reached. A state is always the one that the log leads to.
func TestServesNothingBelowTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, end := drawWorld(t)
		w.svc.SetOutage(rapid.Bool().Draw(t, "down"))
		comesBack := rapid.IntRange(1, 2*maxRounds).Draw(t, "comes back")
		res, err := w.recover(func(round int) {
			if round >= comesBack {
				w.svc.SetOutage(false)
			}
		})
		floor, inForce := w.heard()
		enough := inForce > 0 && inForce >= min(3, w.peers.known/2+1)
		if err != nil {
			must.ErrorIs(t, err, errWaits)
			return
		}
		must.Eq(t, encoded(w.states[res.State.Offset]), encoded(res.State))
		must.GreaterEq(t, floor, res.State.Offset)
		must.GreaterEq(t, res.Floor, res.State.Offset)
		must.True(t, enough || res.State.Offset == uint64(end))
	})
}

// With the log up for good and a way to its end at hand, every daemon gets
// there: no fault that is over may keep one from serving.
func TestServesOnceThereIsAWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, end := drawWorld(t)
		bounds, _ := w.config.Bounds(t.Context())
		reach := bounds.First == 1
		for _, st := range w.peers.states {
			reach = reach || st.Offset+1 >= bounds.First
		}
		for _, offset := range w.written {
			reach = reach || offset+1 >= bounds.First
		}
		res, err := w.recover(nil)
		if !reach {
			must.True(t, err != nil || res.Problem == ProblemHistoryLost)
			return
		}
		must.NoError(t, err)
		must.Eq(t, uint64(end), res.State.Offset)
		must.Eq(t, NoProblem, res.Problem)
	})
}
