package gate

import "time"

const (
	// reviewInterval is how often customers are told apart by the time their
	// calls take.
	reviewInterval = time.Second
	// reserveFor is how long after its latest call a customer's headroom is
	// kept.
	reserveFor = 10 * time.Second
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
	reviewed time.Time
	// due asks for a review ahead of time, for a customer not seen before.
	due bool
	// quick counts the quick customers seen of late, running their calls.
	quick, running int
	// usage is the slots that they hold on average.
	usage float64
	// keep is how many slots nested calls have for themselves, nested how many they hold.
	keep, nested int
}

// ReserveNestedSlot keeps a slot for nested calls from now on. Where services call each other in
// a ring, all slots may else be held by calls that wait, at the end of the ring, for one of
// those very slots: nothing moves until their time is up. One is enough, since the calls
// that have it end by themselves, one after the other.
func (g *Gate) ReserveNestedSlot() {
	// Each nested call asks for it; one takes the lock.
	if g.keepsForNested.Swap(true) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.reserve.keep = 1
}

// kept returns how many free slots are left to nested calls.
func (g *Gate) kept() int {
	if g.limit.slots() == 1 {
		return 0
	}
	return max(g.queue.reserve.keep-g.queue.reserve.nested, 0)
}

// review tells slow customers from quick ones. A customer is slow if waiting
// for one of its calls to free a slot would cost the quickest customer more
// than its own call takes.
func (q *fairQueue) review(slots int, now time.Time) {
	r := &q.reserve
	elapsed := now.Sub(r.reviewed)
	if elapsed < reviewInterval && !r.due {
		return
	}
	q.measureUsage(now, elapsed)
	quickest := time.Duration(-1)
	for _, s := range q.shares {
		if s.route == "" && now.Sub(s.seen) <= reserveFor && (quickest < 0 || s.serviceTime.value < quickest) {
			quickest = s.serviceTime.value
		}
	}
	slow := max(quickest, minReserveWait) * time.Duration(max(slots, minSlowRatio))
	r.due, r.quick, r.usage = false, 0, 0
	for _, s := range q.shares {
		s.slow = s.route == "" && s.serviceTime.value > slow
		if !s.slow && s.route == "" && now.Sub(s.seen) <= reserveFor {
			r.quick++
			r.usage += s.usage
		}
	}
}

// measureUsage updates the customers' mean use of slots.
func (q *fairQueue) measureUsage(now time.Time, elapsed time.Duration) {
	if elapsed < reviewInterval {
		return
	}
	clear(q.usage)
	for _, s := range q.shares {
		s.usage += (float64(s.used)/float64(elapsed) - s.usage) / 2
		s.used = 0
		q.usage[s.rank] += s.usage
	}
	q.reserve.reviewed = now
}

// mayStart reports whether the share may take one of the free slots. Those kept for nested
// calls are left to them. A slow customer that has its fair part leaves those that the quick
// ones use on average and do not hold at the moment, and one more so that their use can
// grow.
func (g *Gate) mayStart(s *share) bool {
	r := &g.queue.reserve
	slots := g.limit.slots()
	if s.rank != nestedRank && slots-g.inUse <= g.kept() {
		return false
	}
	if !s.slow || r.quick == 0 || s.running < max(slots/(r.quick+1), 1) {
		return true
	}
	headroom := int(r.usage) + 1 - r.running
	return slots-g.inUse-1 >= headroom
}
