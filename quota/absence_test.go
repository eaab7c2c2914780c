package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// absenceRun is a fleet of ten daemons in which the owner of a customer is away for a while. The
// customer sends several times its rate through the other daemons.
type absenceRun struct {
	w    *world
	away *daemon
	// earlier is a customer that is there from the start.
	earlier, customer *snapshot.Contract
	admitted          []time.Duration
}

// newAbsenceRun returns a run at absenceStart. known is whether the customer is there from the start.
func newAbsenceRun(known bool) *absenceRun {
	r := &absenceRun{
		earlier:  &snapshot.Contract{Customer: "earlier", Rate: 150, Burst: 150},
		customer: &snapshot.Contract{Customer: "customer", Rate: 150, Burst: 150},
	}
	list := []*snapshot.Contract{r.earlier}
	if known {
		list = append(list, r.customer)
	}
	r.w = newTolerantWorld(Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}, 1, 10, list...)
	r.w.runUntil(absenceStart)
	return r
}

const (
	absenceStart = 10 * time.Second
	absenceLoad  = 10 * time.Second // how long the customer sends
)

// absenceCase is an absence from absenceStart on. The other times are relative to that.
type absenceCase struct {
	name string
	// length is how long the owner is away, paused is whether its process does not run meanwhile; else
	// it is cut off from all others.
	length time.Duration
	paused bool
	// added is when the customer is added, 0 if it has been there from the start, and load when it
	// begins to send.
	added, load time.Duration
}

var absenceCases = []absenceCase{
	{"added during a cut", 4500 * time.Millisecond, false, 3500 * time.Millisecond, 4 * time.Second},
	{"added just after a cut", 4500 * time.Millisecond, false, 4700 * time.Millisecond, 4750 * time.Millisecond},
	{"known before a cut", 8 * time.Second, false, 0, 7500 * time.Millisecond},
	{"added during a pause", 4500 * time.Millisecond, true, 3500 * time.Millisecond, 4 * time.Second},
	{"added just after a pause", 4500 * time.Millisecond, true, 4700 * time.Millisecond, 4750 * time.Millisecond},
	{"known before a pause", 8 * time.Second, true, 0, 7500 * time.Millisecond},
}

func runAbsence(c absenceCase) *absenceRun {
	r := newAbsenceRun(c.added == 0)
	r.away = r.w.owner(r.customer)
	if c.paused {
		r.w.pause(r.away)
		r.w.after(c.length, func() { r.w.resume(r.away) })
	} else {
		r.w.cutOff(c.length, r.away)
	}
	if c.added > 0 {
		r.w.after(c.added, func() { r.add(r.earlier, r.customer) })
	}
	r.w.after(c.load, r.load)
	r.w.runUntil(absenceStart + c.load + absenceLoad)
	return r
}

// add puts contracts in force, within half a second, also at a daemon that is cut off: it reads the
// configuration from the platform.
func (r *absenceRun) add(list ...*snapshot.Contract) {
	for _, d := range r.w.daemons {
		r.w.after(r.w.within(0, 500*time.Millisecond), func() {
			d.execute(func() { d.m.SetContracts(contractMap(list), 0) })
		})
	}
}

// load sends 400 calls per second through the daemons that are not away.
func (r *absenceRun) load() {
	for _, d := range r.w.daemons {
		if d == r.away {
			continue
		}
		list := arrivals(uint64(d.index), 1, absenceLoad, func(int, time.Duration) float64 { return 400.0 / 9 })
		r.w.feed(list, func(arrival) {
			d.call(r.customer, func(admitted bool) {
				if admitted {
					r.admitted = append(r.admitted, r.w.now)
				}
			})
		})
	}
}

