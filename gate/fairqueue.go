package gate

import (
	"slices"
	"time"
)

const (
	// maxShares bounds the customers remembered while they are idle.
	maxShares = 1024
	// maxDebt is how much slot time a customer can be behind the others at most
	// when one of its calls takes longer than expected. Without a bound, the end
	// of an hour-long upload would keep its customer out for as long as the
	// others take to use an hour.
	maxDebt = 10 * time.Second
	// releaseScale is the unit of fairQueue.releases, in nanoseconds.
	releaseScale = 1_000_000_000_000_000
)

// fairQueue shares slot time between customers by start-time fair queueing:
// each customer has a tag that advances by the slot time its calls take, and
// the waiting customer with the lowest tag goes next. Customers that were quiet
// start at the present tag, so that quiet times earn no credit.
type fairQueue struct {
	shares map[shareKey]*share
	// active lists the shares with waiting calls.
	active []*share
	len    int
	// virtualTime is the start tag of the call started last.
	virtualTime time.Duration
	// releaseRate is how many slots the running calls are expected to free in
	// releaseScale nanoseconds. It is a whole number so that adding and
	// subtracting over months leaves no error behind.
	releaseRate int64
	serviceTime movingMean
	// initialServiceTime is the service time of customers that have not been served yet.
	initialServiceTime time.Duration
	// usage is the sum of the shares' usage by rank.
	usage   map[int]float64
	reserve reserve
}

// shareKey names a share.
type shareKey struct {
	customer, route string
	// rank orders shares before fairness between customers does, lower ones first.
	rank int
}

// nestedRank is the rank of nested calls, before all priorities.
const nestedRank = -1

// share is one customer's or route's part of the gate at one rank.
type share struct {
	shareKey
	// tag is the slot time consumed, on the scale of fairQueue.present.
	tag time.Duration
	// waiting is sorted by due.
	waiting     []*Ticket
	running     int
	serviceTime movingMean
	lastSeen    time.Time
	// usedTime is the slot time usedTime since the latest review, usage the mean number
	// of slots in use as of then.
	usedTime time.Duration
	usage    float64
	slow     bool
}

func newFairQueue(serviceTime time.Duration) *fairQueue {
	return &fairQueue{shares: make(map[shareKey]*share), usage: make(map[int]float64), serviceTime: movingMean{value: serviceTime, samples: 1}, initialServiceTime: serviceTime}
}

// before reports whether a share's calls go before another's.
func (s *share) before(o *share) bool {
	if s.rank != o.rank {
		return s.rank < o.rank
	}
	return s.tag < o.tag
}

// share returns a share, a new one if there is none.
func (q *fairQueue) share(k shareKey, now time.Time) *share {
	s, ok := q.shares[k]
	if !ok {
		if len(q.shares) >= maxShares {
			q.evictIdle()
		}
		s = &share{shareKey: k, serviceTime: movingMean{value: q.initialServiceTime, samples: 1}}
		q.shares[k] = s
		q.reserve.classifyDue = true
	}
	s.lastSeen = now
	return s
}

// evictIdle drops customers without calls.
func (q *fairQueue) evictIdle() {
	for k, s := range q.shares {
		if s.running == 0 && len(s.waiting) == 0 {
			delete(q.shares, k)
		}
	}
}

// push puts a ticket into its share's queue, in which the one that is due first goes
// first.
func (q *fairQueue) push(t *Ticket) {
	s := t.share
	if len(s.waiting) == 0 {
		s.tag = max(s.tag, q.virtualTime)
		q.active = append(q.active, s)
	}
	s.waiting = slices.Insert(s.waiting, s.position(t.due), t)
	q.len++
}

// position returns where a call that is due at a time goes in the share's queue: behind
// those that are due then or before.
func (s *share) position(due time.Time) int {
	i, _ := slices.BinarySearchFunc(s.waiting, due, func(t *Ticket, d time.Time) int {
		if t.due.After(d) {
			return 1
		}
		return -1
	})
	return i
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

// charge starts a ticket: it advances its share's tag by the slot time that the
// call is expected to take.
func (q *fairQueue) charge(t *Ticket) {
	s := t.share
	t.charged = max(s.serviceTime.value, 1)
	t.fast = !s.slow
	q.virtualTime = max(s.tag, q.virtualTime)
	s.tag = q.virtualTime + t.charged
	s.running++
	q.releaseRate += releaseScale / int64(t.charged)
	if s.rank == nestedRank {
		q.reserve.nestedRunning++
	}
	if t.fast {
		q.reserve.fastRunning++
	}
}

// settle replaces the expected slot time of an ended call by the true one.
func (q *fairQueue) settle(t *Ticket, now time.Time, o Outcome) {
	s, held := t.share, now.Sub(t.started)
	s.running--
	q.releaseRate -= releaseScale / int64(t.charged)
	if s.rank == nestedRank {
		q.reserve.nestedRunning--
	}
	if t.fast {
		q.reserve.fastRunning--
	}
	s.tag = min(s.tag+held-t.charged, max(s.tag, q.virtualTime+maxDebt))
	s.usedTime += held
	switch o {
	case Failed:
		// Cut short: it would have taken longer.
		held = max(held, s.serviceTime.value)
		fallthrough
	case Answered:
		s.serviceTime.add(held)
		q.serviceTime.add(held)
	}
}

// movingMean weighs the latest samples equally at first and then forgets old
// ones. A shorter memory makes long forecasts waver by more than the margin of
// a promise.
type movingMean struct {
	value time.Duration
	// deviation is the mean distance of the samples from the mean.
	deviation time.Duration
	samples   int
}

// maxSamples is the length of a moving mean's memory.
const maxSamples = 32

func (m *movingMean) add(sample time.Duration) {
	m.samples = min(m.samples+1, maxSamples)
	m.deviation += ((sample - m.value).Abs() - m.deviation) / time.Duration(m.samples)
	m.value += (sample - m.value) / time.Duration(m.samples)
}
