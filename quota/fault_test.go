package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// counter counts the calls of a run per second.
type counter struct {
	offered, admitted []int
}

func (k *counter) grow(second int) {
	for len(k.offered) <= second {
		k.offered = append(k.offered, 0)
		k.admitted = append(k.admitted, 0)
	}
}

// load sends calls to one daemon at a rate until the given time and counts them.
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

// share returns the share of the calls offered in a period that was admitted.
func (k *counter) share(from, to time.Duration) float64 {
	return float64(sum(k.admitted, from, to)) / float64(sum(k.offered, from, to))
}

// A customer's demand ends in one zone and, at the same moment, begins at a single daemon of
// another zone, at nine tenths of the contract. From the second second on the new calls are
// admitted: the holders of the first zone detect that calls are missing and return their
// leases, and the pool serves the new daemon until it has a lease.
func TestFault_demandBeginsAtOneDaemon(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	var before, after counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, 0.9*c.Rate/6, 2*simWarmup, &before)
	}
	w.runUntil(2 * simWarmup)
	w.load(w.daemons[20], c, 0.9*c.Rate, 3*simWarmup, &after)
	w.runUntil(3 * simWarmup)
	must.GreaterEq(t, 0.95, before.share(simWarmup+5*time.Second, 2*simWarmup))
	must.GreaterEq(t, 0.95, after.share(2*simWarmup+time.Second, 2*simWarmup+5*time.Second))
}

// A daemon that holds nearly the whole contract is paused for longer than its lease lasts,
// while another daemon is granted the contract. When it resumes with a queue of calls, it
// admits none of them from its expired lease, because it reads the clock before it checks the
// lease.
func TestFault_holderResumedAfterLeaseExpired(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 600}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	var k counter
	first, second := w.daemons[3], w.daemons[20]
	w.load(first, c, 550, 2*simWarmup, &k)
	w.runUntil(2 * simWarmup)
	w.pause(first)
	var other counter
	w.load(second, c, 550, 3*simWarmup, &other)
	w.runUntil(3 * simWarmup)
	must.GreaterEq(t, 0.95, other.share(3*simWarmup-3*time.Second, 3*simWarmup))
	unleased := 0
	for range 300 {
		if _, err := first.m.Admit(c); err == nil {
			unleased++
		}
	}
	must.LessEq(t, 1, unleased)
	must.LessEq(t, 1.0, w.admissibleRate(c)/c.Rate)
}

// The owner is killed while a holder of half the contract is paused for 8 s, less than its
// lease lasts. The new owner knows of that lease only from the other holders, which report the
// total that was granted. It reserves the unreported part, so the holder may resume and
// continue.
func TestFault_ownerKilledWhileHolderIsPaused(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	var k counter
	stopped, other := w.daemons[3], w.daemons[20]
	w.load(stopped, c, c.Rate, 2*simWarmup, &k)
	w.load(other, c, c.Rate, 4*simWarmup, &k)
	w.runUntil(2 * simWarmup)
	w.pause(stopped)
	w.kill(w.owner(c))
	w.after(8*time.Second, func() { w.resume(stopped) })
	for w.now < 4*simWarmup {
		w.runUntil(w.now + 100*time.Millisecond)
		must.LessEq(t, 1+settlingShare, w.admissibleRate(c)/c.Rate)
	}
	must.GreaterEq(t, 0.95, float64(sum(k.admitted, 3*simWarmup, 4*simWarmup))/(c.Rate*simWarmup.Seconds()))
}

// All daemons of the fleet restart within 3 s, so no holder reports a lease. The new owner
// opens its ledger once all holders have had time to report, and the contract is usable again.
// At no time does use exceed the contract.
func TestFault_wholeFleetRestarts(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	for zone := range simZones {
		w.restartZone(zone, c)
	}
	w.runUntil(simWarmup + 4*time.Second)
	var k counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, c.Rate/6, 2*simWarmup, &k)
	}
	for w.now < 2*simWarmup {
		w.runUntil(w.now + 100*time.Millisecond)
		must.LessEq(t, 1+settlingShare, w.admissibleRate(c)/c.Rate)
	}
	must.GreaterEq(t, 0.95, k.share(simWarmup+8*time.Second, 2*simWarmup))
}

