package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocuscross/crocuscross/snapshot"
)

// addCustomer adds a customer that soon sends many times its rate, through a random half of the daemons.
func (s *schedule) addCustomer() {
	rate := []float64{25, 150, 600}[s.rng.IntN(3)]
	c := &snapshot.Contract{Customer: fmt.Sprint("added-", len(s.contracts)), Rate: rate, Burst: rate}
	s.contracts[c.Customer] = c
	s.changes[c.Customer] = []limitChange{{s.w.now, forever, c}}
	s.putInForce()
	s.w.after(time.Duration(s.rng.Int64N(int64(4*time.Second))), func() { s.sendTooMuch(c) })
}

// sendTooMuch sends three times the rate of a customer for some seconds.
func (s *schedule) sendTooMuch(c *snapshot.Contract) {
	length := 2*time.Second + time.Duration(s.rng.Int64N(int64(8*time.Second)))
	half := s.rng.Perm(len(s.w.daemons))[:len(s.w.daemons)/2]
	for _, i := range half {
		d := s.w.daemons[i]
		list := arrivals(s.rng.Uint64(), 1, length, func(int, time.Duration) float64 { return 3 * c.Rate / float64(len(half)) })
		s.w.feed(list, func(arrival) {
			if s.contracts[c.Customer] == nil {
				return
			}
			d.call(s.contractAt(d, c.Customer), func(admitted bool) {
				if admitted {
					s.admitted[c.Customer] = append(s.admitted[c.Customer], s.w.now)
				}
			})
		})
	}
}

// awaySome cuts off or pauses single daemons, among them often the owner of a customer, for up to 8 s.
func (s *schedule) awaySome() {
	length := time.Second + time.Duration(s.rng.Int64N(int64(7*time.Second)))
	var away []*daemon
	for range 1 + s.rng.IntN(3) {
		d := s.w.daemons[s.rng.IntN(len(s.w.daemons))]
		if s.rng.IntN(2) == 0 {
			names := slices.Sorted(maps.Keys(s.contracts))
			d = s.w.owner(s.contracts[names[s.rng.IntN(len(names))]])
		}
		if !s.down[d] && !slices.Contains(away, d) {
			away = append(away, d)
		}
	}
	for _, d := range away {
		s.down[d] = true
		s.w.after(length, func() { s.down[d] = false })
	}
	if s.rng.IntN(3) > 0 {
		s.w.cutOff(length, away...)
		return
	}
	for _, d := range away {
		s.w.pause(d)
		s.w.after(length, func() { s.w.resume(d) })
	}
}

// Guards against a customer whose owners grant more than promised together: single daemons are cut off or
// paused, one after another and several at once, while customers are added and limits change.
func TestManager_RandomAbsencesKeepThePromise(t *testing.T) {
	for seed := range uint64(40) {
		s := newSchedule(seed)
		s.rng = rand.New(rand.NewPCG(seed, 13))
		s.w.runUntil(10 * time.Second)
		start := s.w.now
		for s.w.now < start+scheduleTime-10*time.Second {
			s.w.runUntil(s.w.now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
			switch s.rng.IntN(5) {
			case 0, 1:
				s.awaySome()
			case 2, 3:
				s.addCustomer()
			default:
				s.change(fmt.Sprint("customer-", s.rng.IntN(4)))
			}
		}
		s.w.runUntil(start + scheduleTime)
		s.mustKeepPromise(t, seed)
	}
}
