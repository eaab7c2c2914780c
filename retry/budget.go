package retry

import "sync/atomic"

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Ratio is the number of retries permitted per first attempt.
	Ratio float64
	// Burst is the number of retries permitted at once after a period without retries.
	Burst int
}

// unitsPerRetry is the number of balance units that one retry costs.
const unitsPerRetry = 1000

// Budget limits retries to a fraction of the first attempts. One budget is shared by all calls
// under customers' contracts, since separate budgets for each customer would not limit the sum.
// It is safe for concurrent use.
type Budget struct {
	deposit int64
	limit   atomic.Int64
	balance atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget {
	b := &Budget{deposit: int64(opts.Ratio * unitsPerRetry)}
	b.limit.Store(int64(opts.Burst) * unitsPerRetry)
	b.balance.Store(b.limit.Load())
	return b
}

// SetBurst sets the burst, in retries. The part of the fleet's retries that is assigned to one
// daemon shrinks as the fleet grows; a balance above the new burst is dropped immediately.
func (b *Budget) SetBurst(retries float64) {
	limit := int64(retries * unitsPerRetry)
	b.limit.Store(limit)
	for {
		old := b.balance.Load()
		if old <= limit || b.balance.CompareAndSwap(old, limit) {
			return
		}
	}
}

// Deposit credits one first attempt. If the budget is full, Deposit only reads it, so that
// requests do not write to a shared cache line while nothing fails.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		if old >= b.limit.Load() {
			return
		}
		if b.balance.CompareAndSwap(old, old+b.deposit) {
			return
		}
	}
}

// Withdraw takes one retry from the budget and reports whether it was available.
func (b *Budget) Withdraw() bool { return b.withdrawUnits(unitsPerRetry) }

// withdrawUnits takes the amount, in balance units, from the balance and reports whether it was
// available.
func (b *Budget) withdrawUnits(amount int64) bool {
	for {
		old := b.balance.Load()
		if old < amount {
			return false
		}
		if b.balance.CompareAndSwap(old, old-amount) {
			return true
		}
	}
}
