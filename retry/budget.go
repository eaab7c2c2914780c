package retry

import "sync/atomic"

// BudgetOptions sizes a Budget.
type BudgetOptions struct {
	// Ratio is the share of first attempts that may be sent again.
	Ratio float64
	// Burst is how many may be sent again at once after a quiet time.
	Burst int
}

// unitsPerRetry is the unit of the balance: a thousandth of a retry.
const unitsPerRetry = 1000

// Budget bounds retries to a share of first attempts. One is shared by all calls under
// customers' contracts, since a budget for each customer would bound nothing in sum. It is
// safe for concurrent use.
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

// SetBurst changes the burst, in retries. A daemon's part of what a whole fleet may
// send again shrinks as the fleet grows; what it holds beyond that is lost at once.
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

// Deposit counts one first attempt. A full budget is only read, so that
// requests share no written cache line while nothing fails.
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

// Withdraw takes one retry and reports whether there was one.
func (b *Budget) Withdraw() bool { return b.withdrawUnits(unitsPerRetry) }

// withdrawUnits takes so many thousandths of a retry.
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
