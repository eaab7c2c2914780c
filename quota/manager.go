package quota

import (
	"context"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// Manager holds the customers of one daemon to their contracts and owns the
// ledgers of some.
type Manager struct {
	opts   Options
	start  time.Time
	holder *holder
	owner  *owner
	fleet  atomic.Pointer[fleet]
	stats  counters
}

type counters struct {
	refused, asked, failed, served atomic.Int64
}

// Stats counts what a Manager has done since it was made, and what it has now.
type Stats struct {
	// Refused calls.
	Refused int64
	// Sent and Failed count requests to other daemons' ledgers, Served those
	// from others.
	Sent, Failed, Served int64
	// ActiveCustomers have had calls here of late.
	ActiveCustomers int
	// Ledgers kept for the fleet, and Leases in them.
	Ledgers, Leases int
}

// New returns a Manager that admits next to nothing until it has a view,
// contracts and, by Run, leases.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	return &Manager{opts: opts, start: opts.Now(), holder: newHolder(opts), owner: newOwner(opts)}
}

// now returns the time since the Manager was made, by the monotonic clock.
func (m *Manager) now() time.Duration { return m.opts.Now().Sub(m.start) }

func (m *Manager) account(c *snapshot.Contract) *account {
	if a := (*m.holder.accounts.Load())[c.Customer]; a != nil {
		return a
	}
	return m.holder.account(c, m.now())
}

// SetView takes over the membership table. Ownership follows from it.
func (m *Manager) SetView(view *membership.View) {
	if view == nil || view.Self == nil {
		return
	}
	m.setView(view, m.now())
}

func (m *Manager) setView(view *membership.View, now time.Duration) {
	f := newFleet(view, m.start, now, m.fleet.Load(), m.opts.rejoinTime())
	m.fleet.Store(f)
	m.owner.setFleet(f, now)
	m.holder.setFleet(f, now)
}

// SetContracts takes over the contracts in force. The map must not change.
func (m *Manager) SetContracts(contracts map[string]*snapshot.Contract) {
	now := m.now()
	m.owner.setContracts(contracts, now)
	m.holder.setContracts(contracts, now)
}

// Serve answers a request of the daemon on another host.
func (m *Manager) Serve(_ context.Context, from string, req *quotapb.Request) *quotapb.Answer {
	m.stats.served.Add(1)
	return m.owner.serve(from, req, m.now())
}

// Stats returns the counts at this time.
func (m *Manager) Stats() Stats {
	ledgers, leases := m.owner.size()
	return Stats{
		Refused:         m.stats.refused.Load(),
		Sent:            m.stats.asked.Load(),
		Failed:          m.stats.failed.Load(),
		Served:          m.stats.served.Load(),
		ActiveCustomers: m.holder.size(),
		Ledgers:         ledgers,
		Leases:          leases,
	}
}

// Run claims, renews and drops leases until ctx is done, and returns nil then.
func (m *Manager) Run(ctx context.Context) error {
	t, tctx := tomb.WithContext(ctx)
	t.Go(func() error { return m.run(tctx, t) })
	if err := t.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

func (m *Manager) run(ctx context.Context, t *tomb.Tomb) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// done wakes the loop after an answer: what became due meanwhile goes out.
	done := make(chan struct{}, 1)
	for {
		for _, q := range m.step(m.now()) {
			t.Go(func() error {
				m.ask(ctx, q)
				select {
				case done <- struct{}{}:
				default:
				}
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-done:
		case a := <-m.holder.kicks:
			m.holder.takeKick(a, m.now())
		}
	}
}

// step does what is due on both sides and returns the exchanges to be made with
// other daemons; those with this daemon itself are done.
func (m *Manager) step(now time.Duration) []*ask {
	if f := m.fleet.Load(); f != nil && now >= f.changesAt {
		m.setView(f.view, now)
	}
	m.owner.beat(now)
	asks := m.holder.step(now)
	remote := asks[:0]
	for _, q := range asks {
		if q.owner.Host != m.opts.Host {
			remote = append(remote, q)
			continue
		}
		m.holder.finish(q, m.owner.serve(m.opts.Host, q.request, now), nil, now)
	}
	return remote
}

// ask makes one exchange.
func (m *Manager) ask(ctx context.Context, q *ask) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m.stats.asked.Add(1)
	answer, err := m.opts.Peers.SendClaims(ctx, q.owner, q.request)
	if err != nil {
		m.stats.failed.Add(1)
		m.opts.Logger.Debug("quota: owner does not answer", "owner", q.owner.Host, "error", err)
	}
	m.holder.finish(q, answer, err, m.now())
}
