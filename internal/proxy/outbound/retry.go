package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/retry"
)

// recordForRetryBudget counts the call towards the retry budget of its service. A nested call
// adds nothing to a budget; it is counted as a call that this host's service makes.
func (c *call) recordForRetryBudget() {
	switch {
	case c.route == nil:
		c.h.opts.Budgets.Deposit(contractBudget)
	case c.admissionRequest.Nested:
		c.h.opts.CalleeStats.AddCall(c.service)
	default:
		c.h.opts.Budgets.Deposit(c.service)
	}
}

// contractBudget is the name of the retry budget that all calls under contracts share, in place
// of a budget per service.
const contractBudget = ""

// retryCosts returns the calls that a retry is expected to cause, for each service whose budget
// they are withdrawn from.
func (c *call) retryCosts() []retry.ServiceCost {
	if c.route == nil {
		return []retry.ServiceCost{{Service: contractBudget, Calls: 1}}
	}
	var costs []retry.ServiceCost
	for _, callee := range c.h.opts.CallGraph.CallsPerRequest(c.service) {
		costs = append(costs, retry.ServiceCost(callee))
	}
	return costs
}

// isRetryableResponse reports whether another backend server may give a better response to the
// call. Only responses with status 500 to idempotent calls under a document's terms are
// retryable.
func (c *call) isRetryableResponse(a *pendingResponse) bool {
	return c.route != nil && !c.terms.NonIdempotent && a.head.GetStatus() == http.StatusInternalServerError
}

// shouldRetry decides whether another attempt follows the failed attempt a, withdraws the cost
// of the retry from the retry budgets and logs the decision.
func (c *call) shouldRetry(ctx context.Context, a *attempt, err error) bool {
	if ctx.Err() != nil || c.streamRead {
		c.logFailedAttempt(a, err, false, "ended")
		return false
	}
	d := retry.Allowed(errkind.Of(err), c.retryCall(a))
	retrying := d.Retry && (d.BudgetExempt || c.h.opts.Budgets.Withdraw(c.retryCosts()...))
	reason := string(d.Reason)
	if d.Retry && !retrying {
		reason = "budget"
	}
	c.logFailedAttempt(a, err, retrying, reason)
	return retrying
}

func (c *call) retryCall(a *attempt) retry.Call {
	r := retry.Call{
		InheritedAttempt: int(c.inheritedAttempt),
		Attempts:         c.attempts,
		NonIdempotent:    c.terms.NonIdempotent,
		Remaining:        time.Until(c.deadline),
		Expected:         minAttemptTime,
		Crashes:          c.crashes,
	}
	if c.route != nil {
		r.Attempts, r.MaxAttempts = c.arrivals, c.route.MaxAttempts
		r.Refusals, r.Unsent = c.refusals, !a.arrived
	}
	return r
}
