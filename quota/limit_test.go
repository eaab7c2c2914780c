package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/crocuscross/crocuscross/snapshot"
)

// limitLoad is load A of docs/load-management.md as package quota sees it: 64 daemons, 75 accounts
// whose usual rates follow a power law, with limits of 1.6 times the usual rate and a burst of one
// second of that. It counts the rejected calls that one bucket for the whole fleet, with the
// account's rate and burst, admits.
type limitLoad struct {
	w        *world
	rng      *rand.Rand
	accounts []*limitAccount
	classes  map[string]int
}

// limitAccount is one account of a limitLoad.
type limitAccount struct {
	contract *snapshot.Contract
	usual    float64
	// oneBucket admits what one bucket for the whole fleet would admit.
	oneBucket bucket
	bySecond  []limitSecond
}

// limitSecond counts the calls of one account in one second of virtual time.
type limitSecond struct {
	// offered counts all calls, due those that one bucket admits, admitted those that were admitted,
	// and rejected those of due that were rejected.
	offered, due, admitted, rejected int
}

const (
	limitDaemons  = 64
	limitAccounts = 75
	limitCalls    = 2217 // calls per second of all accounts, load A
	limitStart    = 10 * time.Second
	limitEnd      = 40 * time.Second
)

func newLimitLoad(seed uint64) *limitLoad {
	l := &limitLoad{rng: rand.New(rand.NewPCG(seed, 11)), classes: map[string]int{}}
	sum := 0.0
	for i := range limitAccounts {
		sum += math.Pow(float64(i+1), -1.2)
	}
	var contracts []*snapshot.Contract
	for i := range limitAccounts {
		usual := limitCalls * math.Pow(float64(i+1), -1.2) / sum
		rate := 1.6 * usual
		c := &snapshot.Contract{Customer: fmt.Sprint("account-", i), Rate: rate, Burst: rate}
		contracts = append(contracts, c)
		l.accounts = append(l.accounts, &limitAccount{
			contract: c, usual: usual, oneBucket: bucket{level: rate}, bySecond: make([]limitSecond, 200),
		})
	}
	l.w = newTolerantWorld(Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}, 2, limitDaemons/2, contracts...)
	l.w.rng = rand.New(rand.NewPCG(seed, 3))
	return l
}

// offer schedules the calls of an account until the given time, in clumps of two at one daemon. factor is
// the ratio to its usual rate.
func (l *limitLoad) offer(a *limitAccount, until time.Duration, factor func(at time.Duration) float64) {
	start := l.w.now
	list := arrivals(l.rng.Uint64(), 1, until-start, func(_ int, at time.Duration) float64 { return a.usual / 2 * factor(start+at) })
	var clumps []arrival
	for _, c := range list {
		d := l.rng.IntN(len(l.w.daemons))
		clumps = append(clumps, arrival{c.at, d}, arrival{c.at + 2*time.Millisecond, d})
	}
	slices.SortStableFunc(clumps, func(a, b arrival) int { return int(a.at - b.at) })
	l.w.feed(clumps, func(c arrival) { l.call(a, l.w.daemons[c.daemon]) })
}

func (l *limitLoad) call(a *limitAccount, d *daemon) {
	if d.dead {
		return
	}
	s := &a.bySecond[int(l.w.now/time.Second)]
	s.offered++
	a.oneBucket.refill(l.w.now, a.contract.Rate, a.contract.Burst)
	due := a.oneBucket.take()
	if due {
		s.due++
	}
	m, at := d.m, l.w.now
	d.call(a.contract, func(admitted bool) {
		if admitted {
			s.admitted++
			return
		}
		if d.m != m || !due {
			return
		}
		s.rejected++
		if s.due >= s.offered-1 {
			l.classes[l.class(a, d, l.w.now-at)]++
		}
	})
}

// missing returns the calls that one bucket admits, and those of them that were rejected. In seconds in
// which an account exceeds its limit, it counts how many calls fewer than those were admitted.
func (l *limitLoad) missing(a *limitAccount, from, to time.Duration) (due, missing int) {
	for _, s := range a.bySecond[int(from/time.Second):int(to/time.Second)] {
		due += s.due
		if s.due == s.offered {
			missing += s.rejected
		} else {
			missing += max(0, s.due-s.admitted)
		}
	}
	return due, missing
}