// A zone is partitioned from the rest of the fleet while callers inside it request the whole
// contract. The daemons outside declare the zone dead and continue with the whole contract. The
// daemons inside detect that they are the smaller part and limit themselves to their share of
// the fleet, which bounds the excess.
func TestFault_partitionedZoneKeepsToItsShare(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	var inside, outside counter
	until := 6 * simWarmup
	w.load(w.daemons[0], c, c.Rate, until, &inside)
	w.load(w.daemons[10], c, c.Rate, until, &outside)
	w.runUntil(2 * simWarmup)
	w.partition(func(d *daemon) bool { return d.zone == 0 })
	w.runUntil(until)
	share := 1.0 / simZones
	from, to := 5*simWarmup, until
	must.LessEq(t, 1+share, w.admissibleRate(c)/c.Rate)
	must.LessEq(t, share+0.01, float64(sum(inside.admitted, from, to))/(c.Rate*(to-from).Seconds()))
	must.GreaterEq(t, 0.95, outside.share(from, to))
}

// The owner's answers to one holder are lost while the holder's requests arrive. The owner
// keeps charging the holder, so no other holder is granted what this one may still use. The
// holder's calls are refused once its lease has expired.
func TestFault_asymmetricPartition(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	owner := w.owner(c)
	holder, other := w.daemons[(owner.index+1)%6], w.daemons[30]
	var k, rest counter
	w.load(holder, c, c.Rate, 4*simWarmup, &k)
	w.runUntil(2 * simWarmup)
	w.load(other, c, c.Rate, 4*simWarmup, &rest)
	w.cut = func(a, b *daemon) bool { return a == owner && b == holder }
	for w.now < 4*simWarmup {
		w.runUntil(w.now + 100*time.Millisecond)
		must.LessEq(t, 1.001, w.admissibleRate(c)/c.Rate)
	}
	must.GreaterEq(t, 0.9, rest.share(4*simWarmup-5*time.Second, 4*simWarmup))
}

// A customer's demand ends. Its holders report that once, so the owner has the whole contract
// back within 2 s, and send nothing afterwards.
func TestIdleCustomer_sendsNoClaims(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	var k counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, c.Rate/6, 2*simWarmup, &k)
	}
	w.runUntil(2*simWarmup + 2*time.Second)
	must.Eq(t, amount{}, w.owner(c).m.owner.ledgers[c.Customer].sum.charged)
	sent := w.messages
	w.runUntil(2*simWarmup + 5*time.Minute)
	must.Eq(t, sent, w.messages)
	for _, d := range w.daemons {
		must.Zero(t, d.m.Stats().ActiveCustomers)
		must.Zero(t, d.m.Stats().Ledgers)
	}
}

// A contract is revised to half while it is fully used. From then on use stays within the new
// contract, although leases of the old one last for another 10 s, because each holder shrinks
// its lease with the contract.
func TestFault_contractRevisedDown(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 60}
	half := &snapshot.Contract{Customer: "acme", Rate: 300, Burst: 30}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	var k counter
	for _, d := range w.daemons[:6] {
		w.load(d, c, c.Rate/4, 2*simWarmup, &k)
	}
	w.runUntil(simWarmup + 10*time.Second)
	for _, d := range w.daemons {
		d.m.SetContracts(contractMap([]*snapshot.Contract{half}), 0)
	}
	must.LessEq(t, 1.0, w.admissibleRate(half)/half.Rate)
	w.runUntil(2 * simWarmup)
	must.LessEq(t, 1.0, w.admissibleRate(half)/half.Rate)
	from, to := simWarmup+11*time.Second, 2*simWarmup
	admitted := float64(sum(k.admitted, from, to)) / (half.Rate * (to - from).Seconds())
	must.LessEq(t, 1.02, admitted)
	must.GreaterEq(t, 0.95, admitted)
}

