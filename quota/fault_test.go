package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// counter counts the calls of a run by the second.
type counter struct {
	offered, admitted []int
}

func (k *counter) grow(second int) {
	for len(k.offered) <= second {
		k.offered = append(k.offered, 0)
		k.admitted = append(k.admitted, 0)
	}
}

// load sends calls at a rate to one daemon until a time and counts them.
func (w *world) load(d *daemon, c *snapshot.Contract, rate float64, until time.Duration, k *counter) {
	list := arrivals(uint64(d.index+1), 1, until-w.now, func(int, time.Duration) float64 { return rate })
	w.feed(list, func(arrival) {
		second := int(w.now / time.Second)
		k.grow(second)
		k.offered[second]++
		d.call(c, func(ok bool) {
			if ok {
				k.grow(int(w.now / time.Second))
				k.admitted[w.now/time.Second]++
			}
		})
	})
}

func sum(list []int, from, to time.Duration) (n int) {
	for _, x := range list[from/time.Second : to/time.Second] {
		n += x
	}
	return n
}

// share returns the part of the calls offered in a time that was admitted.
func (k *counter) share(from, to time.Duration) float64 {
	return float64(sum(k.admitted, from, to)) / float64(sum(k.offered, from, to))
}

// A customer's demand ends in one zone and begins in the same moment at one
// daemon of another, at nine tenths of the contract. The callers there get what
// they ask for from the second second on: the zone's holders notice that calls
// are missing and return their leases, and the pool serves the new daemon until
// it has one.
func TestFault_demandBeginsAtOneDaemon(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	var before, after counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, 0.9*c.Rate/6, 2*simWarm, &before)
	}
	w.runUntil(2 * simWarm)
	w.load(w.daemons[20], c, 0.9*c.Rate, 3*simWarm, &after)
	w.runUntil(3 * simWarm)
	must.GreaterEq(t, 0.95, before.share(simWarm+5*time.Second, 2*simWarm))
	must.GreaterEq(t, 0.95, after.share(2*simWarm+time.Second, 2*simWarm+5*time.Second))
}

// A daemon holds nearly the whole contract, is stopped for longer than its
// lease lasts, and is woken into a queue of calls, while another daemon has been
// given the contract. The woken one admits none of them: it reads the clock
// before it looks at its lease.
func TestFault_holderWokenBeyondItsLease(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 600}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	var k counter
	first, second := w.daemons[3], w.daemons[20]
	w.load(first, c, 550, 2*simWarm, &k)
	w.runUntil(2 * simWarm)
	w.pause(first)
	var other counter
	w.load(second, c, 550, 3*simWarm, &other)
	w.runUntil(3 * simWarm)
	must.GreaterEq(t, 0.95, other.share(3*simWarm-3*time.Second, 3*simWarm))
	unleased := 0
	for range 300 {
		if _, err := first.m.Admit(c); err == nil {
			unleased++
		}
	}
	must.LessEq(t, 1, unleased)
	must.LessEq(t, 1.0, w.authority(c)/c.Rate)
}

// The owner is killed while a holder of half the contract is stopped for 8 s,
// less than its lease lasts. The new owner cannot hear of that lease but from
// the others, who saw how much was granted in all; it keeps as much back, so the
// holder may wake and go on.
func TestFault_ownerKilledWhileHolderIsStopped(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	var k counter
	stopped, other := w.daemons[3], w.daemons[20]
	w.load(stopped, c, c.Rate, 2*simWarm, &k)
	w.load(other, c, c.Rate, 4*simWarm, &k)
	w.runUntil(2 * simWarm)
	w.pause(stopped)
	w.kill(w.owner(c))
	w.after(8*time.Second, func() { w.wake(stopped) })
	for w.now < 4*simWarm {
		w.runUntil(w.now + 100*time.Millisecond)
		must.LessEq(t, 1+settlingShare, w.authority(c)/c.Rate)
	}
	must.GreaterEq(t, 0.95, float64(sum(k.admitted, 3*simWarm, 4*simWarm))/(c.Rate*simWarm.Seconds()))
}

