package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// fleet is a set of daemons that share the retries of the services.
type fleet []*Budgets

func newFleet(n int, opts BudgetOptions) fleet {
	f := make(fleet, n)
	for i := range f {
		f[i] = NewBudgets(opts)
		f[i].SetBurst(float64(opts.Burst) / float64(n))
	}
	return f
}

// The servers of a catalogue shed half of their calls. Each retried lookup repeats its two calls
// to the desk, whose budget allows retries for only a fraction of its own few bookings. If
// retries were charged to the catalogue's budget alone, the desk would get twice as many repeated
// calls as the catalogue, more than its budget allows. Restarted daemons must not grant the burst
// again.
func TestBudgets_ChainOfServices(t *testing.T) {
	const (
		ratio, burst = 0.2, 64
		lookups      = 20000
		everyBooking = 4
		callsOfDesk  = 1.4
		daemons      = 11
		restartEvery = 500
	)
	opts := BudgetOptions{Ratio: ratio, Burst: burst}
	f := newFleet(daemons, opts)
	rnd := rand.New(rand.NewPCG(1, 2))
	repeats := map[string]float64{}
	bookings := 0
	for i := range lookups {
		n := rnd.IntN(daemons)
		if i%restartEvery == 0 {
			f[n] = newFleet(daemons, opts)[0]
		}
		d := f[n]
		d.Deposit("catalogue")
		if i%everyBooking == 0 {
			bookings++
			d.Deposit("desk")
		}
		if rnd.IntN(2) == 0 && d.Withdraw(ServiceCost{"catalogue", 1}, ServiceCost{"desk", callsOfDesk}) {
			repeats["catalogue"]++
			repeats["desk"] += callsOfDesk
		}
		must.LessEq(t, ratio*float64(i+1)+burst, repeats["catalogue"])
		must.LessEq(t, ratio*float64(bookings)+burst, repeats["desk"])
	}
	// Most of the desk's budget is used.
	must.Greater(t, 0.8*ratio*float64(bookings), repeats["desk"])
}

// If one cost cannot be met, the budgets of the other services stay unchanged.
func TestBudgets_AllOrNothing(t *testing.T) {
	b := NewBudgets(BudgetOptions{Ratio: 1, Burst: 10})
	b.Deposit("a")
	must.False(t, b.Withdraw(ServiceCost{"a", 1}, ServiceCost{"b", 1}))
	b.Deposit("b")
	must.True(t, b.Withdraw(ServiceCost{"a", 1}, ServiceCost{"b", 1}))
	must.False(t, b.Withdraw(ServiceCost{"a", 1}))
}

// A daemon that has just started has no retries yet.
func TestBudgets_StartEmpty(t *testing.T) {
	b := NewBudgets(BudgetOptions{Ratio: 0.2, Burst: 64})
	must.False(t, b.Withdraw(ServiceCost{"a", 1}))
	for range 6 {
		b.Deposit("a")
	}
	must.True(t, b.Withdraw(ServiceCost{"a", 1}))
}
