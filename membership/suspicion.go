package membership

import "time"

const (
	// correlatedMin and correlatedShare are the number and the percentage of suspect members of
	// a zone or region at which their suspicions are attributed to the network. The loss of a
	// rack (a tenth of a zone) stays below; a partitioned zone exceeds it within one
	// SuspicionTimeout.
	correlatedMin   = 2
	correlatedShare = 30

	// releaseFactor times SuspicionTimeout is the time that a deferred suspect has left when the
	// deferral ends. After a partition, hundreds of members have to receive their suspicions and
	// gossip their refutations at once, which takes longer than for a single member.
	releaseFactor = 5
	// reviewInterval is the time between two checks of the suspicions.
	reviewInterval = 200 * time.Millisecond
)

// failureDomain is a region, or an availability zone of it if zone is set.
type failureDomain struct{ region, zone string }

// tally counts the usable members of a failure domain and the suspect ones among them.
type tally struct{ members, suspects int }

func (t tally) correlated() bool {
	return t.suspects >= correlatedMin && 100*t.suspects >= correlatedShare*t.members
}

// tallies holds the tally of each zone and region.
type tallies map[failureDomain]tally

// tally counts the members of each zone and region.
func (t *table) tally() tallies {
	counts := make(tallies)
	for _, e := range t.order {
		if !e.usable() || !e.complete() {
			continue
		}
		counts.add(failureDomain{e.info.region, e.info.availabilityZone}, e)
		counts.add(failureDomain{region: e.info.region}, e)
	}
	return counts
}

func (c tallies) add(p failureDomain, e *entry) {
	t := c[p]
	t.members++
	t.suspects += count(e.liveness == Suspect)
	c[p] = t
}

// correlated reports whether a large share of the member's zone or region is suspect.
func (c tallies) correlated(e *entry) bool {
	if !e.complete() {
		return false
	}
	return c[failureDomain{e.info.region, e.info.availabilityZone}].correlated() || c[failureDomain{region: e.info.region}].correlated()
}

// reconcileSuspects declares suspects dead whose deadline has passed. If this daemon's probes
// reach no member, or if a large share of a zone or region is suspect at once, the likely cause
// is a network partition. The deadlines are then deferred for up to PartitionTimeout: otherwise
// this side would declare the members of the other side dead one by one and lose their backend
// servers. Deferred members stay Suspect, so that callers choose them last.
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
		deferred := degraded || counts.correlated(e)
		if deferred && now.Sub(e.suspectedAt) < m.opts.PartitionTimeout {
			e.deadline = now.Add(releaseFactor * m.opts.SuspicionTimeout)
			continue
		}
		if !now.Before(e.deadline) || deferred {
			// All daemons reach this conclusion at about the same time, so it need not be sent
			// to the other availability zones.
			m.declare(e, Dead, fromGossip, now)
		}
	}
}

// declare sets the liveness of a member as concluded from its silence.
func (m *Membership) declare(e *entry, l Liveness, from source, now time.Time) {
	s := e.state
	s.liveness = l
	m.apply(&record{host: e.host, state: s, offset: e.offset, floor: e.floor}, from, now)
}

// reconcileTombstones removes expired tombstones.
func (m *Membership) reconcileTombstones(now time.Time) {
	if now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = now.Add(expiryInterval)
	for _, e := range m.table.expire(now, m.opts.TombstoneRetention) {
		m.queue.drop(e.host)
		m.crossZoneQueue.drop(e.host)
		m.markChanged(now)
	}
}
