package gate_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	unlimitedSlots = 1000
	ms             = time.Millisecond
	capacity       = 1000.0 // calls of 10 ms per second in 10 slots
	modelTime      = 4 * time.Second
)

// deadlineMix offers a load, as a multiple of the capacity, of calls with deadlines of 30 ms, 100
// ms and 1 s.
func deadlineMix(load float64) []source {
	return []source{
		{"a", 0.3 * load * capacity, 10 * ms, 30 * ms},
		{"a", 0.4 * load * capacity, 10 * ms, 100 * ms},
		{"a", 0.3 * load * capacity, 10 * ms, 1000 * ms},
	}
}

// Callers offer two and four times the capacity of the backend server. A queue without forecasts
// spends slots on calls that then miss their deadline, and lets others wait in vain. The gate
// must answer nearly as many calls in time as at capacity, with similar fractions for each
// deadline, and reject the rest on arrival.
func TestGoodputUnderOverload(t *testing.T) {
	for _, e := range []struct {
		name  string
		new   func() admitter
		loads []float64
	}{
		{"oldest first", order(oldest).newAdmitter, []float64{1, 2}},
		{"newest first", order(newest).newAdmitter, []float64{1, 2}},
		{"earliest deadline first", order(earliest).newAdmitter, []float64{1, 2}},
		{"gate", newGateAdmitter, []float64{1, 2, 4}},
	} {
		var atCapacity float64
		for _, load := range e.loads {
			ts := model{e.new, unlimitedSlots, modelTime, deadlineMix(load)}.run(t)
			var all tally
			for _, x := range ts {
				all.add(x)
			}
			goodput := float64(all.inTime) / modelTime.Seconds()
			if load == 1 {
				atCapacity = goodput
			}
			t.Logf("%-23s %.0fx: goodput %4.0f/s (%.2f), late %.3f, refused at once %.3f, after a wait %.3f; in time by deadline %.2f %.2f %.2f",
				e.name, load, goodput, goodput/atCapacity, all.share(all.late), all.share(all.onArrival), all.share(all.afterWait),
				ts[0].share(ts[0].inTime), ts[1].share(ts[1].inTime), ts[2].share(ts[2].inTime))
			if e.name != "gate" {
				continue
			}
			must.GreaterEq(t, 0.97*capacity, atCapacity)
			must.GreaterEq(t, 0.95, goodput/atCapacity)
			must.Less(t, 0.01, all.share(all.late)+all.share(all.afterWait))
			must.GreaterEq(t, 0.8/load, min(ts[0].share(ts[0].inTime), ts[1].share(ts[1].inTime), ts[2].share(ts[2].inTime)))
		}
	}
}

// One customer sends four times the capacity, two others a tenth of it each. The others' calls
// must be answered as if the first customer sent none.
func TestFloodAffectsOnlyItsCustomer(t *testing.T) {
	sources := []source{
		{"flood", 4 * capacity, 10 * ms, 1000 * ms},
		{"b", 0.1 * capacity, 10 * ms, 50 * ms},
		{"c", 0.1 * capacity, 10 * ms, 50 * ms},
	}
	plain := model{order(oldest).newAdmitter, unlimitedSlots, modelTime, sources}.run(t)
	ts := model{newGateAdmitter, unlimitedSlots, modelTime, sources}.run(t)
	t.Logf("in time of flood, b, c: %.3f %.3f %.3f, first come first served: %.3f %.3f %.3f",
		ts[0].share(ts[0].inTime), ts[1].share(ts[1].inTime), ts[2].share(ts[2].inTime),
		plain[0].share(plain[0].inTime), plain[1].share(plain[1].inTime), plain[2].share(plain[2].inTime))
	must.GreaterEq(t, 0.99, ts[1].share(ts[1].inTime))
	must.GreaterEq(t, 0.99, ts[2].share(ts[2].inTime))
	must.Less(t, 0.02, ts[0].share(ts[0].late)+ts[0].share(ts[0].afterWait))
	must.GreaterEq(t, 0.75*capacity*modelTime.Seconds(), float64(ts[0].inTime))
}

// One customer sends uploads of one second at twice the capacity, another one lookups at a
// twentieth of it. Uploads could occupy all slots, and a lookup cannot wait for the end of one.
// The slots reserved for fast customers must prevent that.
func TestUploadsLeaveSlotsForLookups(t *testing.T) {
	sources := []source{
		{"uploads", 20, time.Second, 4 * time.Second},
		{"lookups", 100, 5 * ms, 50 * ms},
	}
	ts := model{newGateAdmitter, unlimitedSlots, 3 * modelTime, sources}.run(t)
	used := float64(ts[0].inTime) / (10 * 3 * modelTime.Seconds())
	t.Logf("lookups in time %.3f, slots used by uploads %.2f", ts[1].share(ts[1].inTime), used)
	must.GreaterEq(t, 0.95, ts[1].share(ts[1].inTime))
	must.GreaterEq(t, 0.8, used)
}

// A backend server announces 10 slots and sheds calls beyond 6. Without a limit that follows,
// each shed call would release its slot at once to the next call, which would be shed as well.
func TestLimitFollowsShedding(t *testing.T) {
	sources := []source{{"a", 0.8 * capacity, 10 * ms, 200 * ms}}
	plain := model{order(oldest).newAdmitter, 6, modelTime, sources}.run(t)[0]
	x := model{newGateAdmitter, 6, modelTime, sources}.run(t)[0]
	t.Logf("shed %.4f, in time %.3f; with a fixed limit: shed %.4f, in time %.3f",
		x.share(x.shed), x.share(x.inTime), plain.share(plain.shed), plain.share(plain.inTime))
	must.Less(t, 0.01, x.share(x.shed))
	must.GreaterEq(t, 0.65, x.share(x.inTime))
}
