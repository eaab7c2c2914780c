package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// accountWithLease returns an account with a lease of 4 calls/s from the owner with boot 1, and a demand of
// less than one.
func accountWithLease(now time.Duration) *account {
	a := newAccount(&snapshot.Contract{Customer: "acme", Rate: 100, Burst: 100})
	a.demand.reset(0, 0)
	a.arrivals.Store(5)
	l := newLease(amount{rate: 4, burst: 3}, true, now, now+DefaultLeaseTime)
	l.grantedBy = 1
	a.lease.Store(l)
	return a
}

// The owner does not answer. What a claim gives up then cannot be granted again before the next owner has
// settled, so that each low sample of the demand made the lease smaller.
func TestAccount_keepsItsLeaseWithoutAnOwner(t *testing.T) {
	const now = 10 * time.Second
	a := accountWithLease(now)
	a.failures = 1
	must.Eq(t, 4, a.claim(now, 1, newPendingClaim()).GetHeld().GetRate())
	a = accountWithLease(now)
	must.Eq(t, 4, a.claim(now, 2, newPendingClaim()).GetHeld().GetRate(), must.Sprint("to another owner"))
	a = accountWithLease(now)
	must.Less(t, 4, a.claim(now, 1, newPendingClaim()).GetHeld().GetRate(), must.Sprint("to the owner that granted it"))
}

// A lease from an earlier owner is reported while the ledger settles. What it grants less than that is lost
// to all holders until it knows the whole demand.
func TestLedger_settlingKeepsWhatIsHeld(t *testing.T) {
	m, _ := managerWithLease(t)
	f := m.fleet.Load()
	l := newLedger(DefaultOptions(), &snapshot.Contract{Rate: 100, Burst: 100}, time.Minute, 0)
	held := &quotapb.Amount{Rate: 10, Burst: 5}
	lease := l.claim(time.Second, f, holderID{"h", 100}, 1, &quotapb.Claim{
		Demand: 2, Held: held, GrantedBy: 77, Origin: &quotapb.Origin{Charged: held, ChargedToAll: held},
	})
	must.Eq(t, 10, lease.GetGranted().GetRate())
}

// The owner's process has ended, and its host runs another one. The rate that was delegated to the old
// process is free at once: it was unused for three more seconds.
func TestHolder_delegationEndsWithTheProcess(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 100, Burst: 100}
	base := time.Unix(1_000_000, 0)
	now := base
	m := New(Options{Host: "b", Now: func() time.Time { return now }})
	owner := &membership.Member{Host: "a", Boot: 1, Liveness: membership.Alive, Since: base}
	self := &membership.Member{Host: "b", Boot: 2, Liveness: membership.Alive, Since: base, Draining: true}
	m.SetView(&membership.View{Self: self, Members: []*membership.Member{owner, self}})
	m.SetContracts(map[string]*snapshot.Contract{c.Customer: c}, 0)
	_, _ = m.Admit(c)
	m.step(m.now())
	a := m.account(c)
	l := newLease(amount{rate: 4}, false, m.now(), forever)
	l.pooled = true
	l.delegation = delegation{to: owner.Boot, until: forever}
	a.lease.Store(l)
	next := &membership.Member{Host: "a", Boot: 3, Liveness: membership.Alive, Since: base}
	m.SetView(&membership.View{Self: self, Members: []*membership.Member{next, self}})
	must.False(t, l.delegation.open(next.Boot, m.now()))
}

// The owner does not answer. A call waits for it, and finds the token that the lease has meanwhile.
func TestAdmitWait_takesTheNextTokenWhileTheOwnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &snapshot.Contract{Customer: "acme", Rate: 20, Burst: 20}
		m, peers := fleetOf(t, c, "a", "b")
		peers.unresponsive = true
		m.account(c).lease.Store(newLease(amount{rate: 5, burst: 2}, true, m.now(), forever))
		start := time.Now()
		_, err := m.AdmitWait(t.Context(), c)
		must.NoError(t, err)
		must.Between(t, 200*time.Millisecond, time.Since(start), 210*time.Millisecond)
		_, err = m.AdmitWait(t.Context(), c)
		must.NoError(t, err)
		m.account(c).lease.Store(newLease(amount{rate: 1, burst: 2}, true, m.now(), forever))
		_, err = m.AdmitWait(t.Context(), c)
		must.Eq(t, errkind.RateLimited, errkind.Of(err))
	})
}

// A limit is cut to a tenth, and the owner gets the new configuration two seconds after the holders. Their
// first claims then bring leases from the previous limit, which must not last until the next renewal.
func TestFault_ownerLearnsOfALimitLast(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 600, Burst: 600}
	w := newTolerantWorld(Tolerance{Window: promiseWindow, Share: promiseOverage - 1, Calls: promiseSlack}, 2, 8, c)
	var k counter
	w.runUntil(10 * time.Second)
	for _, d := range w.daemons {
		w.load(d, c, 30, 40*time.Second, &k)
	}
	w.runUntil(20 * time.Second)
	cut := &snapshot.Contract{Customer: "acme", Rate: 60, Burst: 60}
	owner := w.owner(c)
	for _, d := range w.daemons {
		after := time.Duration(0)
		if d == owner {
			after = 2 * time.Second
		}
		w.after(after, func() { d.m.SetContracts(contractMap([]*snapshot.Contract{cut}), 0) })
	}
	w.runUntil(22*time.Second + 1500*time.Millisecond)
	must.LessEq(t, 1.3*60, w.admissibleRate(cut), must.Sprint("calls/s that all daemons may admit 1.5 s after the owner has the limit"))
}
