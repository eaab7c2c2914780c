package recovery

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/eventlog"
)

// drawFleet draws a log of which retention may have dropped the first records, checkpoints, and
// daemons with random versions in force and random floors.
func drawFleet(t *rapid.T) (f *fleet, end int) {
	end = rapid.IntRange(0, 12).Draw(t, "records")
	f = newFleet(end)
	for range rapid.IntRange(0, 2).Draw(t, "checkpoints") {
		f.checkpoint(rapid.IntRange(0, end).Draw(t, "checkpoint"))
	}
	for _, host := range []string{"a", "b", "c", "d"}[:rapid.IntRange(0, 4).Draw(t, "daemons")] {
		f.peer(host, rapid.IntRange(0, end).Draw(t, "in force"), uint64(rapid.IntRange(0, end).Draw(t, "floor")))
		if rapid.IntRange(0, 4).Draw(t, "state unavailable") == 0 {
			delete(f.peers.states, host)
		}
	}
	f.peers.known += rapid.IntRange(0, 8).Draw(t, "not answering")
	f.config.TruncateBefore(eventlog.Offset(rapid.IntRange(1, end+1).Draw(t, "first")))
	return f, end
}

// knownFloor returns the highest floor in the daemons' answers, and the number of daemons with a
// version in force.
func (f *fleet) knownFloor() (floor uint64, inForce int) {
	for _, a := range f.peers.answers {
		floor = max(floor, a.Floor)
		if a.Offset > 0 {
			inForce++
		}
	}
	return floor, inForce
}

// Whichever daemons lag or have ended, whichever records have expired, and whether or not the log
// is available at first: the served state is at or above every known floor and equals the fold of
// the log up to its offset. If too few daemons have answered, it is the state at the end of the
// log, and nothing is served where that cannot be reached.
func TestRecoverProperty_ServesNothingBelowFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, end := drawFleet(t)
		f.svc.SetOutage(rapid.Bool().Draw(t, "outage"))
		availableFrom := rapid.IntRange(1, 2*maxRounds).Draw(t, "available from round")
		res, err := f.recover(func(round int) {
			if round >= availableFrom {
				f.svc.SetOutage(false)
			}
		})
		floor, inForce := f.knownFloor()
		enough := inForce > 0 && inForce >= min(3, f.peers.known/2+1)
		if err != nil {
			must.ErrorIs(t, err, errWaits)
			return
		}
		must.Eq(t, encoded(f.states[res.State.Offset]), encoded(res.State))
		must.GreaterEq(t, floor, res.State.Offset)
		must.GreaterEq(t, res.Floor, res.State.Offset)
		must.True(t, enough || res.State.Offset == uint64(end))
	})
}

// While the log is available and its end can be reached from some state, each daemon serves the end
// of the log. Guards against past failures that keep a daemon from serving.
func TestRecoverProperty_ServesIfLogEndIsReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, end := drawFleet(t)
		bounds, _ := f.config.Bounds(t.Context())
		reachable := bounds.First == 1
		for _, st := range f.peers.states {
			reachable = reachable || st.Offset+1 >= bounds.First
		}
		for _, offset := range f.checkpointOffsets {
			reachable = reachable || offset+1 >= bounds.First
		}
		res, err := f.recover(nil)
		if !reachable {
			must.True(t, err != nil || res.Problem == ProblemRetentionGap)
			return
		}
		must.NoError(t, err)
		must.Eq(t, uint64(end), res.State.Offset)
		must.Eq(t, NoProblem, res.Problem)
	})
}