// mostInWindow returns the largest number of admitted calls in a promiseWindow.
func mostInWindow(admitted []time.Duration) int {
	most, from := 0, 0
	for to, end := range admitted {
		for admitted[from] <= end-promiseWindow {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Guards against a burst that is granted twice: by the daemon that owns a customer while its owner is
// away, and by the owner when it is back.
func TestFault_ownerAwayGrantsNoSecondBurst(t *testing.T) {
	for _, c := range absenceCases {
		t.Run(c.name, func(t *testing.T) {
			r := runAbsence(c)
			must.LessEq(t, int(promised(r.customer)), mostInWindow(r.admitted))
		})
	}
}

// Guards against a second burst for a customer that is removed and soon added again.
func TestFault_customerAddedAgainGetsNoSecondBurst(t *testing.T) {
	r := newAbsenceRun(true)
	r.load()
	putInForce := func(after time.Duration, list ...*snapshot.Contract) {
		r.w.after(after, func() {
			for _, d := range r.w.daemons {
				d.m.SetContracts(contractMap(list), 0)
			}
		})
	}
	putInForce(time.Second, r.earlier)
	putInForce(1100*time.Millisecond, r.earlier, r.customer)
	r.w.runUntil(absenceStart + absenceLoad)
	must.LessEq(t, int(promised(r.customer)), mostInWindow(r.admitted))
	must.GreaterEq(t, int(0.9*r.customer.Rate*absenceLoad.Seconds()), len(r.admitted))
}

// Guards against two owners of an added customer, one of which drains: some daemons learn of that before
// the customer is added, the others and the owner itself after it.
func TestFault_customerAddedWhileItsOwnerDrains(t *testing.T) {
	r := newAbsenceRun(false)
	owner := r.w.owner(r.customer)
	r.w.drainAfter(owner, func(o *daemon) time.Duration {
		if o != owner && o.index%2 == 0 {
			return 0
		}
		return 600 * time.Millisecond
	})
	r.w.runUntil(r.w.now + 10*time.Millisecond)
	for _, d := range r.w.daemons {
		d.m.SetContracts(contractMap([]*snapshot.Contract{r.earlier, r.customer}), 0)
	}
	r.load()
	r.w.runUntil(absenceStart + absenceLoad)
	must.LessEq(t, int(promised(r.customer)), mostInWindow(r.admitted))
}

// Guards against two owners of an added customer, one of which has just started: the other daemons learn
// of it a second later and take another one for the owner until then.
func TestFault_customerAddedWhileItsOwnerStarts(t *testing.T) {
	r := newAbsenceRun(false)
	owner := r.w.owner(r.customer)
	r.w.kill(owner)
	r.w.runUntil(absenceStart + 10*time.Second)
	owner.boot += 1000
	r.w.boot(owner, contractMap([]*snapshot.Contract{r.earlier}))
	for _, o := range r.w.daemons {
		o.setLiveness(owner, membership.Alive, time.Second)
	}
	r.w.runUntil(r.w.now + 100*time.Millisecond)
	for _, d := range r.w.daemons {
		d.m.SetContracts(contractMap([]*snapshot.Contract{r.earlier, r.customer}), 0)
	}
	r.load()
	r.w.runUntil(r.w.now + absenceLoad)
	must.LessEq(t, int(promised(r.customer)), mostInWindow(r.admitted))
}

// Guards against two sides of a cut that both grant the whole contract: three of ten hosts, the owner
// among them, reach each other and none of the rest. Until they take the others for unreachable, they do
// not know that they are the smaller side.
func TestFault_smallerSideOfACutGrantsItsShare(t *testing.T) {
	r := &absenceRun{customer: &snapshot.Contract{Customer: "customer", Rate: 150, Burst: 150}}
	r.w = newTolerantWorld(Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}, 1, 10, r.customer)
	r.w.runUntil(absenceStart)
	owner := r.w.owner(r.customer)
	inside := func(d *daemon) bool { return (d.index-owner.index+10)%10 < 3 }
	r.w.partition(inside)
	r.w.after(8*time.Second, r.w.heal)
	r.w.after(2*time.Second, r.load)
	r.w.runUntil(absenceStart + 2*time.Second + absenceLoad)
	must.LessEq(t, int(promised(r.customer)), mostInWindow(r.admitted))
}

// Guards against a returned owner that settles for so long that a customer gets much less than its
// rate: it sends more than that, so that all of it should be used.
func TestFault_ownerThatReturnsGrantsTheRate(t *testing.T) {
	for _, c := range absenceCases {
		t.Run(c.name, func(t *testing.T) {
			r := runAbsence(c)
			from := absenceStart + max(c.length, c.load) + 2*time.Second
			n := 0
			for _, at := range r.admitted {
				if at >= from && at < from+4*time.Second {
					n++
				}
			}
			must.GreaterEq(t, int(0.9*4*r.customer.Rate), n)
		})
	}
}

// Guards against owners that settle although nothing happened: a version adds many customers to a calm
// fleet, and each of them sends its burst at once.
func TestAddedCustomersGetTheirBurstInACalmFleet(t *testing.T) {
	earlier := &snapshot.Contract{Customer: "earlier", Rate: 150, Burst: 150}
	w := newTolerantWorld(Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}, 2, 16, earlier)
	w.runUntil(absenceStart)
	list := []*snapshot.Contract{earlier}
	for i := range 60 {
		list = append(list, &snapshot.Contract{Customer: fmt.Sprint("added-", i), Rate: 30, Burst: 30})
	}
	for _, d := range w.daemons {
		d.m.SetContracts(contractMap(list), 0)
	}
	w.runUntil(w.now + 500*time.Millisecond)
	offered, admitted := 0, 0
	for i, c := range list[1:] {
		for range int(0.8 * c.Burst) {
			offered++
			w.daemons[i%len(w.daemons)].call(c, func(ok bool) { admitted += count(ok) })
		}
	}
	w.runUntil(w.now + time.Second)
	must.GreaterEq(t, offered*99/100, admitted)
}

// Guards against an absence that goes unnoticed, because another member has not declared the daemon dead
// yet or because it has been heard again before the next check.
func TestOwner_DetectsAbsence(t *testing.T) {
	base := time.Unix(1000, 0)
	now := time.Duration(0)
	s := membership.Standing{HeardAt: base}
	o := newOwner(Options{
		Host: "a", ProbeInterval: 500 * time.Millisecond, Standing: func() membership.Standing { return s },
		Now: func() time.Time { return base.Add(now) },
	}.withDefaults())
	a := &membership.Member{Host: "a", Boot: 1, Liveness: membership.Alive, Since: base}
	b := &membership.Member{Host: "b", Boot: 2, Liveness: membership.Alive, Since: base}
	o.setFleet(newFleet(&membership.View{Self: a, Members: []*membership.Member{a, b}}, base, 0, nil, o.opts), 0)
	step := func(to time.Duration) absence {
		now = to
		return o.absence(now)
	}
	must.Eq(t, present, step(o.opts.contactTimeout()))
	must.Eq(t, silent, step(o.opts.contactTimeout()+time.Millisecond))
	s.HeardAt = base.Add(now)
	must.Eq(t, present, step(now+time.Millisecond))
	s.DeclaredDeadAt = base.Add(now)
	must.Eq(t, declaredDead, step(now))
	must.Eq(t, present, step(now))
}
