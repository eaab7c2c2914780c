package retry_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/retry"
)

// tenth limits the additional load on backend servers to a tenth.
var tenth = retry.BudgetOptions{Ratio: 0.1, Burst: 10}

func TestAllowed(t *testing.T) {
	ok := retry.Call{InheritedAttempt: 1, Attempts: 1, Remaining: time.Second, Expected: time.Millisecond}
	with := func(edit func(*retry.Call)) retry.Call {
		c := ok
		edit(&c)
		return c
	}
	nonIdempotent := with(func(c *retry.Call) { c.NonIdempotent = true })
	second := with(func(c *retry.Call) { c.InheritedAttempt = 2 })
	third := with(func(c *retry.Call) { c.Attempts = 3 })
	late := with(func(c *retry.Call) { c.Remaining = time.Millisecond })
	yes := retry.Decision{Retry: true}
	for _, c := range []struct {
		kind errkind.Kind
		call retry.Call
		want retry.Decision
	}{
		{errkind.None, ok, retry.Decision{Reason: retry.ReasonAnswered}},
		{errkind.Overloaded, ok, yes},
		{errkind.Overloaded, nonIdempotent, yes},
		{errkind.Unreachable, nonIdempotent, yes},
		{errkind.Draining, nonIdempotent, retry.Decision{Retry: true, BudgetExempt: true}},
		{errkind.BackendFailed, ok, yes},
		{errkind.BackendFailed, nonIdempotent, retry.Decision{Reason: retry.ReasonMayHaveRun}},
		{errkind.OutcomeUnknown, ok, retry.Decision{Reason: retry.ReasonNotRetryable}},
		{errkind.RateLimited, ok, retry.Decision{Reason: retry.ReasonNotRetryable}},
		{errkind.Canceled, ok, retry.Decision{Reason: retry.ReasonNotRetryable}},
		{errkind.Overloaded, second, retry.Decision{Reason: retry.ReasonRetriedAbove}},
		{errkind.Draining, second, retry.Decision{Retry: true, BudgetExempt: true}},
		{errkind.Overloaded, third, retry.Decision{Reason: retry.ReasonAttempts}},
		{errkind.Overloaded, late, retry.Decision{Reason: retry.ReasonTime}},
	} {
		must.Eq(t, c.want, retry.Allowed(c.kind, c.call), must.Sprint(c))
	}
}

// A non-idempotent call that may have run must not be retried, whatever the kind of the error and
// the other parameters.
func TestMayHaveRunIsNeverRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom(errkind.Kinds()).Draw(t, "kind")
		d := retry.Allowed(kind, retry.Call{
			InheritedAttempt: rapid.IntRange(0, 5).Draw(t, "inherited"),
			Attempts:         rapid.IntRange(1, 5).Draw(t, "attempts"),
			NonIdempotent:    true,
			Remaining:        time.Duration(rapid.Int64().Draw(t, "remaining")),
		})
		must.False(t, d.Retry && kind.Response().Run != errkind.NotRun)
	})
}

// layer is one daemon of a nested call and the backend server behind it, which calls the next
// layer. passOn means that the backend server propagates the attempt number.
type layer struct {
	rule   rule
	passOn bool
	budget *retry.Budget
	below  *layer
	// failureKind is the kind with which the attempts of the deepest layer end, or nil if they
	// succeed.
	failureKind *errkind.Kind
	// breakProbability is the probability that an answer breaks off after the call has run.
	breakProbability float64
	rng              *rand.Rand
	runs             int
}

// rule decides whether a layer retries a call.
type rule func(l *layer, kind errkind.Kind, inherited, attempts int) bool

func allowedRule(l *layer, kind errkind.Kind, inherited, attempts int) bool {
	d := retry.Allowed(kind, retry.Call{InheritedAttempt: inherited, Attempts: attempts, Remaining: time.Second})
	return d.Retry && (d.BudgetExempt || l.budget.Withdraw())
}

// alwaysRule retries every failed call, up to three attempts.
func alwaysRule(_ *layer, _ errkind.Kind, _, attempts int) bool { return attempts < 3 }

// budgetRule retries every failed call within a budget, up to three attempts.
func budgetRule(l *layer, _ errkind.Kind, _, attempts int) bool {
	return attempts < 3 && l.budget.Withdraw()
}

// call reports whether the call succeeded.
func (l *layer) call(inherited int) bool {
	l.budget.Deposit()
	for attempts := 1; ; attempts++ {
		kind, ok := l.attempt(inherited + attempts - 1)
		if ok || !l.rule(l, kind, inherited, attempts) {
			return ok
		}
	}
}

