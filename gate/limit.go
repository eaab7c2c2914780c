package gate

import "time"

const (
	// growInterval is how long no call must have been shed before the limit grows
	// by one slot.
	growInterval = time.Second
)

// limit is how many slots are handed out: those that were announced, or fewer
// while the backend server sheds calls although it has had no more than that.
type limit struct {
	// fixed is whether sheds change nothing.
	fixed     bool
	announced int
	current   int
	changedAt time.Time
}

func newLimit(slots int, fixed bool) limit {
	slots = max(slots, 1)
	return limit{fixed: fixed, announced: slots, current: slots}
}

func (l *limit) allowed() int { return l.current }

// setAnnounced takes over an announcement. A repeated one changes nothing.
func (l *limit) setAnnounced(slots int) {
	if slots == l.announced {
		return
	}
	l.announced = max(slots, 1)
	l.current = l.announced
}

// recordOutcome adapts the limit to the outcome of a call that was the level-th in use at
// its start. Shed as the seventh, it shows that there is room for six. Without
// this, each freed slot would be handed to the next call in the queue, which is
// shed in turn, until the queue is empty.
func (l *limit) recordOutcome(o Outcome, inUseAtStart int, now time.Time) {
	switch {
	case l.fixed:
	case o == Shed:
		l.current = max(min(l.current, inUseAtStart-1), 1)
		l.changedAt = now
	case l.current < l.announced && now.Sub(l.changedAt) >= growInterval:
		l.current++
		l.changedAt = now
	}
}
