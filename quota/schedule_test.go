package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/snapshot"
)

// The promise to users: in each sliding window of promiseWindow, at most (rate x window + burst) x
// promiseOverage + promiseSlack calls of a customer are admitted over all daemons.
const (
	promiseWindow  = 5 * time.Second
	promiseOverage = 1.1
	promiseSlack   = 20
)

func promised(c *snapshot.Contract) float64 {
	return (c.Rate*promiseWindow.Seconds()+c.Burst)*promiseOverage + promiseSlack
}

// schedule is a random series of faults and changes of limits under load.
type schedule struct {
	w   *world
	rng *rand.Rand
	// contracts is what is in force at each daemon, by customer.
	contracts map[string]*snapshot.Contract
	// version counts the changes, and inForce holds the latest change that is in force at a daemon.
	version int
	inForce map[*daemon]int
	// changes holds the limits of each customer in order.
	changes  map[string][]limitChange
	admitted map[string][]time.Duration
	offered  map[string]int
	// down holds the daemons that a fault affects.
	down map[*daemon]bool
	cut  bool
}

// limitChange is a contract that came into force. Until is when the next one is in force at all
// daemons.
type limitChange struct {
	from, until time.Duration
	contract    *snapshot.Contract
}

const (
	scheduleTime    = 40 * time.Second
	changeDelay     = 2500 * time.Millisecond
	scheduleZones   = 3
	schedulePerZone = 8
)

func newSchedule(seed uint64) *schedule {
	s := &schedule{
		rng: rand.New(rand.NewPCG(seed, 7)), contracts: map[string]*snapshot.Contract{}, changes: map[string][]limitChange{},
		admitted: map[string][]time.Duration{}, offered: map[string]int{}, down: map[*daemon]bool{}, inForce: map[*daemon]int{},
	}
	var list []*snapshot.Contract
	for i, rate := range []float64{2, 8, 25, 25, 150, 600} {
		c := &snapshot.Contract{Customer: fmt.Sprint("customer-", i), Rate: rate, Burst: rate}
		list = append(list, c)
		s.contracts[c.Customer] = c
		s.changes[c.Customer] = []limitChange{{0, forever, c}}
	}
	s.w = newTolerantWorld(Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}, scheduleZones, schedulePerZone, list...)
	s.w.rng = rand.New(rand.NewPCG(seed, 3))
	return s
}

// load sends calls of a customer to the daemons where its clients are: rate is per second over all
// of them, and several times that while the customer is hot.
func (s *schedule) load(c *snapshot.Contract, hot bool) {
	clients := max(1, int(c.Rate/2))
	daemons := make([]int, clients)
	for i := range daemons {
		daemons[i] = s.rng.IntN(len(s.w.daemons))
	}
	hotFrom := time.Duration(s.rng.Int64N(int64(scheduleTime)))
	usual := 0.7 * c.Rate / float64(clients)
	for _, index := range daemons {
		list := arrivals(s.rng.Uint64(), 1, scheduleTime, func(_ int, at time.Duration) float64 {
			if hot && at > hotFrom && at < hotFrom+6500*time.Millisecond {
				return 7.5 * usual
			}
			return usual
		})
		d := s.w.daemons[index]
		s.w.feed(list, func(arrival) {
			s.offered[c.Customer]++
			d.call(s.contractAt(d, c.Customer), func(admitted bool) {
				if admitted {
					s.admitted[c.Customer] = append(s.admitted[c.Customer], s.w.now)
				}
			})
		})
	}
}

// contractAt returns the contract that a daemon has in force.
func (s *schedule) contractAt(d *daemon, customer string) *snapshot.Contract {
	return d.m.account(s.contracts[customer]).contract
}

// change replaces the limit of a customer. Each daemon gets the change with a delay of its own.
func (s *schedule) change(customer string) {
	old := s.contracts[customer]
	rate := old.Rate * []float64{0.1, 0.5, 2, 5}[s.rng.IntN(4)]
	rate = min(max(rate, 1), 2000)
	next := &snapshot.Contract{Customer: customer, Rate: rate, Burst: rate}
	s.contracts[customer] = next
	list := s.changes[customer]
	list[len(list)-1].until = s.w.now + changeDelay
	s.changes[customer] = append(list, limitChange{s.w.now, forever, next})
	s.putInForce()
}

