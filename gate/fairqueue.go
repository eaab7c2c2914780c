package gate

import (
	"slices"
	"time"
)

// serviceTimeWeight is the weight of a new sample in the moving means.
const serviceTimeWeight = 0.1

// fairQueue shares slot time between customers by start-time fair queueing:
// each customer has a tag that advances by the slot time its calls take, and
// the waiting customer with the lowest tag goes next. Customers that were quiet
// start at the present tag, so that quiet times earn no credit.
type fairQueue struct {
	shares map[string]*share
	// active lists the shares with waiting calls.
	active []*share
	len    int
	// present is the start tag of the call started last.
	present     time.Duration
	serviceTime time.Duration
}

// share is one customer's part of the gate.
type share struct {
	customer string
	// tag is the slot time consumed, on the scale of fairQueue.present.
	tag         time.Duration
	waiting     []*Ticket
	running     int
	serviceTime time.Duration
}

// maxIdleShares bounds the customers remembered while they are idle.
const maxIdleShares = 1024

func newFairQueue(serviceTime time.Duration) *fairQueue {
	return &fairQueue{shares: make(map[string]*share), serviceTime: serviceTime}
}

// share returns a customer's share, a new one if it has none.
func (q *fairQueue) share(customer string) *share {
	if s, ok := q.shares[customer]; ok {
		return s
	}
	if len(q.shares) >= maxIdleShares {
		q.forgetIdle()
	}
	s := &share{customer: customer, serviceTime: q.serviceTime}
	q.shares[customer] = s
	return s
}

// forgetIdle drops customers without calls.
func (q *fairQueue) forgetIdle() {
	for name, s := range q.shares {
		if s.running == 0 && len(s.waiting) == 0 {
			delete(q.shares, name)
		}
	}
}

// push appends a ticket to its customer's queue.
func (q *fairQueue) push(t *Ticket) {
	s := t.share
	if len(s.waiting) == 0 {
		s.tag = max(s.tag, q.present)
		q.active = append(q.active, s)
	}
	s.waiting = append(s.waiting, t)
	q.len++
}

// remove takes a waiting ticket out.
func (q *fairQueue) remove(t *Ticket) {
	s := t.share
	i := slices.Index(s.waiting, t)
	s.waiting = slices.Delete(s.waiting, i, i+1)
	q.len--
	if len(s.waiting) == 0 {
		i := slices.Index(q.active, s)
		q.active = slices.Delete(q.active, i, i+1)
	}
}

// next returns the ticket that goes next without removing it.
func (q *fairQueue) next() *Ticket {
	var first *share
	for _, s := range q.active {
		if first == nil || s.tag < first.tag {
			first = s
		}
	}
	if first == nil {
		return nil
	}
	return first.waiting[0]
}

// longest returns the share with most waiting calls.
func (q *fairQueue) longest() *share {
	var longest *share
	for _, s := range q.active {
		if longest == nil || len(s.waiting) > len(longest.waiting) {
			longest = s
		}
	}
	return longest
}

// estimate returns how long a call that now joins the share's queue would wait:
// the slot time of all that goes before it, over the slots.
func (q *fairQueue) estimate(s *share, slots int) time.Duration {
	ahead := time.Duration(len(s.waiting)) * s.serviceTime
	tag := max(s.tag, q.present) + ahead
	for _, o := range q.active {
		if o == s || o.tag > tag {
			continue
		}
		n := int(1 + (tag-o.tag)/max(o.serviceTime, 1))
		ahead += time.Duration(min(n, len(o.waiting))) * o.serviceTime
	}
	// The first slot to get free is one residual service time away.
	return (ahead + q.serviceTime) / time.Duration(slots)
}

// charge advances the share's tag by the slot time its next call is expected to
// take, and returns that.
func (q *fairQueue) charge(s *share) time.Duration {
	start := max(s.tag, q.present)
	q.present = start
	s.tag = start + s.serviceTime
	s.running++
	return s.serviceTime
}

// settle replaces the expected slot time of an ended call by the true one.
func (q *fairQueue) settle(t *Ticket, held time.Duration, o Outcome) {
	s := t.share
	s.running--
	s.tag += held - t.charged
	if o != Answered && o != Failed {
		return
	}
	s.serviceTime = mean(s.serviceTime, held)
	q.serviceTime = mean(q.serviceTime, held)
}

func mean(old, sample time.Duration) time.Duration {
	return old + time.Duration(serviceTimeWeight*float64(sample-old))
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAfter tells a refused caller when the present queue will have been
// served.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
