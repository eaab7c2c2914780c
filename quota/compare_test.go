package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/crocuscross/crocuscross/snapshot"
)

// scenario is a distribution of demand over zones, and the faults during the run.
type scenario struct {
	name string
	// demandShare returns the share of the demand that arrives in a zone.
	demandShare func(zone int, at time.Duration) float64
	faults      func(w *world, c *snapshot.Contract)
}

const (
	simZones   = 8
	simWarmup  = 20 * time.Second
	simLength  = 180 * time.Second
	simDwell   = 30 * time.Second
	simFade    = 5 * time.Second
	window     = 10 * time.Second
	faultStart = simWarmup + 100*time.Second
)

// movingDemand returns the share of the demand in a zone if the demand stays in each zone for
// simDwell and moves to the next one within the last simFade of that time.
func movingDemand(zone int, at time.Duration) float64 { return demandInZones(zone, at, 0, simZones) }

// demandInZones is like movingDemand for a demand that moves through the given number of zones,
// starting at first.
func demandInZones(zone int, at time.Duration, first, zones int) float64 {
	if zone < first || zone >= first+zones {
		return 0
	}
	here := int(at/simDwell) % zones
	next := (here + 1) % zones
	left := simDwell - at%simDwell
	gone := max(0, 1-left.Seconds()/simFade.Seconds())
	switch zone - first {
	case here:
		return 1 - gone
	case next:
		return gone
	}
	return 0
}

// demandInTwoRegions returns the share of the demand in a zone if half of it moves through the
// zones of region 0 and half through those of region 1.
func demandInTwoRegions(zone int, at time.Duration) float64 {
	return (demandInZones(zone, at, 0, zonesPerRegion) + demandInZones(zone, at, zonesPerRegion, zonesPerRegion)) / 2
}

func (w *world) owner(c *snapshot.Contract) *daemon {
	for _, d := range w.daemons {
		if !d.dead && !d.paused {
			return w.find(d.m.fleet.Load().owner(c.Customer).Host)
		}
	}
	return nil
}

var scenarios = []scenario{
	{"no faults", movingDemand, func(*world, *snapshot.Contract) {}},
	{"owner killed", movingDemand, func(w *world, c *snapshot.Contract) {
		w.at(faultStart, func() { w.kill(w.owner(c)) })
	}},
	{"owner killed while demand moves", movingDemand, func(w *world, c *snapshot.Contract) {
		w.at(simWarmup+115*time.Second, func() { w.kill(w.owner(c)) })
	}},
	{"owner paused for 40 s and resumed", movingDemand, func(w *world, c *snapshot.Contract) {
		w.at(faultStart, func() {
			o := w.owner(c)
			w.pause(o)
			w.after(40*time.Second, func() { w.resume(o) })
		})
	}},
	{"region partitioned for 60 s", demandInTwoRegions, func(w *world, c *snapshot.Contract) {
		w.at(faultStart, func() { w.partition(func(d *daemon) bool { return d.region == 1 }) })
		w.at(faultStart+60*time.Second, w.heal)
	}},
	{"zone with demand restarted", movingDemand, func(w *world, c *snapshot.Contract) {
		w.at(faultStart, func() { w.restartZone(3, c) })
	}},
}

func (w *world) at(t time.Duration, run func()) { w.after(t-w.now, run) }

// restartZone kills all daemons of a zone and restarts each of them within 3 s.
func (w *world) restartZone(zone int, c *snapshot.Contract) {
	for _, d := range w.daemons {
		if d.zone != zone {
			continue
		}
		d.dead = true
		w.after(w.within(time.Second, 3*time.Second), func() { w.restart(d, c) })
	}
}

// reachable returns the daemon that serves a caller of the daemon with the given index: that
// daemon if it is running, otherwise the next running one in the same zone.
func (w *world) reachable(index int) *daemon {
	perZone := len(w.daemons) / simZones
	first := index / perZone * perZone
	for i := range perZone {
		d := w.daemons[first+(index-first+i)%perZone]
		if !d.dead && !d.paused {
			return d
		}
	}
	return w.daemons[index]
}

// result is the outcome of one run. usable is the number of admitted calls relative to one
// bucket for the whole fleet. excess is the share of the contracted rate by which the worst
// window exceeded it. messages is per second. admissibleRate is the largest rate at which all
// daemons together could admit, as a share of the contract.
type result struct{ usable, excess, messages, admissibleRate float64 }

