package gate

import (
	"slices"
	"time"
)

const (
	// maxShares is the number of shares at which the idle ones are evicted before another is
	// added.
	maxShares = 1024
	// maxDebt limits how far the tag of a share can advance beyond the virtual time when one of
	// its calls takes longer than expected. Without a limit, the end of an hour-long upload would
	// exclude its customer until the others have used an hour of slot time.
	maxDebt = 10 * time.Second
	// releaseScale is the unit of time of fairQueue.releaseRate, in nanoseconds.
	releaseScale = 1_000_000_000_000_000
)

// fairQueue shares slot time between customers by start-time fair queueing: each share has a tag
// that advances by the slot time of its calls, and the waiting share with the lowest tag is
// served next. The tag of a share that was idle starts at the current virtual time, so that idle
// time earns no credit.
type fairQueue struct {
	shares map[shareKey]*share
	// active lists the shares with waiting calls.
	active []*share
	len    int
	// virtualTime is the start tag of the call that was started last.
	virtualTime time.Duration
	// releaseRate is the number of slots that the running calls are expected to release in
	// releaseScale nanoseconds. It is an integer so that additions and subtractions over months
	// accumulate no rounding error.
	releaseRate int64
	serviceTime movingMean
	// initialServiceTime is the assumed service time of a share without measured calls.
	initialServiceTime time.Duration
	// usage is the sum of share.usage by rank.
	usage   map[int]float64
	reserve reserve
	// urgentSlots enables the reservation of slots for urgent calls, accountShares the accounts of
	// shares. accounts is the number of accounts with a name.
	urgentSlots, accountShares bool
	accounts                   int
	weights                    weights
}

// shareKey identifies a share.
type shareKey struct {
	customer, route string
	// rank orders shares before fairness between customers applies. Lower ranks are served first.
	rank int
}

// nestedRank is the rank of nested calls. It precedes all priorities.
const nestedRank = -1

// share holds the queue and the statistics of one customer or route at one rank.
type share struct {
	shareKey
	// tag is the slot time consumed, on the scale of fairQueue.virtualTime.
	tag time.Duration
	// queued is the number of waiting calls, active lists the accounts that have some.
	queued  int
	active  []*account
	running int
	// unnamed holds the calls without account, and all calls if slots are not shared between
	// accounts. accounts holds the others by name.
	unnamed  account
	accounts map[string]*account
	// weights is the one of the gate's queue.
	weights *weights
	// contended is whether a call has waited since the last update of usage.
	contended bool
	// virtualTime is the start tag of the account's call that was started last.
	virtualTime time.Duration
	serviceTime movingMean
	lastSeen    time.Time
	// usedTime is the slot time of the calls that ended since the last update of usage. usage is
	// the moving mean of the number of slots in use.
	usedTime time.Duration
	usage    float64
	slow     bool
	// releaseRate is the part of fairQueue.releaseRate that is due to the calls of the share.
	releaseRate int64
	// terms describes how long the calls of the share can wait.
	terms terms
	// urgent is whether slots are reserved for the share, yields whether its calls must leave
	// reserved slots free.
	urgent, yields bool
}

func newFairQueue(opts Options) *fairQueue {
	return &fairQueue{
		shares: make(map[shareKey]*share), usage: make(map[int]float64),
		serviceTime:        movingMean{value: opts.ServiceTime, samples: 1},
		initialServiceTime: opts.ServiceTime,
		urgentSlots:        opts.UrgentSlots, accountShares: opts.AccountShares,
	}
}

// before reports whether the calls of s are served before those of o.
func (s *share) before(o *share) bool {
	if s.rank != o.rank {
		return s.rank < o.rank
	}
	return s.tag < o.tag
}

// share returns the share with the key and creates it if it does not exist.
func (q *fairQueue) share(k shareKey, now time.Time) *share {
	s, ok := q.shares[k]
	if !ok {
		if len(q.shares) >= maxShares {
			q.evictIdle()
		}
		s = &share{shareKey: k, weights: &q.weights, serviceTime: movingMean{value: q.initialServiceTime, samples: 1}}
		s.unnamed.share = s
		q.shares[k] = s
		q.reserve.classifyDue = true
	}
	if q.urgentSlots && now.Sub(s.lastSeen) > reserveDuration {
		q.reserve.classifyDue = true
	}
	s.lastSeen = now
	return s
}

