package admission

import (
	"sync"
	"time"
)

const (
	// minTimeoutShare is the share of a route's calls that must arrive with the longest remaining
	// time seen for that time to count as the callers' initial timeout. Callers of one kind
	// send each first attempt with the same timeout. Nested calls arrive with what remains of
	// their parent's time, which differs from call to call.
	minTimeoutShare = 0.25
	// minTimeoutCalls is the number of a route's calls that must be counted before an initial
	// timeout is derived, and timeoutWindow the number at which the counts are halved.
	minTimeoutCalls, timeoutWindow = 20, 1000
	// timeoutSlack is how far the remaining time of a first attempt may lie below the longest
	// one seen.
	timeoutSlack = 20 * time.Millisecond
)

// InitialTimeouts estimates for each route the timeout with which callers send their first
// attempt. A caller that retries after a refusal sends the remaining time; the difference is how
// long ago it sent its first attempt. The zero value is ready for use. It is safe for
// concurrent use.
type InitialTimeouts struct {
	mu      sync.Mutex
	byRoute map[string]*routeTimeout
}

// routeTimeout is the estimate for one route.
type routeTimeout struct {
	longest time.Duration
	// calls counts all calls, atLongest those within timeoutSlack of longest. Both are halved
	// at timeoutWindow calls.
	calls, atLongest int
}

// Elapsed records a call and returns how long ago its caller sent its first attempt. It returns
// 0 for a first attempt and where the initial timeout of the route is unknown.
func (u *InitialTimeouts) Elapsed(route string, remaining time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byRoute == nil {
		u.byRoute = make(map[string]*routeTimeout)
	}
	t := u.byRoute[route]
	if t == nil {
		t = &routeTimeout{}
		u.byRoute[route] = t
	}
	t.add(remaining)
	if t.calls < minTimeoutCalls || float64(t.atLongest) < minTimeoutShare*float64(t.calls) || t.longest-remaining <= timeoutSlack {
		return 0
	}
	return t.longest - remaining
}

// add counts a call. A remaining time above the longest one restarts the estimate.
func (t *routeTimeout) add(remaining time.Duration) {
	if remaining > t.longest+timeoutSlack {
		*t = routeTimeout{longest: remaining}
	}
	t.calls++
	if t.longest-remaining <= timeoutSlack {
		t.atLongest++
	}
	if t.calls >= timeoutWindow {
		t.calls /= 2
		t.atLongest /= 2
	}
}
