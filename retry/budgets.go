package retry

import (
	"sync"
	"sync/atomic"
)

// Budgets holds a Budget for each service. The retries to a service are limited to a fraction of
// the requests that callers send to it; calls between services earn no retries. A retried request
// repeats its calls to other services, and these calls are charged to the budgets of those
// services. It is safe for concurrent use.
//
// Budgets start empty. Otherwise, a restarted daemon would grant its part of the burst again: a
// rolling restart of the fleet would grant twice the fleet's burst within one window.
type Budgets struct {
	opts     BudgetOptions
	burst    atomic.Int64
	services sync.Map
}

// ServiceCost is the cost of retrying a request at one service.
type ServiceCost struct {
	Service string
	// Calls is the number of calls that the retry is expected to cause at the service.
	Calls float64
}

// NewBudgets returns empty budgets.
func NewBudgets(opts BudgetOptions) *Budgets {
	b := &Budgets{opts: opts}
	b.burst.Store(int64(opts.Burst) * unitsPerRetry)
	return b
}

// SetBurst sets the burst of each service, in retries.
func (b *Budgets) SetBurst(retries float64) {
	b.burst.Store(int64(retries * unitsPerRetry))
	b.services.Range(func(_, budget any) bool {
		budget.(*Budget).SetBurst(retries)
		return true
	})
}

// Deposit credits one request from a caller to the service.
func (b *Budgets) Deposit(service string) { b.budget(service).Deposit() }

// Withdraw takes either all of the costs or none, and reports whether it took them.
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