func (s *scenario) run(build func(*snapshot.Contract, *world) strategy, perZone int, c *snapshot.Contract, load float64) result {
	w := newWorld(simZones, perZone, c)
	list := arrivals(7, len(w.daemons), simLength, func(d int, at time.Duration) float64 {
		return load * c.Rate * s.demandShare(d/perZone, at) / float64(perZone)
	})
	w.runUntil(simWarmup)
	st := build(c, w)
	s.faults(w, c)
	var admitted []time.Duration
	w.feed(list, func(a arrival) {
		st.call(w.reachable(a.daemon), func(ok bool) {
			if ok {
				admitted = append(admitted, w.now)
			}
		})
	})
	before := st.messages()
	admissibleRate := 0.0
	for w.now < simWarmup+simLength {
		w.runUntil(w.now + 100*time.Millisecond)
		admissibleRate = max(admissibleRate, w.admissibleRate(c)/c.Rate)
	}
	return result{
		admissibleRate: admissibleRate,
		usable:         float64(len(admitted)) / float64(ideal(list, c)),
		excess:         worstExcess(admitted, c.Rate),
		messages:       float64(st.messages()-before) / simLength.Seconds(),
	}
}

// worstExcess returns the largest share of the contracted rate by which the calls of any window
// exceeded it.
func worstExcess(admitted []time.Duration, rate float64) float64 {
	worst, lo := 0, 0
	for hi, at := range admitted {
		for at-admitted[lo] >= window {
			lo++
		}
		worst = max(worst, hi-lo+1)
	}
	return max(0, float64(worst)/(rate*window.Seconds())-1)
}

// ideal returns the number of calls that one token bucket for the whole fleet admits.
func ideal(list []arrival, c *snapshot.Contract) int {
	b, n := bucket{level: c.Burst}, 0
	for _, a := range list {
		b.refill(a.at, c.Rate, c.Burst)
		if b.take() {
			n++
		}
	}
	return n
}

// Demand of 1.2 and 0.8 times the contract moves through eight zones in three regions. Without
// faults and through each fault, the leases exceed the contract by at most 5 % in any 10 s, and
// admit at least 95 % of what a single bucket would. The results of the other strategies are
// only logged. Time is virtual, so each run logs the same table.
func TestCompareStrategies(t *testing.T) {
	const perZone = 6
	for _, load := range []float64{1.2, 0.8} {
		c := &snapshot.Contract{Customer: "acme", Rate: 300, Burst: 30}
		t.Run(fmt.Sprintf("load=%.1f", load), func(t *testing.T) {
			t.Parallel()
			rows := make([]string, len(scenarios))
			t.Run("all", func(t *testing.T) {
				for i, s := range scenarios {
					t.Run(s.name, func(t *testing.T) {
						t.Parallel()
						rows[i] = s.compare(t, perZone, c, load)
					})
				}
			})
			t.Logf("demand %.1f of %.0f/s, %d daemons\n%s%s", load, c.Rate, simZones*perZone, heading(), strings.Join(rows, ""))
		})
	}
}

func heading() string {
	h := fmt.Sprintf("%-34s", "usable, worst excess, messages")
	for _, st := range strategies {
		h += fmt.Sprintf("%24s", st.name)
	}
	return h
}

// compare runs all strategies and returns their row of the table.
func (s *scenario) compare(t *testing.T, perZone int, c *snapshot.Contract, load float64) string {
	row := fmt.Sprintf("\n%-34s", s.name)
	for _, st := range strategies {
		r := s.run(st.build, perZone, c, load)
		row += "  " + r.String()
		if st.name == leasesName {
			r.check(t)
		}
	}
	return row
}

func (r result) String() string {
	return fmt.Sprintf("%6.1f%% %5.1f%% %5.0f/s", 100*r.usable, 100*r.excess, r.messages)
}

func (r result) check(t *testing.T) {
	test.GreaterEq(t, 0.95, r.usable)
	test.LessEq(t, 0.05, r.excess)
	test.LessEq(t, 1+settlingShare+unleasedShare, r.admissibleRate)
}

// The same demand is spread over four times as many daemons. The burst is too small to give
// each of them a bucket, so every call requests a token from the pool. The leases stay within
// the same bounds.
func TestCompareStrategies_manyDaemons(t *testing.T) {
	const perZone, load = 24, 1.2
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := s.run(newLeases, perZone, &snapshot.Contract{Customer: "acme", Rate: 300, Burst: 30}, load)
			r.check(t)
			t.Log(r)
		})
	}
}
