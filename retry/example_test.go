package retry_test

import (
	"fmt"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/retry"
)

// The connection to a backend server broke after the call was sent. A lookup is retried at
// another server, within the budget. A hold of a permit is not retried, since it may have run.
func Example() {
	budget := retry.NewBudget(retry.BudgetOptions{Ratio: 0.1, Burst: 10})
	call := retry.Call{InheritedAttempt: 1, Attempts: 1, Remaining: time.Second}

	lookup := retry.Allowed(errkind.BackendFailed, call)
	fmt.Println("lookup:", lookup.Retry && (lookup.BudgetExempt || budget.Withdraw()))

	call.NonIdempotent = true
	hold := retry.Allowed(errkind.OutcomeUnknown, call)
	fmt.Println("hold:", hold.Retry)
	fmt.Println("hold that was refused:", retry.Allowed(errkind.Overloaded, call).Retry)
	// Output:
	// lookup: true
	// hold: false
	// hold that was refused: true
}
