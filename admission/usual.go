package admission

import (
	"sync"
	"time"
)

const (
	// usualShare is the share of a route's calls that must arrive with the longest
	// time seen for it to be taken for what callers begin with. Callers of one kind
	// give each first try the same time; calls that backend servers make come with
	// what their own caller has left, which is never the same twice.
	usualShare = 0.25
	// usualSamples is how many calls of a route must have been seen, and how many
	// are remembered.
	usualSamples, usualMemory = 20, 1000
	// usualSlack is by how much less a first try may have.
	usualSlack = 20 * time.Millisecond
)

// InitialTimeouts learns with how much time callers begin the calls of each route. A caller
// that was refused comes back with less; how much less tells how long ago it began. It is
// safe for concurrent use.
type InitialTimeouts struct {
	mu      sync.Mutex
	byRoute map[string]*usualTime
}

type usualTime struct {
	longest time.Duration
	// calls and atLongest are counts that are halved now and then.
	calls, atLongest int
}

// Elapsed takes in a call and returns how long ago its caller began with it, 0 where
// that is not known.
func (u *InitialTimeouts) Elapsed(route string, remaining time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byRoute == nil {
		u.byRoute = make(map[string]*usualTime)
	}
	t := u.byRoute[route]
	if t == nil {
		t = &usualTime{}
		u.byRoute[route] = t
	}
	t.add(remaining)
	if t.calls < usualSamples || float64(t.atLongest) < usualShare*float64(t.calls) || t.longest-remaining <= usualSlack {
		return 0
	}
	return t.longest - remaining
}

func (t *usualTime) add(remaining time.Duration) {
	if remaining > t.longest+usualSlack {
		*t = usualTime{longest: remaining}
	}
	t.calls++
	if t.longest-remaining <= usualSlack {
		t.atLongest++
	}
	if t.calls >= usualMemory {
		t.calls /= 2
		t.atLongest /= 2
	}
}
