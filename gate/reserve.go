package gate

import "time"

const (
	// classifyInterval is how often customers are told apart by the time their
	// calls take.
	classifyInterval = time.Second
	// reserveDuration is how long after its latest call a customer's headroom is
	// kept.
	reserveDuration = 10 * time.Second
	// minReserveWait is the expected wait for a slot below which no headroom is
	// kept: one is free soon enough.
	minReserveWait = 2 * time.Millisecond
	// minSlowRatio is how many times as long as the quickest customer's a slow
	// one's calls take at least, however few the slots are.
	minSlowRatio = 10
)

// reserve keeps slots free for nested calls, and for customers whose calls are quick.
// Without it, ten long uploads of one customer hold all slots, and another one's lookups,
// though first in line, wait for the end of an upload.
type reserve struct {
	classifiedAt time.Time
	// classifyDue asks for a review ahead of time, for a customer not seen before.
	classifyDue bool
	// fastShares counts the fastShares customers seen of late, fastRunning their calls.
	fastShares, fastRunning int
	// fastUsage is the slots that they hold on average.
	fastUsage float64
	// nestedSlots is how many slots nestedRunning calls have for themselves, nestedRunning how many they hold.
	nestedSlots, nestedRunning int
}

// ReserveNestedSlot keeps a slot for nested calls from now on. Where services call each other in
// a ring, all slots may else be held by calls that wait, at the end of the ring, for one of
// those very slots: nothing moves until their time is up. One is enough, since the calls
// that have it end by themselves, one after the other.
func (g *Gate) ReserveNestedSlot() {
	// Each nested call asks for it; one takes the lock.
	if g.nestedSlotReserved.Swap(true) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.reserve.nestedSlots = 1
}

// reservedForNested returns how many free slots are left to nested calls.
func (g *Gate) reservedForNested() int {
	if g.limit.allowed() == 1 {
		return 0
	}
	return max(g.queue.reserve.nestedSlots-g.queue.reserve.nestedRunning, 0)
}

// classifyShares tells slow customers from quick ones. A customer is slow if waiting
// for one of its calls to free a slot would cost the quickest customer more
// than its own call takes.
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
}

// updateUsage updates the customers' mean use of slots.
func (q *fairQueue) updateUsage(now time.Time, elapsed time.Duration) {
	if elapsed < classifyInterval {
		return
	}
	clear(q.usage)
	for _, s := range q.shares {
		s.usage += (float64(s.usedTime)/float64(elapsed) - s.usage) / 2
		s.usedTime = 0
		q.usage[s.rank] += s.usage
	}
	q.reserve.classifiedAt = now
}

// mayStart reports whether the share may take one of the free slots. Those kept for nested
// calls are left to them. A slow customer that has its fair part leaves those that the quick
// ones use on average and do not hold at the moment, and one more so that their use can
// grow.
func (g *Gate) mayStart(s *share) bool {
	r := &g.queue.reserve
	slots := g.limit.allowed()
	if s.rank != nestedRank && slots-g.inUse <= g.reservedForNested() {
		return false
	}
	if !s.slow || r.fastShares == 0 || s.running < max(slots/(r.fastShares+1), 1) {
		return true
	}
	headroom := int(r.fastUsage) + 1 - r.fastRunning
	return slots-g.inUse-1 >= headroom
}
