package membership

import (
	"slices"
	"time"
)

// EndedServer identifies a run of a backend server that has ended.
type EndedServer struct {
	// ID is a digest of the server's ID.
	ID uint64
	// StartUnixMs is the start of the run in Unix milliseconds. Earlier runs with the same ID have
	// ended as well.
	StartUnixMs int64
}

// SetEndedServers distributes the backend servers of this host that have ended last with this daemon's
// record, of which the last few are kept. The process that replaces this one gets them by EndedBefore.
func (m *Membership) SetEndedServers(list []EndedServer) {
	list = list[max(0, len(list)-maxEndedServers):]
	m.update(func(now time.Time) {
		if slices.Equal(m.self.info.ended, list) {
			return
		}
		next := *m.self.info
		next.ended = slices.Clone(list)
		next.notes = m.fittingNotes(next, next.notes)
		m.setInfoOfSameServers(&next, now)
	})
}

// EndedBefore returns the backend servers that have ended beside earlier processes of this host, as far
// as the other daemons have reported them.
func (m *Membership) EndedBefore() []EndedServer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endedBefore
}

// inheritEnded adds the servers that ended beside an earlier process of this host.
func (m *Membership) inheritEnded(list []EndedServer) {
	for _, e := range list {
		if !slices.Contains(m.endedBefore, e) {
			m.endedBefore = append(slices.Clone(m.endedBefore), e)
		}
	}
}
