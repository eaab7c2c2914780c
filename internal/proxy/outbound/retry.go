package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/retry"
)

// recordForRetryBudget counts the call where it counts for the retries that a service may get.
func (c *call) recordForRetryBudget() {
	switch {
	case c.route == nil:
		c.h.opts.Budgets.Deposit(contractBudget)
	case c.request.Nested:
		c.h.opts.CalleeStats.AddCall(c.service)
	default:
		c.h.opts.Budgets.Deposit(c.service)
	}
}

// contractBudget stands for all services in the budget of calls under contracts.
const contractBudget = ""

// retryCosts returns what sending the call again costs, and where.
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

// isRetryableResponse reports whether another backend server may give a better answer to
// a call that may be repeated.
func (c *call) isRetryableResponse(a *pendingResponse) bool {
	return c.route != nil && !c.terms.NonIdempotent && a.head.GetStatus() == http.StatusInternalServerError
}

// shouldRetry decides whether another attempt may follow a failed one.
func (c *call) shouldRetry(ctx context.Context, a *attempt, err error) bool {
	if ctx.Err() != nil || c.streamRead {
		c.logFailedAttempt(a, err, false, "ended")
		return false
	}
	d := retry.Allowed(errkind.Of(err), c.retryCall(a))
	again := d.Retry && (d.BudgetExempt || c.h.opts.Budgets.Withdraw(c.retryCosts()...))
	reason := string(d.Reason)
	if d.Retry && !again {
		reason = "budget"
	}
	c.logFailedAttempt(a, err, again, reason)
	return again
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
