package quarantine

import (
	"sync"
	"time"
)

// maxGoodRuns bounds the runs that are remembered: those of a second and more at a server
// that ends 500 a second.
const maxGoodRuns = 1024

// goodRuns remembers the requests that have run well of late.
type goodRuns struct {
	keep time.Duration

	mu   sync.Mutex
	ring [maxGoodRuns]goodRun
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

// has reports whether a request has run well of late.
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

// without returns the requests that have not run well of late.
func (g *goodRuns) without(ids []Identity, now time.Time) []Identity {
	var rest []Identity
	for _, id := range ids {
		if !g.has(id, now) {
			rest = append(rest, id)
		}
	}
	return rest
}
