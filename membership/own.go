package membership

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// SetLocal tells the others what runs on this host. Nothing is sent where the
// announcements differ from the ones before in a grown age alone. Announcements
// that do not fit into a datagram with the others are left out.
func (m *Membership) SetLocal(announcements []Announcement, draining bool) {
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
		m.setInfo(&next, m.self.incarnation+1, now)
	})
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
		return a.Service == b.Service && a.Slots == b.Slots && a.Draining == b.Draining && a.Life == b.Life && a.Age <= b.Age
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
