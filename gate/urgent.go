package gate

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// patientTimes is the time left, as a multiple of the service time, from which on the calls of
	// a share can wait. Such a call can wait for two service times. In that time half of the
	// slots, which it keeps in any case, start as many calls as there are slots.
	patientTimes = 3
	// stayPatientTimes is the same limit for a share that is classified as patient. It is lower
	// because under overload many calls are repeated attempts with less time left.
	stayPatientTimes = 2
	// lateSlotTimes is the number of mean times between two released slots that a call must be able
	// to wait without being late. Releases are nearly independent of each other, so one wait in 20
	// is longer than three times the mean.
	lateSlotTimes = 3
	// refusedSlotDivisor is the inverse of the relative error that is assumed for the expected time
	// until a slot is free, when it is compared with the wait that a call accepts.
	refusedSlotDivisor = 4
	// minMeasuredCalls is the number of ended calls after which the measured service time of a
	// share is used to classify it. Before, the service time is assumed to be the time left divided
	// by unmeasuredTimes, because a share whose calls are long would otherwise occupy all slots
	// before the first of them has ended.
	minMeasuredCalls = 4
	unmeasuredTimes  = 4
	// minUrgentUsage is the mean number of used slots up to which one reserved slot is free for 19
	// of 20 urgent calls.
	minUrgentUsage = 0.05
	// lastRank is a rank behind all others.
	lastRank = math.MaxInt
)

// terms holds moving means over the calls of a share: the time within which an answer is useful,
// and the longest wait that the sender accepts.
type terms struct {
	timeLeft, maxWait movingMean
	patient           bool
}

// urgentUse is the use of slots by the urgent shares of one rank.
type urgentUse struct {
	rank    int
	usage   float64
	running int
}

// recordTerms adds a call to the terms of its share.
func (s *share) recordTerms(c Call) {
	left := c.timeLeft()
	s.terms.timeLeft.add(left)
	if c.MaxWait > 0 {
		left = min(left, c.MaxWait)
	}
	s.terms.maxWait.add(left)
}

// assumedServiceTime returns the service time by which the share is classified.
func (s *share) assumedServiceTime() time.Duration {
	if s.serviceTime.samples <= minMeasuredCalls {
		return max(s.serviceTime.value, s.terms.timeLeft.value/unmeasuredTimes)
	}
	return s.serviceTime.value
}

// assumedUsage returns the number of slots that the share is assumed to use. A share without
// measured calls is assumed to use one, by its first call.
func (s *share) assumedUsage() float64 {
	if s.serviceTime.samples <= minMeasuredCalls {
		return max(s.usage, 1)
	}
	return s.usage
}

// updatePatient updates whether the calls of the share can wait for several service times.
func (s *share) updatePatient() {
	times := time.Duration(patientTimes)
	if s.terms.patient {
		times = stayPatientTimes
	}
	s.terms.patient = s.terms.timeLeft.value >= times*s.assumedServiceTime()
}

// tolerableInterval returns the longest mean time between two released slots at which a call of
// the share that finds no free slot is, as a rule, neither rejected nor late. Calls that are late
// without any wait tolerate each interval.
func (s *share) tolerableInterval() time.Duration {
	serviceTime := s.assumedServiceTime()
	if s.terms.timeLeft.value <= serviceTime {
		return math.MaxInt64
	}
	slack := s.terms.timeLeft.value - serviceTime - serviceDeviations*s.serviceTime.deviation
	accepted := s.terms.maxWait.value
	return max(min(slack/lateSlotTimes, accepted-accepted/(refusedSlotDivisor+1)), 0)
}

// rankNeeds summarizes the shares of a rank that had calls recently.
type rankNeeds struct {
	// tolerable is the shortest interval between released slots that all its shares tolerate.
	tolerable time.Duration
	// patientTime is the longest service time of its patient shares.
	patientTime time.Duration
}

// classifyUrgent determines the urgent shares and the shares that leave slots free for them. A
// share is urgent if patient calls of a later rank, when they hold all slots, release one less
// often than the share tolerates. Those patient shares yield.
func (q *fairQueue) classifyUrgent(slots int, now time.Time) {
	ranks := make(map[int]rankNeeds)
	for _, s := range q.shares {
		s.updatePatient()
		if !s.recent(now) {
			continue
		}
		n, ok := ranks[s.rank]
		if !ok {
			n.tolerable = math.MaxInt64
		}
		n.tolerable = min(n.tolerable, s.tolerableInterval())
		if s.terms.patient {
			n.patientTime = max(n.patientTime, s.assumedServiceTime())
		}
		ranks[s.rank] = n
	}
	order := slices.Sorted(maps.Keys(ranks))
	// tolerable and patientTime hold, for each rank, the extreme value of the ranks before and
	// behind it.
	tolerable, patientTime := make(map[int]time.Duration), make(map[int]time.Duration)
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for i, rank := range order {
		tolerable[rank] = shortest
		shortest = min(shortest, ranks[rank].tolerable)
		behind := order[len(order)-1-i]
		patientTime[behind] = longest
		longest = max(longest, ranks[behind].patientTime)
	}
	interval := func(serviceTime time.Duration) time.Duration { return serviceTime / time.Duration(slots) }
	anyUrgent := false
	for _, s := range q.shares {
		s.urgent = s.recent(now) && s.tolerableInterval() < interval(patientTime[s.rank])
		s.yields = s.recent(now) && s.terms.patient && tolerable[s.rank] < interval(s.assumedServiceTime())
		anyUrgent = anyUrgent || s.urgent
	}
	q.reserve.recount(q.shares, anyUrgent)
}

