package quarantine

import (
	"sync"
	"time"
)

// maxRecentSuccesses is the number of completed requests that are kept: at least those of
// one second at a server that completes 500 requests per second.
const maxGoodRuns = 1024

// recentSuccesses is a ring buffer of the requests that the backend server beside this daemon
// completed most recently. It is safe for concurrent use.
type goodRuns struct {
	// ttl is how long an entry counts as recent.
	keep time.Duration

	mu   sync.Mutex
	ring [maxGoodRuns]goodRun
	// next is the index in ring of the next entry to overwrite.
	next int
}

type goodRun struct {
	id Identity
	at time.Time
}

func (g *goodRuns) add(id Identity, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ring[g.next] = goodRun{id, now}
	g.next = (g.next + 1) % len(g.ring)
}

// has reports whether the request was completed within the last ttl.
func (g *goodRuns) has(id Identity, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.ring {
		r := &g.ring[i]
		if r.id == id && !r.at.IsZero() && now.Sub(r.at) <= g.keep {
			return true
		}
	}
	return false
}

// without returns those of the given requests that were not completed within the last ttl.
func (g *goodRuns) without(ids []Identity, now time.Time) []Identity {
	var rest []Identity
	for _, id := range ids {
		if !g.has(id, now) {
			rest = append(rest, id)
		}
	}
	return rest
}
