package quota

import (
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/snapshot"
)

// Situation is what the admission of a customer's calls at this daemon is based on at one time.
type Situation struct {
	// Leased is whether the daemon has a lease; otherwise only its part of the unleased share
	// applies. Pooled is whether the rate of the lease feeds the owner's pool.
	Leased, Pooled bool
	// Rate and Burst are those of the lease, in calls per second and calls.
	Rate, Burst float64
	// Demand is the estimated rate of the customer's calls to this daemon.
	Demand float64
	// Expires is the time until the lease ends.
	Expires time.Duration
	// Owner is the host that keeps the customer's ledger, empty if it is not known. Failures is the
	// number of consecutive claims that it has not granted.
	Owner    string
	Failures int
	// Limit is the rate of the contract.
	Limit float64
}

// Situation returns the situation of a customer.
func (m *Manager) Situation(c *snapshot.Contract) Situation {
	a, now := m.account(c), m.now()
	l, leased := a.current(now)
	s := Situation{Leased: leased, Pooled: l.pooled, Rate: l.rate, Burst: l.burst, Limit: c.Rate}
	if leased {
		s.Expires = l.expires - now
	}
	m.holder.mu.Lock()
	defer m.holder.mu.Unlock()
	s.Demand, s.Failures = a.demand.rate(a.arrivals.Load()), a.failures
	if a.owner != nil {
		s.Owner = a.owner.Host
	}
	return s
}

// LogValue implements slog.LogValuer.
func (s Situation) LogValue() slog.Value {
	return slog.GroupValue(slog.Bool("leased", s.Leased), slog.Bool("pooled", s.Pooled), slog.Float64("rate", s.Rate),
		slog.Float64("burst", s.Burst), slog.Float64("demand", s.Demand), slog.Float64("limit", s.Limit),
		slog.Duration("expires", s.Expires), slog.String("owner", s.Owner), slog.Int("failures", s.Failures))
}
