package balance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// rateModel plays daemons that send calls to servers some of which state a rate limit, with a virtual
// clock.
type rateModel struct {
	daemons, servers, limited int
	// limit and load are calls per second: of each limited server, and of all daemons together.
	limit, load float64
	// blind hides the rate limit from the daemons.
	blind bool

	mu                               sync.Mutex
	offered, inTime, answered, hops  int
	rejectedByGates, rejectedByPicks int
	limitedStarts                    int
}

const (
	rateModelSlots     = 9
	rateModelService   = 220 * time.Millisecond
	rateModelObjective = 600 * time.Millisecond
	rateModelMaxWait   = 250 * time.Millisecond
	rateModelAttempts  = 3
	rateModelLength    = 20 * time.Second
	rateModelHop       = 500 * time.Microsecond
)

func (m *rateModel) run(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(7, uint64(m.daemons)))
		var servers []*backend.Server
		gates := make(map[backend.ID]*gate.Gate)
		limited := make(map[backend.ID]bool)
		for i := range m.servers {
			s := &backend.Server{
				ID:               backend.ID{Host: fmt.Sprint(i), Service: "s"},
				AvailabilityZone: zoneName(i), Slots: rateModelSlots, FirstSeen: time.Now().Add(-time.Hour),
			}
			o := gate.DefaultOptions()
			o.Slots, o.ServiceTime = rateModelSlots, rateModelService
			servers, gates[s.ID] = append(servers, s), gate.New(o)
			if i < m.limited {
				gates[s.ID].SetRateLimit(m.limit)
				limited[s.ID] = true
			}
		}
		var pickers []*balance.Picker
		for i := range m.daemons {
			o := balance.DefaultOptions()
			o.AvailabilityZone, o.DisableSlowEjection, o.Rand = zoneName(i), true, rand.New(rand.NewPCG(3, uint64(i))).IntN
			pickers = append(pickers, balance.New(o))
		}
		var calls sync.WaitGroup
		for start := time.Now(); time.Since(start) < rateModelLength; {
			time.Sleep(time.Duration(rng.ExpFloat64() / m.load * float64(time.Second)))
			p, work := pickers[rng.IntN(m.daemons)], time.Duration((0.5+rng.Float64())*float64(rateModelService))
			calls.Go(func() { m.call(p, servers, gates, limited, work) })
		}
		calls.Wait()
	})
}

func (m *rateModel) call(p *balance.Picker, servers []*backend.Server, gates map[backend.ID]*gate.Gate, limited map[backend.ID]bool, work time.Duration) {
	start := time.Now()
	m.count(&m.offered)
	tried := make(map[backend.ID]bool)
	for range rateModelAttempts {
		m.mu.Lock()
		lease, err := p.PickWithOptions(servers, balance.PickOptions{
			Exclude: func(id backend.ID) bool { return tried[id] }, Objective: rateModelObjective, MaxWait: rateModelMaxWait,
		})
		m.mu.Unlock()
		if err != nil {
			m.count(&m.rejectedByPicks)
			return
		}
		id := lease.Server().ID
		tried[id] = true
		m.count(&m.hops)
		time.Sleep(rateModelHop)
		g := gates[id]
		ticket, err := g.Admit(context.Background(), gate.Call{
			Route: "r", Remaining: 4*time.Second - time.Since(start), MaxWait: rateModelMaxWait, ObjectiveLeft: rateModelObjective - time.Since(start),
		})
		if err == nil {
			time.Sleep(work)
			ticket.Done(gate.Answered)
		}
		load := g.Load()
		if m.blind {
			load.RateLimit = 0
		}
		time.Sleep(rateModelHop)
		m.mu.Lock()
		lease.Done(balance.Result{Kind: errkind.Of(err), Status: 200, Latency: time.Since(start), Load: &load})
		m.mu.Unlock()
		if err == nil {
			m.count(&m.answered)
			if limited[id] {
				m.count(&m.limitedStarts)
			}
			if time.Since(start) <= rateModelObjective {
				m.count(&m.inTime)
			}
			return
		}
		m.count(&m.rejectedByGates)
	}
}

func (m *rateModel) count(n *int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*n++
}

func (m *rateModel) share(n int) float64 { return float64(n) / float64(m.offered) }

func (m *rateModel) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-6s in time %.3f answered %.3f, calls refused by gates %.3f, attempts %.3f a call, limited servers %.1f/s each",
		name, m.share(m.inTime), m.share(m.answered), m.share(m.rejectedByGates), m.share(m.hops),
		float64(m.limitedStarts)/float64(max(m.limited, 1))/rateModelLength.Seconds())
}

// Some servers state a rate limit, the others have room. Guards against daemons that keep choosing
// the limited servers, which look idle, and collect their refusals.
func TestRateLimitedServersAreChosenByTheirRate(t *testing.T) {
	for _, size := range []struct{ daemons, servers int }{{13, 9}, {64, 44}, {295, 200}} {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			load := 16 * float64(size.daemons)
			model := func(blind bool) *rateModel {
				m := &rateModel{daemons: size.daemons, servers: size.servers, limited: size.servers / 4, limit: 3, load: load, blind: blind}
				m.run(t)
				return m
			}
			blind, seeing := model(true), model(false)
			blind.log(t, "blind")
			seeing.log(t, "seeing")
			must.Less(t, blind.rejectedByGates/2, seeing.rejectedByGates)
			must.GreaterEq(t, blind.share(blind.inTime), seeing.share(seeing.inTime))
		})
	}
}
