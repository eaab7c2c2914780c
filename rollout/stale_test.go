package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// handOver lets a second decider take over at one time after the order and give back at another one. The
// decider without reports keeps executing its tasks.
func (s *sim) handOver(from, to time.Duration) (other *Decider, run func()) {
	first, other := s.decider, NewDecider(s.opts)
	return other, func() {
		for s.age() < s.order.Duration+6*time.Second {
			s.decider = first
			if s.age() >= from && s.age() < to {
				s.decider = other
			}
			s.step()
			for _, d := range []*Decider{first, other} {
				s.runTasksOf(d)
			}
		}
	}
}

// Guards against a daemon that decided for a while and rolls back at the deadline what the present
// decider has finished: the operator then takes away both versions.
func TestDecider_WithoutReportsEndsNothing(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 9, 9, 200)
		other, run := s.handOver(6*time.Second, 8*time.Second)
		run()
		must.Eq(t, Succeeded, s.recorded, must.Sprintf("seed %d", seed))
		must.MapNotContainsKey(t, s.reportedAt, RolledBack, must.Sprintf("seed %d", seed))
		must.SliceEmpty(t, other.Tasks(s.now.Add(rolloutRetention)))
		must.True(t, other.Idle())
	}
}

// Guards against a decider that is cut off with one gate of the new version and reports a success while
// gates of the old version are open: the operator stops their servers at once.
func TestDecider_CutOffWithOneGateEndsNothing(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 9, 9, 200)
		cutOff := NewDecider(s.opts)
		for s.age() < s.order.Duration {
			s.step()
			for _, v := range s.all() {
				if s.age() < 4*time.Second || v == s.newServers[0] {
					p := cutOff.Report(s.order, v.tracker.Report(s.now), s.now)
					must.True(t, s.age() < 6*time.Second || p.Mode == Closed || s.recorded != Undecided, must.Sprintf("seed %d at %v: %+v", seed, s.age(), p))
				}
			}
			for _, task := range cutOff.Tasks(s.now) {
				must.True(t, task.Outcome == Undecided || s.recorded != Undecided, must.Sprintf("seed %d at %v: %v", seed, s.age(), task.Outcome))
				if task.Load {
					cutOff.Loaded(task.Order, Undecided)
					continue
				}
				cutOff.Recorded(task.Order, task.Outcome)
			}
		}
		must.Eq(t, Succeeded, s.recorded)
	}
}
