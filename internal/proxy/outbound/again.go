package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/retry"
)

// count counts the call where it counts for the retries that a service may get.
func (c *call) count() {
	switch {
	case c.route == nil:
		c.h.opts.Budgets.Deposit(contractCalls)
	case c.request.Nested:
		c.h.opts.CalleeStats.AddCall(c.service)
	default:
		c.h.opts.Budgets.Deposit(c.service)
	}
}

// contractCalls stands for all services in the budget of calls under contracts.
const contractCalls = ""

// retryNeeds returns what sending the call again costs, and where.
func (c *call) retryNeeds() []retry.ServiceCost {
	if c.route == nil {
		return []retry.ServiceCost{{Service: contractCalls, Calls: 1}}
	}
	var needs []retry.ServiceCost
	for _, callee := range c.h.opts.CallGraph.CallsPerRequest(c.service) {
		needs = append(needs, retry.ServiceCost(callee))
	}
	return needs
}

// answerIsWorse reports whether another backend server may give a better answer to
// a call that may be repeated.
func (c *call) answerIsWorse(a *answered) bool {
	return c.route != nil && !c.terms.NonIdempotent && a.head.GetStatus() == http.StatusInternalServerError
}

// mayRetry decides whether another attempt may follow a failed one.
func (c *call) mayRetry(ctx context.Context, a *attempt, err error) bool {
	if ctx.Err() != nil || c.streamed {
		c.logRetry(a, err, false, "ended")
		return false
	}
	d := retry.Allowed(errkind.Of(err), c.retryCall(a))
	again := d.Retry && (d.BudgetExempt || c.h.opts.Budgets.Withdraw(c.retryNeeds()...))
	reason := string(d.Reason)
	if d.Retry && !again {
		reason = "budget"
	}
	c.logRetry(a, err, again, reason)
	return again
}

func (c *call) retryCall(a *attempt) retry.Call {
	r := retry.Call{
		InheritedAttempt: int(c.inherited),
		Attempts:         c.attempts,
		NonIdempotent:    c.terms.NonIdempotent,
		Remaining:        time.Until(c.deadline),
		Expected:         leastAttempt,
		Crashes:          c.crashes,
	}
	if c.route != nil {
		r.Attempts, r.MaxAttempts = c.arrivals, c.route.MaxAttempts
		r.Refusals, r.Unsent = c.refusals, !a.arrived
	}
	return r
}