func (l *layer) attempt(number int) (errkind.Kind, bool) {
	l.runs++
	if l.below == nil && l.failureKind != nil {
		return *l.failureKind, false
	}
	if !l.passOn {
		number = 1
	}
	ok := l.below == nil || l.below.call(number)
	if l.rng.Float64() < l.breakProbability {
		return errkind.BackendFailed, false
	}
	return errkind.None, ok
}

// deepestRuns returns the number of attempts at the deepest of 15 layers, configured as l, per
// call at the top.
func deepestRuns(calls int, l layer) float64 {
	const depth = 15
	var top, deepest *layer
	rng := rand.New(rand.NewPCG(1, 1))
	for range depth {
		next := l
		next.below, next.rng, next.budget = top, rng, retry.NewBudget(tenth)
		top = &next
		if deepest == nil {
			deepest = top
		}
	}
	for range calls {
		top.call(1)
	}
	return float64(deepest.runs) / float64(calls)
}

// The deepest of 15 services fails all calls. Each daemon above sees errors and could retry. The
// failing server must get little more than the number of calls made at the top, even if no
// backend server propagates headers.
func TestAttemptsDoNotMultiplyOverDepth(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.None, errkind.Overloaded, errkind.Unreachable, errkind.BackendFailed} {
		got := deepestRuns(2000, layer{rule: allowedRule, failureKind: &kind})
		t.Logf("deepest fails with %q: %.3f attempts per call", kind, got)
		must.Between(t, 1, got, 1.2)
	}
	kind := errkind.BackendFailed
	t.Logf("retry of every failure with a budget of a tenth: %.2f", deepestRuns(2000, layer{rule: budgetRule, failureKind: &kind}))
	t.Logf("retry of every failure: %.0f", deepestRuns(1, layer{rule: alwaysRule, failureKind: &kind}))
}

// At each of 15 layers one answer in ten breaks off after the call has run. A propagated attempt
// number must prevent the layers below from retrying what a layer above retries.
func TestAttemptNumberIsPassedDown(t *testing.T) {
	passed := deepestRuns(5000, layer{rule: allowedRule, breakProbability: 0.1, passOn: true})
	lost := deepestRuns(5000, layer{rule: allowedRule, breakProbability: 0.1})
	t.Logf("attempts at the deepest: number passed on %.2f, lost %.2f", passed, lost)
	must.Less(t, 0.8*lost, passed)
}

func TestBurst(t *testing.T) {
	b := retry.NewBudget(retry.BudgetOptions{Ratio: 0.1, Burst: 10})
	for range 1000 {
		b.Deposit()
	}
	n := 0
	for b.Withdraw() {
		n++
	}
	must.Eq(t, 10, n)
}

// Many goroutines together must get a tenth of their first attempts and the burst, not more.
func TestBudget(t *testing.T) {
	b := retry.NewBudget(retry.BudgetOptions{Ratio: 0.1, Burst: 10})
	var group sync.WaitGroup
	var mu sync.Mutex
	retries := 0
	for range 8 {
		group.Go(func() {
			for range 10_000 {
				b.Deposit()
				if b.Withdraw() {
					mu.Lock()
					retries++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	must.Between(t, 7900, retries, 8010)
}

func BenchmarkBudget(b *testing.B) {
	budget := retry.NewBudget(tenth)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Deposit()
		}
	})
}

// Calls that gates reject before they reach a backend server take nothing from the budget and do
// not count as attempts. A call is sent to at most three gates that are overloaded, and to more
// gates whose backend servers drain.
func TestRefusalsAreBudgetExemptAndBounded(t *testing.T) {
	c := retry.Call{InheritedAttempt: 1, MaxAttempts: 2, NonIdempotent: true, Remaining: time.Second, Unsent: true}
	for refusals, again := range map[int]bool{1: true, 2: true, 3: false} {
		c.Refusals = refusals
		d := retry.Allowed(errkind.Overloaded, c)
		must.Eq(t, again, d.Retry)
		must.Eq(t, again, d.BudgetExempt)
	}
	c.Refusals = 3
	must.True(t, retry.Allowed(errkind.Draining, c).Retry)
	c.Unsent, c.Attempts = false, 2
	must.False(t, retry.Allowed(errkind.Shed, c).Retry)
	c.Attempts = 1
	d := retry.Allowed(errkind.Shed, c)
	must.True(t, d.Retry)
	must.False(t, d.BudgetExempt)
}

// The fleet grows, and with it the number of daemons that share the retries. A daemon must drop
// immediately what its balance exceeds the new burst by.
func TestBudgetShrinks(t *testing.T) {
	b := retry.NewBudget(retry.BudgetOptions{Burst: 10})
	b.SetBurst(1.5)
	must.True(t, b.Withdraw())
	must.False(t, b.Withdraw())
}
