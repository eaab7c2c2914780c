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

// SetLocalState tells the others what runs on this host. Nothing is sent where the
// announcements differ from the ones before in a grown age alone. Announcements
// that do not fit into a datagram with the others are left out.
func (m *Membership) SetLocalState(announcements []Announcement, draining bool) {
	m.update(func(now time.Time) {
		fits := m.fitting(announcements)
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

// SetNotes tells the others what is to be known of beside the membership, the most urgent
// first. Notes that do not fit into a datagram with the rest are left out: they share the
// ways and the repairs of a member's news, which are for small and rare things.
func (m *Membership) SetNotes(notes [][]byte) {
	m.update(func(now time.Time) {
		fits := m.fittingNotes(*m.self.info, notes)
		if slices.EqualFunc(m.self.info.notes, fits, bytes.Equal) {
			return
		}
		next := *m.self.info
		next.notes = fits
		next.announcements = aged(next.announcements, now.Sub(m.self.since))
		m.setInfo(&next, m.self.incarnation+1, now)
	})
}

// aged returns announcements as of a later moment. The others take a change of the info for
// the moment that ages are of, and would take a server for one that has just started.
func aged(list []Announcement, by time.Duration) []Announcement {
	list = slices.Clone(list)
	for i := range list {
		list[i].Age += by
	}
	return list
}

// fittingNotes returns the notes that a record with the info can carry.
func (m *Membership) fittingNotes(i info, notes [][]byte) [][]byte {
	probe := *m.self
	probe.info = &i
	i.replaced = make([]uint64, maxReplaced)
	var fits [][]byte
	for _, n := range notes {
		i.notes = append(fits, n)
		if len(i.notes) <= maxNotes && proto.Size(encodeMember(&probe, true)) <= maxRecordBytes {
			fits = i.notes
		}
	}
	return fits
}

// setInfo replaces the daemon's own info at a new incarnation.
func (m *Membership) setInfo(i *info, incarnation uint64, now time.Time) {
	i.revision = incarnation
	m.applyOwn(&record{
		host:  m.self.host,
		state: state{incarnation: incarnation, boot: m.self.boot, liveness: m.self.liveness},
		info:  i,
	}, now)
	m.spreadOwn(true)
}

// applyOwn changes the daemon's own entry.
func (m *Membership) applyOwn(r *record, now time.Time) {
	if m.announced {
		m.table.merge(r)
	} else {
		m.self.merge(r)
	}
	m.self.member = nil
	m.self.since = now
	m.news(now)
}

// spreadOwn tells the others of the daemon's own entry.
func (m *Membership) spreadOwn(full bool) {
	if m.announced {
		m.queue.add(m.self.host, full, true)
		m.far.add(m.self.host, full, true)
	}
}

// announce makes the daemon a member.
func (m *Membership) announce(now time.Time) {
	if m.announced {
		return
	}
	m.announced, m.announcedAt = true, now
	m.table.adopt(m.self)
	m.sync.settle = now.Add(settleTime + m.jitter(settleTime))
	m.news(now)
	m.spreadOwn(true)
}

func sameAnnouncements(old, new []Announcement) bool {
	return slices.EqualFunc(old, new, func(a, b Announcement) bool {
		// A lower age means that the backend server is another one.
		return a.Service == b.Service && a.Slots == b.Slots && a.Draining == b.Draining && a.Instance == b.Instance && a.Version == b.Version &&
			a.Age <= b.Age
	})
}

// fitting returns the announcements that one record can carry.
func (m *Membership) fitting(list []Announcement) []Announcement {
	fits := make([]Announcement, 0, len(list))
	probe := *m.self
	for _, a := range list {
		a.Slots = min(max(a.Slots, 0), maxSlots)
		next := *m.self.info
		next.announcements = append(fits, a)
		next.replaced = make([]uint64, maxReplaced)
		next.notes = nil
		probe.info = &next
		size := proto.Size(encodeMember(&probe, true))
		if a.Service == "" || len(a.Service) > maxNameBytes || len(fits) == maxAnnouncements || size > maxRecordBytes ||
			!utf8.ValidString(a.Service) {
			continue
		}
		fits = append(fits, a)
	}
	return fits
}

// Leave says goodbye and returns when the news has been passed on as often as
// any update is, or when ctx is done. Run must still be running.
func (m *Membership) Leave(ctx context.Context) error {
	m.update(func(now time.Time) {
		if m.left {
			return
		}
		m.left = true
		next := state{incarnation: m.self.incarnation + 1, boot: m.self.boot, liveness: Left}
		m.applyOwn(&record{host: m.self.host, state: next}, now)
		m.spreadOwn(false)
		m.log.Info("membership: leaving")
	})
	for !m.goodbyeSent() {
		if err := m.sleep(ctx, m.opts.GossipInterval); err != nil {
			return errors.Wrap(err, "leave")
		}
	}
	return nil
}

func (m *Membership) goodbyeSent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.usable == 0 ||
		(m.neighbours() == 0 || !m.queue.holds(m.self.host)) && (!m.hasOtherZones() || !m.far.holds(m.self.host))
}
