package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/snapshot"
)

// restartRun plays a customer that sends seven times its rate through all of n hosts. It returns when calls
// were admitted.
func restartRun(n int, c *snapshot.Contract, disturb func(w *world)) []time.Duration {
	const length = 30 * time.Second
	w := newTolerantWorld(Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}, 1, n, c)
	w.runUntil(absenceStart)
	var admitted []time.Duration
	for i, d := range w.daemons {
		list := arrivals(uint64(i+1), 1, length, func(int, time.Duration) float64 { return 7 * c.Rate / float64(n) })
		w.feed(list, func(arrival) {
			d.call(c, func(ok bool) {
				if ok {
					admitted = append(admitted, w.now)
				}
			})
		})
	}
	w.after(5*time.Second, func() { disturb(w) })
	w.runUntil(absenceStart + length)
	return admitted
}

// Guards against daemons that are restarted while they are cut off, and each grant the whole contract
// beside the others: they know themselves only.
func TestFault_restartedWhileCutOffGrantsNoSecondContract(t *testing.T) {
	for _, n := range []int{6, 24, 64} {
		for _, rate := range []float64{40, 300} {
			for _, share := range []float64{0, 0.35} {
				c := &snapshot.Contract{Customer: "customer", Rate: rate, Burst: rate / 2}
				admitted := restartRun(n, c, func(w *world) {
					away := w.daemons[:max(1, int(share*float64(n)))]
					w.restartCutOff(12*time.Second, func() []*snapshot.Contract { return []*snapshot.Contract{c} }, away...)
				})
				must.LessEq(t, int(promised(c)), mostInWindow(admitted), must.Sprint(fmt.Sprintf("%d hosts, share %.2f cut off, rate %.0f", n, share, rate)))
			}
		}
	}
}

// Guards against a customer that is rejected for long after its owner has restarted and found the others.
func TestFault_restartedOwnerGrantsTheRateSoon(t *testing.T) {
	c := &snapshot.Contract{Customer: "customer", Rate: 150, Burst: 150}
	admitted := restartRun(10, c, func(w *world) {
		d := w.owner(c)
		d.boot += 1000
		d.lost = true
		w.boot(d, contractMap([]*snapshot.Contract{c}))
		w.after(500*time.Millisecond, func() {
			d.lost = false
			d.publish()
		})
	})
	from, n := absenceStart+5*time.Second+6*time.Second, 0
	for _, at := range admitted {
		if at >= from && at < from+4*time.Second {
			n++
		}
	}
	must.GreaterEq(t, int(0.9*4*c.Rate), n)
}

// Guards against a customer that gets more than promised while daemons that are cut off restart, one after
// another and several at once, up to a third of them.
func TestManager_RandomRestartsWhileCutOffKeepThePromise(t *testing.T) {
	for seed := range uint64(40) {
		s := newSchedule(seed)
		s.w.runUntil(10 * time.Second)
		s.loadAll()
		start := s.w.now
		for s.w.now < start+scheduleTime-10*time.Second {
			s.w.runUntil(s.w.now + time.Duration(s.rng.Int64N(int64(4*time.Second))))
			length := time.Second + time.Duration(s.rng.Int64N(int64(8*time.Second)))
			var away []*daemon
			for _, i := range s.rng.Perm(len(s.w.daemons))[:1+s.rng.IntN(len(s.w.daemons)/3)] {
				if d := s.w.daemons[i]; !s.down[d] {
					s.down[d] = true
					away = append(away, d)
					s.w.after(length+time.Second, func() { s.down[d] = false })
				}
			}
			s.w.restartCutOff(length, func() []*snapshot.Contract { return slices.Collect(maps.Values(s.contracts)) }, away...)
		}
		s.w.runUntil(start + scheduleTime)
		s.mustKeepPromise(t, seed)
	}
}
