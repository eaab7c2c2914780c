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

// Manager enforces the contracts of customers on one daemon, and keeps the ledgers of the
// customers that this daemon owns.
type Manager struct {
	opts   Options
	start  time.Time
	holder *holder
	owner  *owner
	fleet  atomic.Pointer[fleet]
	stats  counters
}

type counters struct {
	refused, sent, failed, served atomic.Int64
}

// Stats holds counters since the creation of a Manager, and current gauges.
type Stats struct {
	// Refused counts refused calls.
	Refused int64
	// Sent and Failed count requests to owners on other daemons, Served those received from
	// other daemons.
	Sent, Failed, Served int64
	// ActiveCustomers is the number of customers with recent calls to this daemon.
	ActiveCustomers int
	// Ledgers is the number of ledgers that this daemon keeps, Leases the number of leases
	// in them.
	Ledgers, Leases int
}

// New returns a Manager. Until it has a view, contracts and, through Run, leases, it admits
// only a small share of each contract.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	return &Manager{opts: opts, start: opts.Now(), holder: newHolder(opts), owner: newOwner(opts)}
}

// now returns the monotonic time since the Manager was created.
func (m *Manager) now() time.Duration { return m.opts.Now().Sub(m.start) }

func (m *Manager) account(c *snapshot.Contract) *account {
	if a := (*m.holder.accounts.Load())[c.Customer]; a != nil {
		return a
	}
	return m.holder.account(c, m.now())
}

// SetView replaces the membership view, from which ownership is derived.
func (m *Manager) SetView(view *membership.View) {
	if view == nil || view.Self == nil {
		return
	}
	m.setView(view, m.now())
}

func (m *Manager) setView(view *membership.View, now time.Duration) {
	f := newFleet(view, m.start, now, m.fleet.Load(), m.opts)
	m.fleet.Store(f)
	m.owner.setFleet(f, now)
	m.holder.setFleet(f, now)
}

// SetContracts replaces the contracts in force, by customer, with those of a configuration offset, which is
// 0 if it is not known. The map must not be modified afterwards.
func (m *Manager) SetContracts(contracts map[string]*snapshot.Contract, offset uint64) {
	now := m.now()
	m.owner.setContracts(contracts, offset, now)
	m.holder.setContracts(contracts, now)
}

// Serve answers a request from the daemon on another host.
func (m *Manager) Serve(req *quotapb.Request) *quotapb.Answer {
	m.stats.served.Add(1)
	return m.owner.serve(req, m.now())
}

// Stats returns the current statistics.
func (m *Manager) Stats() Stats {
	ledgers, leases := m.owner.size()
	return Stats{
		Refused:         m.stats.refused.Load(),
		Sent:            m.stats.sent.Load(),
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
	// done wakes the loop after an answer, so that claims that became due in the meantime
	// are sent.
	done := make(chan struct{}, 1)
	for {
		for _, q := range m.step(m.now()) {
			t.Go(func() error {
				m.exchange(ctx, q)
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
		case a := <-m.holder.queue:
			m.holder.handleQueued(a, m.now())
		}
	}
}

// step does the due work of holder and owner, completes exchanges with this daemon itself, and
// returns the exchanges to make with other daemons.
func (m *Manager) step(now time.Duration) []*exchange {
	if f := m.fleet.Load(); f != nil && now >= f.changesAt {
		m.setView(f.view, now)
	}
	m.owner.heartbeat(now)
	if m.owner.takeReportAgain() {
		m.holder.reportToSelf(now)
	}
	exchanges := m.holder.step(now)
	remote := exchanges[:0]
	for _, q := range exchanges {
		if q.owner.Host != m.opts.Host {
			remote = append(remote, q)
			continue
		}
		m.holder.finish(q, m.owner.serve(q.request, now), nil, now)
	}
	return remote
}

// exchange sends one request and passes the answer to the holder.
func (m *Manager) exchange(ctx context.Context, q *exchange) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	m.stats.sent.Add(1)
	answer, err := m.opts.Peers.SendClaims(ctx, q.owner, q.request)
	if err != nil {
		m.stats.failed.Add(1)
		m.opts.Logger.Debug("quota: request to the owner failed", "owner", q.owner.Host, "error", err)
	}
	m.holder.finish(q, answer, err, m.now())
}
