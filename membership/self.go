package membership

import (
	"bytes"
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// SetLocalState sets the announcements of the backend servers on this host and whether the host
// is draining, and gossips a change. It sends nothing if the announcements differ from the
// previous ones only by a higher age. Announcements that do not fit into one datagram are
// omitted.
func (m *Membership) SetLocalState(announcements []Announcement, draining bool) {
	m.update(func(now time.Time) {
		fits := m.fittingAnnouncements(announcements)
		if m.self.info.draining == draining && sameAnnouncements(m.self.info.announcements, fits) {
			return
		}
		if left := len(announcements) - len(fits); left > 0 {
			m.log.Error("membership: announcements do not fit into a datagram", "left_out", left)
		}
		next := *m.self.info
		next.draining = draining
		next.announcements = fits
		next.notes = m.fittingNotes(next, next.notes)
		m.setInfo(&next, m.self.incarnation+1, now)
	})
}

// SetNotes sets the opaque payloads to distribute with this daemon's record, the most urgent
// first. Notes that do not fit into a datagram with the rest of the record are omitted. Notes
// use the gossip and the repair exchanges of membership updates, which are designed for small
// and rare data.
func (m *Membership) SetNotes(notes [][]byte) {
	m.update(func(now time.Time) {
		fits := m.fittingNotes(*m.self.info, notes)
		if slices.EqualFunc(m.self.info.notes, fits, bytes.Equal) {
			return
		}
		next := *m.self.info
		next.notes = fits
		m.setInfoOfSameServers(&next, now)
	})
}

// aged returns the announcements with their ages advanced by a duration. Other daemons count the
// ages from the last change of the info, and would otherwise consider a running server to have
// just started.
func aged(list []Announcement, by time.Duration) []Announcement {
	list = slices.Clone(list)
	for i := range list {
		list[i].Age += by
	}
	return list
}

// fittingNotes returns the notes that fit into a record together with the rest of the info.
func (m *Membership) fittingNotes(i info, notes [][]byte) [][]byte {
	candidate := *m.self
	candidate.info = &i
	i.replaced = make([]uint64, maxReplaced)
	var fits [][]byte
	for _, n := range notes {
		i.notes = append(fits, n)
		if len(i.notes) <= maxNotes && proto.Size(encodeMember(&candidate, true)) <= maxRecordBytes {
			fits = i.notes
		}
	}
	return fits
}

// setInfoOfSameServers replaces the daemon's own info by one with the same announcements, and gossips it.
func (m *Membership) setInfoOfSameServers(i *info, now time.Time) {
	i.announcements = aged(i.announcements, now.Sub(m.self.since))
	m.setInfo(i, m.self.incarnation+1, now)
}

// setInfo replaces the daemon's own info at a new incarnation and gossips it.
func (m *Membership) setInfo(i *info, incarnation uint64, now time.Time) {
	i.revision = incarnation
	m.mergeSelf(&record{
		host:  m.self.host,
		state: state{incarnation: incarnation, boot: m.self.boot, liveness: m.self.liveness},
		info:  i,
	}, now)
	m.queueSelf(true)
}

// mergeSelf merges a record into the daemon's own entry.
func (m *Membership) mergeSelf(r *record, now time.Time) {
	if m.announced {
		m.table.merge(r)
	} else {
		m.self.merge(r)
	}
	m.self.member = nil
	m.self.since = now
	m.markChanged(now)
}

// queueSelf queues the daemon's own entry for gossip in all availability zones. full includes
// the info.
func (m *Membership) queueSelf(full bool) {
	if m.announced {
		m.queue.add(m.self.host, full, true)
		m.crossZoneQueue.add(m.self.host, full, true)
	}
}

// announce adds the daemon to its own table and gossips its entry, which makes it a member.
func (m *Membership) announce(now time.Time) {
	if m.announced {
		return
	}
	m.announced, m.announcedAt = true, now
	m.table.addEntry(m.self)
	m.sync.settle = now.Add(settleTime + m.jitter(settleTime))
	m.markChanged(now)
	m.queueSelf(true)
}

func sameAnnouncements(old, new []Announcement) bool {
	return slices.EqualFunc(old, new, func(a, b Announcement) bool {
		// A lower age indicates a different backend server.
		return a.Service == b.Service && a.Slots == b.Slots && a.Draining == b.Draining && a.Instance == b.Instance && a.Version == b.Version &&
			a.Age <= b.Age
	})
}

// fittingAnnouncements returns the announcements that fit into one record.
func (m *Membership) fittingAnnouncements(list []Announcement) []Announcement {
	fits := make([]Announcement, 0, len(list))
	candidate := *m.self
	for _, a := range list {
		a.Slots = min(max(a.Slots, 0), maxSlots)
		next := *m.self.info
		next.announcements = append(fits, a)
		next.replaced = make([]uint64, maxReplaced)
		next.notes = nil
		candidate.info = &next
		size := proto.Size(encodeMember(&candidate, true))
		if a.Service == "" || len(a.Service) > maxNameBytes || len(fits) == maxAnnouncements || size > maxRecordBytes ||
			!utf8.ValidString(a.Service) {
			continue
		}
		fits = append(fits, a)
	}
	return fits
}

// Leave gossips that the daemon is leaving. It returns when that update has been sent as many
// times as any other update, or when ctx is done. Run must still be running.
func (m *Membership) Leave(ctx context.Context) error {
	m.update(func(now time.Time) {
		if m.left {
			return
		}
		m.left = true
		next := state{incarnation: m.self.incarnation + 1, boot: m.self.boot, liveness: Left}
		m.mergeSelf(&record{host: m.self.host, state: next}, now)
		m.queueSelf(false)
		m.log.Info("membership: leaving")
	})
	for !m.departureSent() {
		if err := m.sleep(ctx, m.opts.GossipInterval); err != nil {
			return errors.Wrap(err, "leave fleet")
		}
	}
	return nil
}

func (m *Membership) departureSent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.usable == 0 ||
		(m.neighbors() == 0 || !m.queue.contains(m.self.host)) && (!m.hasOtherZones() || !m.crossZoneQueue.contains(m.self.host))
}
