package retry

import (
	"sync"
	"sync/atomic"
)

// Budgets holds a Budget for each service. What may be sent to a service again is a share
// of the requests that callers send to it; calls between services earn it nothing. A
// request that is sent again makes its calls again, at the services that it calls: they
// are taken from the budgets of those. It is safe for concurrent use.
//
// Budgets start empty. A daemon that restarts would else hand out its part of the burst
// once more: with one restart after the other through a fleet, twice the fleet's within
// one window.
type Budgets struct {
	opts     BudgetOptions
	burst    atomic.Int64
	services sync.Map
}

// ServiceCost is what sending a request again costs at one service.
type ServiceCost struct {
	Service string
	// Calls is how many calls it is expected to bring there.
	Calls float64
}

// NewBudgets returns empty budgets.
func NewBudgets(opts BudgetOptions) *Budgets {
	b := &Budgets{opts: opts}
	b.burst.Store(int64(opts.Burst) * unitsPerRetry)
	return b
}

// SetBurst changes the burst of each service, in retries.
func (b *Budgets) SetBurst(retries float64) {
	b.burst.Store(int64(retries * unitsPerRetry))
	b.services.Range(func(_, budget any) bool {
		budget.(*Budget).SetBurst(retries)
		return true
	})
}

// Deposit counts one request of a caller to a service.
func (b *Budgets) Deposit(service string) { b.budget(service).Deposit() }

// Withdraw takes all of the needs, or nothing, and reports which.
func (b *Budgets) Withdraw(costs ...ServiceCost) bool {
	for i, n := range costs {
		if b.budget(n.Service).withdrawUnits(int64(n.Calls * unitsPerRetry)) {
			continue
		}
		for _, taken := range costs[:i] {
			b.budget(taken.Service).balance.Add(int64(taken.Calls * unitsPerRetry))
		}
		return false
	}
	return true
}

func (b *Budgets) budget(service string) *Budget {
	if v, ok := b.services.Load(service); ok {
		return v.(*Budget)
	}
	n := NewBudget(b.opts)
	n.limit.Store(b.burst.Load())
	n.balance.Store(0)
	v, _ := b.services.LoadOrStore(service, n)
	return v.(*Budget)
}
