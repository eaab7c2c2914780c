package membership

import "time"

// Standing is what this daemon knows of how the other members see it.
type Standing struct {
	// HeardAt is when a datagram of another member arrived last, zero if none has.
	HeardAt time.Time
	// DeclaredDeadAt is when another member last reported that it held this process for dead, zero if
	// none has. The others accept the process as alive again only after a refutation, which it sends
	// later than this time.
	DeclaredDeadAt time.Time
}

// Standing returns the current standing. Unlike the view, it includes everything received so far.
func (m *Membership) Standing() Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standing
}

// recordClaim updates the standing by another member's record about this process.
func (m *Membership) recordClaim(l Liveness, now time.Time) {
	if l == Dead {
		m.standing.DeclaredDeadAt = now
	}
}
