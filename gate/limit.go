package gate

import "time"

const (
	// growInterval is the time without a shed call after which the limit grows by one slot.
	growInterval = time.Second
)

// limit is the number of slots that may be in use: the announced number, or fewer while the
// backend server sheds calls although no more than the announced slots are in use.
type limit struct {
	// fixed disables the adaptation to shed calls.
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

// setAnnounced applies an announced number of slots. Announcing the same number again has no
// effect.
func (l *limit) setAnnounced(slots int) {
	if slots == l.announced {
		return
	}
	l.announced = max(slots, 1)
	l.current = l.announced
}

// recordOutcome adapts the limit to the outcome of a call that had inUseAtStart slots in use at
// its start, its own included. If the call was shed with seven slots in use, the limit becomes
// six. Without this, each released slot would go to the next call in the queue, which would be
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
