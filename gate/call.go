package gate

import "time"

// Call describes a call that asks for admission.
type Call struct {
	Customer string
	// Route identifies the kind of a call that belongs to no customer. Slot time is shared
	// between routes as it is between customers, so that the excess load of one route does not
	// delay the others and the service time is measured for each route.
	Route string
	// Account identifies the client account of a call with a route. With Options.AccountShares, slot
	// time is shared between the accounts of a route as well. Calls without account form one account.
	Account string
	// Weight is the weight of the account, to which its part of the slots is proportional. If it is 0,
	// the weight is not known, and the mean of the known weights at the gate is used.
	Weight float64
	// Nested marks a call that a service makes while it handles a request. Nested calls start
	// before all others: if one is rejected or late, the work already done for the request is
	// lost. In one minute on 11 hosts whose services call each other, 2,344 attempts ended with a
	// failure of the backend server itself without this rule, and 13 with it.
	Nested bool
	// Priority ranks calls that are not nested; 0 is the most urgent. A call does not wait for
	// calls with a higher number.
	Priority int
	// Remaining is the time left until the call's deadline.
	Remaining time.Duration
	// MaxWait is the longest wait for a slot that the call accepts. A call with a longer expected
	// wait is rejected on arrival. 0 means that only Remaining bounds the wait.
	MaxWait time.Duration
	// ObjectiveLeft is the time left until the call's latency objective, or 0 if it has none. The
	// call is also rejected if, after the expected wait, its answer would be expected later than
	// that; a wait of a small part of ObjectiveLeft is always accepted.
	ObjectiveLeft time.Duration
}

// key returns the key of the share that the call belongs to.
func (c Call) key() shareKey {
	if c.Nested {
		return shareKey{customer: c.Customer, route: c.Route, rank: nestedRank}
	}
	return shareKey{customer: c.Customer, route: c.Route, rank: c.Priority}
}

// maxWait returns the longest expected wait for a slot that the call accepts, given the service
// time of its share.
func (c Call) maxWait(serviceTime movingMean) time.Duration {
	if c.MaxWait == 0 || c.ObjectiveLeft == 0 {
		return c.MaxWait
	}
	return min(c.MaxWait, max(c.objectiveWait(serviceTime), c.ObjectiveLeft/minWaitDivisor))
}

// objectiveWait returns the longest wait after which most calls with this service time are still
// answered within the call's objective.
func (c Call) objectiveWait(serviceTime movingMean) time.Duration {
	return c.ObjectiveLeft - serviceTime.value - serviceDeviations*serviceTime.deviation
}

// timeLeft returns the time within which the call's answer is useful: until its objective or, if
// that is earlier or the call has no objective, its deadline.
func (c Call) timeLeft() time.Duration {
	if c.ObjectiveLeft == 0 {
		return c.Remaining
	}
	return min(c.ObjectiveLeft, c.Remaining)
}

// patientWait returns the longest expected wait that the call accepts if its share leaves slots free
// for urgent calls: until most calls could no longer be answered within their objective or deadline.
// It ignores MaxWait, by which a sender limits the time at one gate because others may have a free
// slot: the others hold slots back as well.
func (c Call) patientWait(serviceTime movingMean) time.Duration {
	if c.MaxWait == 0 || c.ObjectiveLeft == 0 {
		return c.MaxWait
	}
	left := c.timeLeft()
	return max(left-serviceTime.value-serviceDeviations*serviceTime.deviation, left/minWaitDivisor)
}
