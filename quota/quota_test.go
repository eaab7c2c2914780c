package quota

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/snapshot"
)

// singleDaemon returns the Manager of a fleet of one daemon that has finished settling, and its
// clock.
func singleDaemon(t *testing.T, c *snapshot.Contract) (m *Manager, clock *time.Duration) {
	t.Helper()
	clock = new(time.Duration)
	base := time.Unix(1_000_000, 0)
	m = New(Options{Host: "a", Now: func() time.Time { return base.Add(*clock) }})
	self := &membership.Member{Host: "a", Boot: 1, Liveness: membership.Alive, Since: base}
	m.SetView(&membership.View{Self: self, Members: []*membership.Member{self}})
	m.SetContracts(map[string]*snapshot.Contract{c.Customer: c}, 0)
	for *clock = 0; *clock < DefaultLeaseTime; *clock += tickInterval {
		must.SliceEmpty(t, m.step(*clock))
	}
	return m, clock
}

func TestManager_refusesBeyondContract(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 10, Burst: 5, MaxConcurrent: 3}
	m, clock := singleDaemon(t, c)
	admitted := 0
	for range 10 * 100 {
		*clock += 10 * time.Millisecond
		if g, err := m.Admit(c); err == nil {
			admitted++
			g.Done()
		} else {
			must.Eq(t, errkind.RateLimited, errkind.Of(err))
			must.Positive(t, errkind.RetryAfterOf(err))
		}
		must.SliceEmpty(t, m.step(*clock))
	}
	must.Between(t, 90, admitted, 105)
}

// A burst arrives after a quiet period, from callers that do not wait. The daemon is then
// granted a lease whose bucket is most of the burst. The tokens for it are sent along from the
// owner's pool, which has no room for them any more.
func TestManager_admitsTheWholeBurst(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 1, Burst: 50}
	m, clock := singleDaemon(t, c)
	for range 600 {
		*clock += tickInterval
		m.step(*clock)
	}
	admitted := 0
	for range 100 {
		if g, err := m.Admit(c); err == nil {
			admitted++
			g.Done()
		}
	}
	for range 300 {
		*clock += 10 * time.Millisecond
		m.step(*clock)
		if g, err := m.Admit(c); err == nil {
			admitted++
			g.Done()
		}
	}
	must.Between(t, int(c.Burst)-1, admitted, int(c.Burst+3*c.Rate))
}

func TestManager_refusesBeyondConcurrency(t *testing.T) {
	c := &snapshot.Contract{Customer: "acme", Rate: 1000, Burst: 1000, MaxConcurrent: 3}
	m, clock := singleDaemon(t, c)
	for range 100 {
		*clock += 10 * time.Millisecond
		_, _ = m.Admit(c)
		m.step(*clock)
	}
	_, err := m.Admit(c)
	must.Eq(t, errkind.ConcurrencyLimit, errkind.Of(err))
	must.Eq(t, 3, (*m.holder.accounts.Load())["acme"].inFlight.Load())
	(&Grant{(*m.holder.accounts.Load())["acme"]}).Done()
	_, err = m.Admit(c)
	must.NoError(t, err)
}

// Calls in flight outlive the lease that admitted them. The holder reports them even without a
// lease, since the owner would otherwise grant their slots again.
func TestAccount_claimReportsCallsInFlight(t *testing.T) {
	a := newAccount(&snapshot.Contract{Customer: "acme", MaxConcurrent: 5})
	a.inFlight.Store(3)
	must.Eq(t, 3, a.claim(0, 1, newPendingClaim()).GetHeld().GetSlots())
}

func TestManager_Run(t *testing.T) {
	m := New(Options{Host: "a"})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	must.NoError(t, m.Run(ctx))
}
