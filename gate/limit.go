package gate

import "time"

const (
	// growAfter is how long no call must have been shed before the limit grows
	// by one slot.
	growAfter = time.Second
)

// limit is how many slots are handed out: those that were announced, or fewer
// while the backend server sheds calls although it has had no more than that.
type limit struct {
	// trusted is whether sheds change nothing.
	trusted   bool
	announced int
	current   int
	changed   time.Time
}

func newLimit(slots int, trusted bool) limit {
	slots = max(slots, 1)
	return limit{trusted: trusted, announced: slots, current: slots}
}

func (l *limit) slots() int { return l.current }

// declare takes over an announcement. A repeated one changes nothing.
func (l *limit) declare(slots int) {
	if slots == l.announced {
		return
	}
	l.announced = max(slots, 1)
	l.current = l.announced
}

// learn adapts the limit to the outcome of a call that was the level-th in use at
// its start. Shed as the seventh, it shows that there is room for six. Without
// this, each freed slot would be handed to the next call in the queue, which is
// shed in turn, until the queue is empty.
func (l *limit) learn(o Outcome, level int, now time.Time) {
	switch {
	case l.trusted:
	case o == Shed:
		l.current = max(min(l.current, level-1), 1)
		l.changed = now
	case l.current < l.announced && now.Sub(l.changed) >= growAfter:
		l.current++
		l.changed = now
	}
}