// All daemons of the fleet restart within 3 s. Nobody reports any lease, so the
// new owner opens its ledger once all have had the time to, and the contract is
// usable again; at no time is more in use than the contract.
func TestFault_wholeFleetRestarts(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	for zone := range simZones {
		w.herd(zone, c)
	}
	w.runUntil(simWarm + 4*time.Second)
	var k counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, c.Rate/6, 2*simWarm, &k)
	}
	for w.now < 2*simWarm {
		w.runUntil(w.now + 100*time.Millisecond)
		must.LessEq(t, 1+settlingShare, w.authority(c)/c.Rate)
	}
	must.GreaterEq(t, 0.95, k.share(simWarm+8*time.Second, 2*simWarm))
}

// A zone of a region is cut off from everybody, callers included who ask there
// for the whole contract. Those outside take the zone for dead and go on with
// the whole contract; the zone knows that it is the smaller part and keeps to
// its share of the fleet, which bounds the excess.
func TestFault_zoneCutOffKeepsToItsShare(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	var inside, outside counter
	until := 6 * simWarm
	w.load(w.daemons[0], c, c.Rate, until, &inside)
	w.load(w.daemons[10], c, c.Rate, until, &outside)
	w.runUntil(2 * simWarm)
	w.cutOff(func(d *daemon) bool { return d.zone == 0 })
	w.runUntil(until)
	share := 1.0 / simZones
	from, to := 5*simWarm, until
	must.LessEq(t, 1+share, w.authority(c)/c.Rate)
	must.LessEq(t, share+0.01, float64(sum(inside.admitted, from, to))/(c.Rate*(to-from).Seconds()))
	must.GreaterEq(t, 0.95, outside.share(from, to))
}

// Answers of the owner to one holder are lost while its requests arrive. The
// owner goes on to charge the holder, so no one is given what the holder may
// still use; the holder's callers are refused once its lease has ended.
func TestFault_oneWayCut(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	owner := w.owner(c)
	holder, other := w.daemons[(owner.index+1)%6], w.daemons[30]
	var k, rest counter
	w.load(holder, c, c.Rate, 4*simWarm, &k)
	w.runUntil(2 * simWarm)
	w.load(other, c, c.Rate, 4*simWarm, &rest)
	w.cut = func(a, b *daemon) bool { return a == owner && b == holder }
	for w.now < 4*simWarm {
		w.runUntil(w.now + 100*time.Millisecond)
		must.LessEq(t, 1.001, w.authority(c)/c.Rate)
	}
	must.GreaterEq(t, 0.9, rest.share(4*simWarm-5*time.Second, 4*simWarm))
}

// A customer's demand ends. Its holders tell that once, so that the owner has
// all of the contract back within 2 s, and send nothing after that.
func TestIdleCustomer_costsNothing(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	var k counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, c.Rate/6, 2*simWarm, &k)
	}
	w.runUntil(2*simWarm + 2*time.Second)
	must.Eq(t, amount{}, w.owner(c).m.owner.ledgers[c.Customer].sum.charged)
	sent := w.messages
	w.runUntil(2*simWarm + 5*time.Minute)
	must.Eq(t, sent, w.messages)
	for _, d := range w.daemons {
		must.Zero(t, d.m.Stats().ActiveCustomers)
		must.Zero(t, d.m.Stats().Ledgers)
	}
}

// A contract is revised to half while it is fully used. No more than the new
// contract is in use from then on, although leases of the old one last for
// another 10 s: each holder shrinks its own with the contract.
func TestFault_contractRevisedDown(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	half := &snapshot.Contract{Customer: "acme", Rate: 300, Burst: 30}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	var k counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, c.Rate/4, 2*simWarm, &k)
	}
	w.runUntil(simWarm + 10*time.Second)
	for _, d := range w.daemons {
		d.m.SetContracts(contractMap([]*snapshot.Contract{half}))
	}
	must.LessEq(t, 1.0, w.authority(half)/half.Rate)
	w.runUntil(2 * simWarm)
	must.LessEq(t, 1.0, w.authority(half)/half.Rate)
	from, to := simWarm+11*time.Second, 2*simWarm
	admitted := float64(sum(k.admitted, from, to)) / (half.Rate * (to - from).Seconds())
	must.LessEq(t, 1.02, admitted)
	must.GreaterEq(t, 0.95, admitted)
}

