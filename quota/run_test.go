package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// localPeers delivers requests to Managers of this process, with a delay of 1 ms.
type localPeers struct {
	managers     map[string]*Manager
	unresponsive bool
}

func (p *localPeers) SendClaims(ctx context.Context, owner *membership.Member, req *quotapb.Request) (*quotapb.Answer, error) {
	if p.unresponsive {
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "send claims to the owner")
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Millisecond):
	}
	return p.managers[owner.Host].Serve(req), nil
}

// fleetOf runs Managers in a synctest bubble until the test ends. It returns one that does not
// own the customer, and its network.
func fleetOf(t *testing.T, c *snapshot.Contract, hosts ...string) (*Manager, *localPeers) {
	view := &membership.View{}
	managers := map[string]*Manager{}
	peers := map[string]*localPeers{}
	for i, host := range hosts {
		view.Members = append(view.Members, &membership.Member{
			Host: host, Boot: uint64(i + 1), Liveness: membership.Alive, Since: time.Now(),
		})
		peers[host] = &localPeers{managers: managers}
		managers[host] = New(Options{Host: host, Peers: peers[host]})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var nonOwner string
	for i, host := range hosts {
		m := managers[host]
		m.SetView(&membership.View{Self: view.Members[i], Members: view.Members})
		m.SetContracts(map[string]*snapshot.Contract{c.Customer: c}, 0)
		running.Go(func() { test.NoError(t, m.Run(ctx)) })
		if !m.fleet.Load().selfOwns(c.Customer) {
			nonOwner = host
		}
	}
	time.Sleep(DefaultLeaseTime)
	return managers[nonOwner], peers[nonOwner]
}

// An idle customer sends its burst to one daemon at once. The daemon has no token for any of
// these calls, so they wait for the owner's pool and are admitted one or two round trips later.
// One call may be refused, because fractions of a token may be on either side. Further calls
// are refused.
func TestAdmitWait_getsBurstFromThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &snapshot.Contract{Customer: "acme", Rate: 10, Burst: 50}
		m, _ := fleetOf(t, c, "a", "b", "c")
		start := time.Now()
		var wg sync.WaitGroup
		var admitted atomic.Int64
		for range int(c.Burst) {
			wg.Go(func() {
				if g, err := m.AdmitWait(t.Context(), c); err == nil {
					admitted.Add(1)
					g.Done()
				}
			})
		}
		wg.Wait()
		must.GreaterEq(t, int64(c.Burst)-1, admitted.Load())
		must.LessEq(t, 10*time.Millisecond, time.Since(start))
		_, _ = m.Admit(c)
		_, err := m.Admit(c)
		must.Eq(t, errkind.RateLimited, errkind.Of(err))
		must.Positive(t, errkind.RetryAfterOf(err))
	})
}

// The owner does not answer. A call without a lease is refused after admitWait; a call whose
// caller gives up is refused immediately.
func TestAdmitWait_isBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &snapshot.Contract{Customer: "acme", Rate: 1, Burst: 1}
		m, peers := fleetOf(t, c, "a", "b", "c")
		peers.unresponsive = true
		start := time.Now()
		_, err := m.AdmitWait(t.Context(), c)
		must.Eq(t, errkind.RateLimited, errkind.Of(err))
		must.Eq(t, admitWait, time.Since(start))
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		start = time.Now()
		_, err = m.AdmitWait(ctx, c)
		must.Eq(t, errkind.RateLimited, errkind.Of(err))
		must.Zero(t, time.Since(start))
	})
}

// Requests name the host of the holder. Without it, the lease of a daemon that has ended stayed
// charged until it expired, and the calls of the other holders were refused in the meantime.
func TestOwner_KnowsTheHostsOfHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &snapshot.Contract{Customer: "acme", Rate: 100, Burst: 100}
		m, network := fleetOf(t, c, "a", "b")
		grant, err := m.AdmitWait(t.Context(), c)
		must.NoError(t, err)
		grant.Done()
		time.Sleep(time.Second)
		for host, owner := range network.managers {
			if host == m.opts.Host {
				continue
			}
			owner.owner.mu.Lock()
			entries := slices.Clone(owner.owner.ledgers["acme"].entries)
			owner.owner.mu.Unlock()
			must.Len(t, 1, entries)
			must.Eq(t, m.opts.Host, entries[0].holder.host)
		}
	})
}

// A call finds no token, and the claim just before has brought none. The customer's demand is below its
// limit, so the call waits for its next token. It was rejected at once for 100 ms after such a claim.
func TestAdmitWait_waitsForTheNextTokenBelowTheLimit(t *testing.T) {
	for _, below := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := &snapshot.Contract{Customer: "acme", Rate: 20, Burst: 20}
			m, _ := fleetOf(t, c, "a", "b")
			a := m.account(c)
			l := newLease(amount{rate: 20, burst: 2}, true, m.now(), forever)
			l.belowLimit = below
			a.lease.Store(l)
			a.notBefore.Store(int64(m.now() + minEmptyClaimInterval))
			start := time.Now()
			_, err := m.AdmitWait(t.Context(), c)
			if below {
				must.NoError(t, err)
				must.Between(t, 50*time.Millisecond, time.Since(start), 60*time.Millisecond)
				return
			}
			must.Eq(t, errkind.RateLimited, errkind.Of(err))
			must.Zero(t, time.Since(start))
		})
	}
}