// putInForce puts the current contracts in force at each daemon, with a delay of its own.
func (s *schedule) putInForce() {
	contracts := contractMap(slices.Collect(maps.Values(s.contracts)))
	s.version++
	version := s.version
	for _, d := range s.w.daemons {
		m := d.m
		s.w.after(time.Duration(s.rng.Int64N(int64(changeDelay))), func() {
			d.execute(func() {
				if d.m == m && s.inForce[d] < version {
					s.inForce[d] = version
					d.offset = uint64(version)
					d.m.SetContracts(contracts, d.offset)
				}
			})
		})
	}
}

// fault kills, pauses or cuts off some daemons, and repairs them after a few seconds.
func (s *schedule) fault() {
	share := []float64{0.05, 0.17, 0.55, 1}[s.rng.IntN(4)]
	repair := time.Second + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	var affected []*daemon
	for _, d := range s.w.daemons {
		if s.rng.Float64() < share && !s.down[d] {
			affected = append(affected, d)
		}
	}
	if s.rng.IntN(3) == 0 && !s.cut {
		side := map[*daemon]bool{}
		for _, d := range affected {
			side[d] = true
		}
		s.cut = true
		s.w.partition(func(d *daemon) bool { return side[d] })
		s.w.after(repair, func() { s.w.heal(); s.cut = false })
		return
	}
	pause := s.rng.IntN(3) == 0
	for _, d := range affected {
		s.down[d] = true
		if pause {
			s.w.pause(d)
		} else {
			s.w.kill(d)
		}
		s.w.after(repair, func() {
			s.down[d] = false
			if pause {
				s.w.resume(d)
				return
			}
			s.inForce[d], d.offset = s.version, uint64(s.version)
			s.w.restart(d, slices.Collect(maps.Values(s.contracts))...)
		})
	}
}

// loadAll sends calls of all customers. Every other one is hot for a while.
func (s *schedule) loadAll() {
	for i, c := range slices.SortedFunc(maps.Values(s.contracts), func(a, b *snapshot.Contract) int { return int(a.Rate - b.Rate) }) {
		s.load(c, i%2 == 0)
	}
}

func (s *schedule) run() {
	s.w.runUntil(10 * time.Second)
	s.loadAll()
	start := s.w.now
	for s.w.now < start+scheduleTime-8*time.Second {
		s.w.runUntil(s.w.now + time.Duration(s.rng.Int64N(int64(6*time.Second))))
		if s.rng.IntN(3) == 0 {
			s.change(fmt.Sprint("customer-", s.rng.IntN(len(s.contracts))))
			continue
		}
		s.fault()
	}
	s.w.runUntil(start + scheduleTime)
}

// excess returns the largest ratio of the calls in a window to the promise for that window.
func (s *schedule) excess(customer string) (ratio float64, at time.Duration) {
	list := s.admitted[customer]
	from := 0
	for to, end := range list {
		for list[from] <= end-promiseWindow {
			from++
		}
		bound := 0.0
		for _, c := range s.changes[customer] {
			// A lower limit binds one window after it is in force everywhere.
			if c.from <= end && c.until >= end-2*promiseWindow {
				bound = max(bound, promised(c.contract))
			}
		}
		if r := float64(to-from+1) / bound; r > ratio {
			ratio, at = r, end
		}
	}
	return ratio, at
}

// mustKeepPromise fails the test if a window had more calls of a customer than promised.
func (s *schedule) mustKeepPromise(t *testing.T, seed uint64) {
	t.Helper()
	for customer := range s.contracts {
		ratio, at := s.excess(customer)
		must.LessEq(t, 1.0, ratio, must.Sprintf("seed %d, %s at %v: admitted %.2f of the promise", seed, customer, at, ratio))
	}
}

// Daemons are killed, paused and cut off, alone and all at once, while customers send many times
// their usual and limits change to a tenth. No window may have more calls than promised.
func TestManager_RandomSchedulesKeepThePromise(t *testing.T) {
	for seed := range uint64(12) {
		s := newSchedule(seed)
		s.run()
		s.mustKeepPromise(t, seed)
	}
}