// Calls in flight over all daemons never exceed the contract's bound while
// demand for three times as many moves from zone to zone, and most of the bound
// is in use.
func TestFault_concurrencyOverTheFleet(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 10000, Burst: 10000, MaxConcurrent: 24}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	var k counter
	for i, d := range w.daemons[:24] {
		w.after(time.Duration(i/6)*10*time.Second, func() {
			w.load(d, c, 3*float64(c.MaxConcurrent)/callTime.Seconds()/6, w.now+10*time.Second, &k)
		})
	}
	inFlight, samples := 0.0, 0
	for w.now < simWarm+40*time.Second {
		w.runUntil(w.now + 5*time.Millisecond)
		n := int64(0)
		for _, d := range w.daemons {
			n += d.m.account(c).inFlight.Load()
		}
		must.LessEq(t, int64(c.MaxConcurrent), n)
		inFlight, samples = inFlight+float64(n), samples+1
	}
	must.GreaterEq(t, 0.8, inFlight/float64(samples)/float64(c.MaxConcurrent))
}

// A hundred daemons with 1.5 calls/s each share 20 slots, which 150 calls/s of
// 20 ms would use a sixth of. Most calls get one: a slot goes back as soon as it
// has been idle for a tick, since others wait for it.
func TestFault_fewSlotsForManyDaemons(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 1000, Burst: 1000, MaxConcurrent: 20}
	w := newWorld(2, 50, c)
	w.runUntil(simWarm)
	var k counter
	for _, d := range w.daemons {
		w.load(d, c, 1.5, 2*simWarm, &k)
	}
	w.runUntil(2*simWarm + time.Second)
	must.GreaterEq(t, 0.7, k.share(simWarm+5*time.Second, 2*simWarm))
}

// A burst of callers three times the size of what is there is refused and each
// returns when it was told to. It then finds a token, since the times are
// handed out one after another at the rate at which tokens come.
func TestRetryAfter_isHonest(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 20, Burst: 20}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarm)
	d := w.daemons[5]
	var k counter
	w.load(d, c, 0.5*c.Rate, simWarm+20*time.Second, &k)
	w.runUntil(simWarm + 10*time.Second)
	returned, admitted := 0, 0
	for range 60 {
		_, err := d.m.Admit(c)
		if err == nil {
			d.m.account(c).grant.Done()
			continue
		}
		w.after(errkind.RetryAfterOf(err), func() {
			returned++
			d.call(c, func(ok bool) {
				if ok {
					admitted++
				}
			})
		})
	}
	w.runUntil(simWarm + 60*time.Second)
	must.Greater(t, 30, returned)
	must.GreaterEq(t, 0.9, float64(admitted)/float64(returned))
}

// A member that is suspect for a moment keeps what it owns; one that is suspect
// for longer does not, though membership holds on to it.
func TestFleet_suspectLosesOwnership(t *testing.T) {
	base := time.Unix(1000, 0)
	a := &membership.Member{Host: "a", Boot: 1, Liveness: membership.Alive, Since: base}
	b := &membership.Member{Host: "b", Boot: 2, Liveness: membership.Suspect, Since: base, Region: "far"}
	view := &membership.View{Self: a, Members: []*membership.Member{a, b}}
	f := newFleet(view, base, 0, nil, 0)
	must.Len(t, 2, f.candidates)
	must.Eq(t, suspectGrace, f.changesAt)
	f = newFleet(view, base, f.changesAt, f, 0)
	must.Len(t, 1, f.candidates)
	must.True(t, f.lost("b"))
	must.False(t, f.isolated)
}