func (l *limitLoad) total(from, to time.Duration) (due, missing int) {
	for _, a := range l.accounts {
		d, m := l.missing(a, from, to)
		due, missing = due+d, missing+m
	}
	return due, missing
}

// killSixth kills a sixth of the daemons at 20 s under the usual load, and restarts them after repair.
func (l *limitLoad) killSixth(repair time.Duration) {
	l.calm()
	l.w.at(20*time.Second, func() {
		for _, i := range l.rng.Perm(limitDaemons)[:limitDaemons/6] {
			d := l.w.daemons[i]
			l.w.kill(d)
			l.w.after(repair, func() { l.w.restart(d, l.contracts()...) })
		}
	})
}

// calm schedules the usual calls of all accounts from now on.
func (l *limitLoad) calm() {
	for _, a := range l.accounts {
		l.offer(a, limitEnd, func(time.Duration) float64 { return 1 })
	}
}

// runLimitLoad lets all daemons be idle until limitStart, and then runs the load that begin schedules.
func runLimitLoad(seed uint64, begin func(l *limitLoad)) *limitLoad {
	l := newLimitLoad(seed)
	l.w.runUntil(limitStart)
	begin(l)
	l.w.runUntil(limitEnd + time.Second)
	return l
}

// requireMissing checks that at most one in bound of the calls that one bucket admits was rejected, for
// groups of accounts of similar size: the large accounts have most of the calls.
func (l *limitLoad) requireMissing(t *testing.T, bound int, from, to time.Duration) {
	t.Helper()
	for _, g := range [][2]int{{0, 3}, {3, 10}, {10, 30}, {30, 75}} {
		due, missing := 0, 0
		for _, a := range l.accounts[g[0]:g[1]] {
			d, m := l.missing(a, from, to)
			due, missing = due+d, missing+m
		}
		test.LessEq(t, due/bound, missing, test.Sprintf("accounts %d to %d: %d of %d calls below the limit rejected", g[0], g[1]-1, missing, due))
	}
}

// Demand begins at all daemons at once, spread so thinly that most have no bucket. Rates that the first
// daemons got for one or two calls were missing in the pool, and accounts below their limits were rejected.
func TestLimit_CalmAccountsBelowTheirLimits(t *testing.T) {
	for seed := range uint64(2) {
		runLimitLoad(seed, (*limitLoad).calm).requireMissing(t, 200, limitStart, limitEnd)
	}
}

// A third of the accounts doubles its demand at once and stays below its limit.
func TestLimit_DemandDoublesBelowTheLimit(t *testing.T) {
	l := runLimitLoad(1, func(l *limitLoad) {
		for i, a := range l.accounts {
			l.offer(a, limitEnd, func(at time.Duration) float64 {
				switch {
				case i%3 != 1:
					return 1
				case at < 20*time.Second:
					return 0.6
				}
				return 1.2
			})
		}
	})
	l.requireMissing(t, 200, limitStart, limitEnd)
}

func (l *limitLoad) contracts() (list []*snapshot.Contract) {
	for _, a := range l.accounts {
		list = append(list, a.contract)
	}
	return list
}

// change multiplies the limits of a third of the accounts.
func (l *limitLoad) change(factor float64) {
	for i, a := range l.accounts {
		if i%3 == 0 {
			c := *a.contract
			c.Rate *= factor
			c.Burst *= factor
			a.contract = &c
		}
	}
	contracts := contractMap(l.contracts())
	for _, d := range l.w.daemons {
		l.w.after(time.Duration(l.rng.Int64N(int64(500*time.Millisecond))), func() {
			d.execute(func() { d.m.SetContracts(contracts, 0) })
		})
	}
}

// A sixth of the daemons is killed, and with them the owners of a sixth of the accounts. Holders of buckets
// serve their calls meanwhile. Those that ask for each token have nothing until another owner is known.
func TestLimit_SixthOfTheDaemonsKilled(t *testing.T) {
	due, missing := 0, 0
	for seed := range uint64(6) {
		l := runLimitLoad(seed, func(l *limitLoad) { l.killSixth(4 * time.Second) })
		d, m := l.total(20*time.Second, 25*time.Second)
		due, missing = due+d, missing+m
	}
	test.LessEq(t, due/20, missing, test.Sprintf("%d of %d calls below the limit rejected in 5 s", missing, due))
}
