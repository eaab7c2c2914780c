package membership

import "time"

const (
	// correlatedMin and correlatedShare are the members of a zone or region,
	// in number and in hundredths, whose suspicion is laid to the network. A
	// rack (a tenth of a zone) stays below; a zone that is cut off passes it
	// within the time one suspicion takes.
	correlatedMin   = 2
	correlatedShare = 30

	// releaseFactor times the suspicion timeout is what a held suspect has left
	// when the hold ends. After a cut some hundred members have to hear of their
	// suspicion and to spread the refutation at once, which takes gossip longer
	// than a single one.
	releaseFactor = 5
	// reviewInterval is how often suspicions are looked at.
	reviewInterval = 200 * time.Millisecond
)

// place names a region, or one of its availability zones.
type place struct{ region, zone string }

// tally counts the usable members of a place.
type tally struct{ members, suspects int }

func (t tally) correlated() bool {
	return t.suspects >= correlatedMin && 100*t.suspects >= correlatedShare*t.members
}

// tallies holds the tally of each zone and region.
type tallies map[place]tally

// tally counts members by place.
func (t *table) tally() tallies {
	counts := make(tallies)
	for _, e := range t.order {
		if !e.usable() || !e.complete() {
			continue
		}
		counts.add(place{e.info.region, e.info.availabilityZone}, e)
		counts.add(place{region: e.info.region}, e)
	}
	return counts
}

func (c tallies) add(p place, e *entry) {
	t := c[p]
	t.members++
	t.suspects += count(e.liveness == Suspect)
	c[p] = t
}

// correlated reports whether many others in the member's zone or region are
// suspect too.
func (c tallies) correlated(e *entry) bool {
	if !e.complete() {
		return false
	}
	return c[place{e.info.region, e.info.availabilityZone}].correlated() || c[place{region: e.info.region}].correlated()
}

// reconcileSuspects declares the suspects dead whose time is up. A daemon that
// finds nobody, or that sees much of a zone or region suspect at once, rather
// sees a cut: without this hold the other side would be declared dead piece by
// piece and its backend servers lost to this side. Held members stay Suspect,
// so that they are picked last.
func (m *Membership) reconcileSuspects(now time.Time) {
	if m.table.suspects == 0 || now.Before(m.nextReview) {
		return
	}
	m.nextReview = now.Add(reviewInterval)
	counts := m.table.tally()
	degraded := m.health.degraded()
	for _, e := range m.table.order {
		if e.liveness != Suspect {
			continue
		}
		held := degraded || counts.correlated(e)
		if held && now.Sub(e.suspectedAt) < m.opts.PartitionTimeout {
			e.deadline = now.Add(releaseFactor * m.opts.SuspicionTimeout)
			continue
		}
		if !now.Before(e.deadline) || held {
			// All daemons find that at about the same time: nobody has to tell the
			// other availability zones.
			m.claim(e, Dead, fromGossip, now)
		}
	}
}

// claim says of a member what its silence shows.
func (m *Membership) claim(e *entry, l Liveness, from source, now time.Time) {
	s := e.state
	s.liveness = l
	m.apply(&record{host: e.host, state: s, offset: e.offset, floor: e.floor}, from, now)
}

// reconcileTombstones forgets members that have been gone for long.
func (m *Membership) reconcileTombstones(now time.Time) {
	if now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = now.Add(expiryInterval)
	for _, e := range m.table.expire(now, m.opts.TombstoneRetention) {
		m.queue.drop(e.host)
		m.far.drop(e.host)
		m.news(now)
	}
}
