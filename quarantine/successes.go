package quarantine

import (
	"sync"
	"time"
)

// maxRecentSuccesses is the number of completed requests that are kept: at least those of
// one second at a server that completes 500 requests per second.
const maxRecentSuccesses = 1024

// recentSuccesses is a ring buffer of the requests that the backend server beside this daemon
// completed most recently. It is safe for concurrent use.
type recentSuccesses struct {
	// ttl is how long an entry counts as recent.
	ttl time.Duration

	mu   sync.Mutex
	ring [maxRecentSuccesses]success
	// next is the index in ring of the next entry to overwrite.
	next int
}

type success struct {
	id Identity
	at time.Time
}

func (s *recentSuccesses) add(id Identity, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring[s.next] = success{id, now}
	s.next = (s.next + 1) % len(s.ring)
}

// has reports whether the request was completed within the last ttl.
func (s *recentSuccesses) has(id Identity, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.ring {
		r := &s.ring[i]
		if r.id == id && !r.at.IsZero() && now.Sub(r.at) <= s.ttl {
			return true
		}
	}
	return false
}

// without returns those of the given requests that were not completed within the last ttl.
func (s *recentSuccesses) without(ids []Identity, now time.Time) []Identity {
	var rest []Identity
	for _, id := range ids {
		if !s.has(id, now) {
			rest = append(rest, id)
		}
	}
	return rest
}