// recent reports whether a call of the share arrived within reserveDuration or has not ended.
func (s *share) recent(now time.Time) bool {
	return now.Sub(s.lastSeen) <= reserveDuration || s.queued > 0
}

// recount determines the use of slots by urgent and by yielding shares. Nested calls use the
// reserved slots too, since they start first.
func (r *reserve) recount(shares map[shareKey]*share, anyUrgent bool) {
	r.urgent, r.yieldingRunning, r.yieldingRelease = nil, 0, 0
	if !anyUrgent {
		return
	}
	uses := make(map[int]urgentUse)
	for _, s := range shares {
		s.urgent = s.urgent || s.rank == nestedRank
		if s.urgent {
			u := uses[s.rank]
			uses[s.rank] = urgentUse{rank: s.rank, usage: u.usage + s.assumedUsage(), running: u.running + s.running}
		}
		if s.yields {
			r.yieldingRunning += s.running
			r.yieldingRelease += s.releaseRate
		}
	}
	for _, rank := range slices.Sorted(maps.Keys(uses)) {
		r.urgent = append(r.urgent, uses[rank])
	}
}

// count adds n to the running calls of the share.
func (r *reserve) count(s *share, n int) {
	if s.yields {
		r.yieldingRunning += n
	}
	if !s.urgent {
		return
	}
	for i := range r.urgent {
		if r.urgent[i].rank == s.rank {
			r.urgent[i].running += n
		}
	}
}

// urgentSlots returns the number of slots that yielding shares of the rank leave to urgent calls,
// and how many of these hold urgent calls. Urgent calls get the slots that they use on average,
// rounded up, and one more, so that a burst of a few calls finds a free slot. They get at most half
// of the slots, so that no rank starves.
func (r *reserve) urgentSlots(rank, slots int) (reserved, running int) {
	if len(r.urgent) == 0 || r.urgent[0].rank >= rank {
		return 0, 0
	}
	usage := 0.0
	for _, u := range r.urgent {
		if u.rank < rank {
			usage += u.usage
			running += u.running
		}
	}
	reserved = 1
	if usage > minUrgentUsage {
		reserved += int(math.Ceil(usage))
	}
	reserved = min(reserved, slots/2)
	return reserved, min(running, reserved)
}

// urgentHeadroom returns the number of slots that yielding calls of the rank must leave free at the
// moment.
func (g *Gate) urgentHeadroom(rank int) int {
	reserved, running := g.queue.reserve.urgentSlots(rank, g.limit.allowed())
	return reserved - running
}

// reservedSlots returns the number of slots that are reserved for urgent calls.
func (g *Gate) reservedSlots() int {
	reserved, _ := g.queue.reserve.urgentSlots(lastRank, g.limit.allowed())
	return reserved
}

// reservedFrom returns the number of slots that calls of the share cannot use because they are
// reserved for urgent calls.
func (g *Gate) reservedFrom(s *share) int {
	if !s.yields {
		return 0
	}
	reserved, _ := g.queue.reserve.urgentSlots(s.rank, g.limit.allowed())
	return reserved
}

// leavesUrgentSlots reports whether enough slots remain free for urgent calls if a call of a
// yielding share starts. Half of the slots are available to yielding shares in any case, whatever
// other calls hold the rest.
func (g *Gate) leavesUrgentSlots(s *share) bool {
	slots := g.limit.allowed()
	if g.queue.reserve.yieldingRunning < slots-slots/2 {
		return true
	}
	return slots-g.inUse-1-g.reservedForNested() >= g.urgentHeadroom(s.rank)
}

// nextRelease returns the expected time until a slot is free for a call of the share, which can use
// the given number of slots. If yielding calls hold all slots that they may use, another one can
// start only when one of them ends.
func (g *Gate) nextRelease(s *share, usable int) time.Duration {
	q := g.queue
	switch excess := q.reserve.yieldingRunning - usable; {
	case g.inUse == 0:
		return 0
	case !s.yields || excess < 0:
		return time.Duration(releaseScale / max(q.releaseRate, 1))
	default:
		return time.Duration(1+excess) * time.Duration(releaseScale/max(q.reserve.yieldingRelease, 1))
	}
}