// evictIdle removes the shares without calls.
func (q *fairQueue) evictIdle() {
	for k, s := range q.shares {
		if s.running == 0 && s.queued == 0 {
			q.accounts -= len(s.accounts)
			delete(q.shares, k)
		}
	}
	q.countWeights()
}

// push inserts a ticket into its account's queue, which is ordered by due time.
func (q *fairQueue) push(t *Ticket) {
	s, a := t.share, t.account
	if s.queued == 0 {
		s.tag = max(s.tag, q.virtualTime)
		q.active = append(q.active, s)
	}
	if len(a.waiting) == 0 {
		a.tag = max(a.tag, s.virtualTime)
		s.active = append(s.active, a)
	}
	a.waiting = slices.Insert(a.waiting, a.position(t.due), t)
	s.queued++
	s.contended = true
	q.len++
}

// position returns the index at which a call with the due time belongs in the account's queue:
// behind all calls that are due at that time or earlier.
func (a *account) position(due time.Time) int {
	i, _ := slices.BinarySearchFunc(a.waiting, due, func(t *Ticket, d time.Time) int {
		if t.due.After(d) {
			return 1
		}
		return -1
	})
	return i
}

// remove removes a waiting ticket from its account's queue.
func (q *fairQueue) remove(t *Ticket) {
	s, a := t.share, t.account
	i := slices.Index(a.waiting, t)
	a.waiting = slices.Delete(a.waiting, i, i+1)
	s.queued--
	q.len--
	if len(a.waiting) == 0 {
		i := slices.Index(s.active, a)
		s.active = slices.Delete(s.active, i, i+1)
	}
	if s.queued == 0 {
		i := slices.Index(q.active, s)
		q.active = slices.Delete(q.active, i, i+1)
	}
}

// longest returns the account with the most waiting calls relative to its weight, not counting one of
// each account, or nil if no calls wait.
func (q *fairQueue) longest() *account {
	var longest *account
	for _, s := range q.active {
		for _, a := range s.active {
			if longest == nil || a.excessCalls() > longest.excessCalls() {
				longest = a
			}
		}
	}
	return longest
}

// charge accounts for the start of a ticket: it advances the tag of its share by the expected
// slot time of the call.
func (q *fairQueue) charge(t *Ticket) {
	s := t.share
	t.charged = max(s.serviceTime.value, 1)
	t.fast = !s.slow
	q.virtualTime = max(s.tag, q.virtualTime)
	s.tag = q.virtualTime + t.charged
	t.account.charge(t.charged)
	s.running++
	q.addRelease(s, releaseScale/int64(t.charged))
	q.reserve.count(s, 1)
	if s.rank == nestedRank {
		q.reserve.nestedRunning++
	}
	if t.fast {
		q.reserve.fastRunning++
	}
}

// addRelease adds the expected release rate of a call of the share, in units of releaseScale.
func (q *fairQueue) addRelease(s *share, rate int64) {
	q.releaseRate += rate
	s.releaseRate += rate
	if s.yields {
		q.reserve.yieldingRelease += rate
	}
}

// settle replaces the expected slot time of a call that ended by the measured one.
func (q *fairQueue) settle(t *Ticket, now time.Time, o Outcome) {
	s, held := t.share, now.Sub(t.started)
	s.running--
	q.addRelease(s, -releaseScale/int64(t.charged))
	q.reserve.count(s, -1)
	if s.rank == nestedRank {
		q.reserve.nestedRunning--
	}
	if t.fast {
		q.reserve.fastRunning--
	}
	s.tag = min(s.tag+held-t.charged, max(s.tag, q.virtualTime+maxDebt))
	s.usedTime += held
	t.account.settle(t.charged, held)
	switch o {
	case Failed:
		// The call was cut off and would have taken longer.
		held = max(held, s.serviceTime.value)
		fallthrough
	case Answered:
		s.serviceTime.add(held)
		q.serviceTime.add(held)
	}
}

// movingMean is a moving mean of durations. It weighs all samples equally until there are
// maxSamples, then old samples decay. With a shorter memory, forecasts over many calls would vary
// by more than the margin that checkWait allows.
type movingMean struct {
	value time.Duration
	// deviation is the mean absolute deviation of the samples from the mean.
	deviation time.Duration
	samples   int
}

// maxSamples is the number of samples that a moving mean covers.
const maxSamples = 32

func (m *movingMean) add(sample time.Duration) {
	m.samples = min(m.samples+1, maxSamples)
	m.deviation += ((sample - m.value).Abs() - m.deviation) / time.Duration(m.samples)
	m.value += (sample - m.value) / time.Duration(m.samples)
}
