package gate

import "time"

const (
	// classifyInterval is the interval at which customers are classified as slow or fast by their
	// service time.
	classifyInterval = time.Second
	// reserveDuration is how long slots stay reserved for a fast customer after its last call
	// arrived.
	reserveDuration = 10 * time.Second
	// minReserveWait is the expected wait for a slot below which no slots are reserved for fast
	// customers: one is free soon enough.
	minReserveWait = 2 * time.Millisecond
	// minSlowRatio is the minimum ratio of a slow customer's service time to that of the fastest
	// customer, however few slots there are.
	minSlowRatio = 10
)

// reserve is the state by which the gate keeps slots free for nested calls and for customers with
// short calls. Without it, ten long uploads of one customer occupy all slots, and the lookups of
// another customer, although first in line, wait for the end of an upload.
type reserve struct {
	classifiedAt time.Time
	// classifyDue requests a classification before the interval has passed, for a customer that
	// was not known before.
	classifyDue bool
	// fastShares is the number of fast customers with a call within reserveDuration, fastRunning
	// the number of running calls of fast customers.
	fastShares, fastRunning int
	// fastUsage is the mean number of slots that those customers use.
	fastUsage float64
	// nestedSlots is the number of slots that are reserved for nested calls, nestedRunning the
	// number of slots that nested calls hold.
	nestedSlots, nestedRunning int

	// urgent describes the use of slots by the shares for which slots are reserved, and by nested
	// calls, in ascending order of ranks. It is nil if no share is urgent.
	urgent []urgentUse
	// yieldingRunning is the number of running calls of the shares that leave reserved slots free,
	// yieldingRelease their part of fairQueue.releaseRate.
	yieldingRunning int
	yieldingRelease int64
}

// ReserveNestedSlot reserves one slot for nested calls from now on. If services call each other
// in a cycle, all slots could otherwise be held by calls that wait, at the end of the cycle, for
// one of the same slots, and no call would make progress until its deadline. One slot is enough,
// since the calls that get it end without waiting for others, one after the other.
func (g *Gate) ReserveNestedSlot() {
	// Every nested call requests the reservation; only the first one takes the lock.
	if g.nestedSlotReserved.Swap(true) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.reserve.nestedSlots = 1
}

// reservedForNested returns the number of free slots that only nested calls may take.
func (g *Gate) reservedForNested() int {
	if g.limit.allowed() == 1 {
		return 0
	}
	return max(g.queue.reserve.nestedSlots-g.queue.reserve.nestedRunning, 0)
}

// classifyShares classifies the customers as slow or fast. A customer is slow if waiting for one
// of its calls to release a slot would take the fastest customer longer than the fastest
// customer's own call.
func (q *fairQueue) classifyShares(slots int, now time.Time) {
	r := &q.reserve
	elapsed := now.Sub(r.classifiedAt)
	if elapsed < classifyInterval && !r.classifyDue {
		return
	}
	q.updateUsage(now, elapsed)
	fastest := time.Duration(-1)
	for _, s := range q.shares {
		if s.route == "" && now.Sub(s.lastSeen) <= reserveDuration && (fastest < 0 || s.serviceTime.value < fastest) {
			fastest = s.serviceTime.value
		}
	}
	slowThreshold := max(fastest, minReserveWait) * time.Duration(max(slots, minSlowRatio))
	r.classifyDue, r.fastShares, r.fastUsage = false, 0, 0
	for _, s := range q.shares {
		s.slow = s.route == "" && s.serviceTime.value > slowThreshold
		if !s.slow && s.route == "" && now.Sub(s.lastSeen) <= reserveDuration {
			r.fastShares++
			r.fastUsage += s.usage
		}
	}
	if q.urgentSlots {
		q.classifyUrgent(slots, now)
	}
}

// updateUsage updates the mean number of slots that each share uses.
func (q *fairQueue) updateUsage(now time.Time, elapsed time.Duration) {
	if elapsed < classifyInterval {
		return
	}
	clear(q.usage)
	for _, s := range q.shares {
		s.usage += (float64(s.usedTime)/float64(elapsed) - s.usage) / 2
		s.usedTime = 0
		q.usage[s.rank] += s.usage
		s.updateAccountUsage(elapsed)
	}
	q.forgetAccounts(now)
	q.reserve.classifiedAt = now
}

// mayStart reports whether the share may take one of the free slots. Slots reserved for nested
// calls are available to nested calls only. A slow customer that already has its fair share of
// the slots must leave free the slots that the fast customers use on average but do not hold at
// the moment, plus one so that their use can grow. Shares that can wait leave slots free for urgent
// ones likewise.
func (g *Gate) mayStart(s *share) bool {
	r := &g.queue.reserve
	slots := g.limit.allowed()
	if s.rank != nestedRank && slots-g.inUse <= g.reservedForNested() {
		return false
	}
	if s.yields && !g.leavesUrgentSlots(s) {
		return false
	}
	if !s.slow || r.fastShares == 0 || s.running < max(slots/(r.fastShares+1), 1) {
		return true
	}
	headroom := int(r.fastUsage) + 1 - r.fastRunning
	return slots-g.inUse-1 >= headroom
}