// Demand for three times the concurrency limit moves from zone to zone. The calls in flight on
// all daemons together never exceed the limit, and most of the limit is in use.
func TestFault_concurrencyOverTheFleet(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 10000, Burst: 10000, MaxConcurrent: 24}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	var k counter
	for i, d := range w.daemons[:24] {
		w.after(time.Duration(i/6)*10*time.Second, func() {
			w.load(d, c, 3*float64(c.MaxConcurrent)/callTime.Seconds()/6, w.now+10*time.Second, &k)
		})
	}
	inFlight, samples := 0.0, 0
	for w.now < simWarmup+40*time.Second {
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

// A hundred daemons with 1.5 calls/s each share 20 slots. Together they have 150 calls/s of 20
// ms, which occupy about a sixth of the slots. Most calls get a slot, because a holder returns
// a slot that has been idle for a tick while others need one.
func TestFault_fewSlotsForManyDaemons(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 1000, Burst: 1000, MaxConcurrent: 20}
	w := newWorld(2, 50, c)
	w.runUntil(simWarmup)
	var k counter
	for _, d := range w.daemons {
		w.load(d, c, 1.5, 2*simWarmup, &k)
	}
	w.runUntil(2*simWarmup + time.Second)
	must.GreaterEq(t, 0.7, k.share(simWarmup+5*time.Second, 2*simWarmup))
}

// A burst of calls three times the size of the bucket is refused, and each call is retried
// after the time in its refusal. The retry then finds a token, because the retry times are
// assigned one after another at the rate at which tokens become available.
func TestRetryAfter_findsToken(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 20, Burst: 20}
	w := newWorld(simZones, 6, c)
	w.runUntil(simWarmup)
	d := w.daemons[5]
	var k counter
	w.load(d, c, 0.5*c.Rate, simWarmup+20*time.Second, &k)
	w.runUntil(simWarmup + 10*time.Second)
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
	w.runUntil(simWarmup + 60*time.Second)
	must.Greater(t, 30, returned)
	must.GreaterEq(t, 0.9, float64(admitted)/float64(returned))
}

// A member that is suspect only briefly keeps its ownership. A member that is suspect for
// longer loses it, even though membership has not declared it dead.
func TestFleet_suspectLosesOwnership(t *testing.T) {
	base := time.Unix(1000, 0)
	a := &membership.Member{Host: "a", Boot: 1, Liveness: membership.Alive, Since: base}
	b := &membership.Member{Host: "b", Boot: 2, Liveness: membership.Suspect, Since: base, Region: "far"}
	view := &membership.View{Self: a, Members: []*membership.Member{a, b}}
	f := newFleet(view, base, 0, nil, DefaultOptions())
	must.Len(t, 2, f.candidates)
	must.Eq(t, suspectGrace, f.changesAt)
	f = newFleet(view, base, f.changesAt, f, DefaultOptions())
	must.Len(t, 1, f.candidates)
	must.True(t, f.partitioned("b"))
	must.False(t, f.isolated)
}

// A host drains and leaves while its daemon owns a customer whose calls are spread over all daemons, so
// that each call asks the owner's pool. Guards against calls refused until the rates that were
// delegated to the old owner's pool may be used again: it lives and confirms that it owns the
// customer no more.
func TestFault_plannedMoveOfOwnership(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 84, Burst: 84}
	tolerance := Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}
	w := newTolerantWorld(tolerance, 3, 21, c)
	w.runUntil(simWarmup)
	var k counter
	for _, d := range w.daemons {
		w.load(d, c, 0.7*c.Rate/63, 2*simWarmup, &k)
	}
	w.runUntil(simWarmup + 10*time.Second)
	moved := w.now
	w.drain(w.owner(c))
	w.runUntil(moved + 5*time.Second)
	must.GreaterEq(t, 0.85, k.share(moved+time.Second, moved+5*time.Second))
}
