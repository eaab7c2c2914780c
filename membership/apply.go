package membership

import (
	"slices"
	"time"
)

// source is the origin of a record.
type source uint8

const (
	// fromGossip marks a record received by gossip. If it changes the table, it is gossiped in
	// the local availability zone.
	fromGossip source = iota
	// fromProbe marks a record that results from a probe by this daemon. Other daemons may not
	// have it, so it is also sent to the other availability zones.
	fromProbe
	// fromSync marks a record received in a full-table exchange. It is gossiped like fromGossip.
	fromSync
	// fromJoin marks a record received while this daemon joins. It is not gossiped, since the
	// other daemons already have it.
	fromJoin
)

// apply merges a record that another daemon sent or this one produced. It reports whether the
// record changed the table and was queued for gossip.
func (m *Membership) apply(r *record, from source, now time.Time) bool {
	if r.host == m.self.host {
		m.applySelf(r, now)
		return false
	}
	known := m.table.get(r.host) != nil
	if !known && !r.usable() && r.age > m.opts.TombstoneRetention {
		// Other daemons may expire a tombstone a little later than this one. Accepting it again
		// would keep it circulating forever.
		return false
	}
	e, c := m.table.merge(r)
	if e == nil {
		m.opts.Meter.Rejected(RejectFull)
		return false
	}
	if c&changedOffset != 0 {
		m.stale.Store(true)
	}
	if !c.needsGossip() {
		return false
	}
	if c&(changedState|changedInfo) != 0 {
		m.entryChanged(e, c, r, now)
	}
	m.markChanged(now)
	if from == fromJoin || (!known && !e.usable()) {
		return false
	}
	m.queue.add(e.host, c&(changedInfo|changedBoot) != 0, isUrgent(e, c))
	if from == fromProbe {
		m.crossZoneQueue.add(e.host, false, true)
	}
	return true
}

// isUrgent reports whether an update must be sent at once because callers or backend servers
// depend on it.
func isUrgent(e *entry, c change) bool {
	return c&changedInfo != 0 || (c&changedState != 0 && !e.usable())
}

// entryChanged updates what depends on the state and info of an entry that r has changed.
func (m *Membership) entryChanged(e *entry, c change, r *record, now time.Time) {
	e.since = now.Add(-r.age)
	m.markZoneChanged(e.availabilityZone(), now)
	if c&appeared != 0 {
		m.prober.add(e.host, m.rng)
	}
	if c&changedState == 0 {
		return
	}
	if e.liveness == Suspect {
		e.suspectedAt = now
		e.deadline = now.Add(m.opts.SuspicionTimeout)
	}
	m.logState(e)
}

func (m *Membership) logState(e *entry) {
	zone := ""
	if e.info != nil {
		zone = e.info.availabilityZone
	}
	m.log.Info("membership: member is "+e.liveness.String(), "host", e.host, "zone", zone, "incarnation", e.incarnation)
}

// applySelf handles a record about this host. It refutes a wrong record with a higher
// incarnation, which takes precedence over that record at every daemon.
func (m *Membership) applySelf(r *record, now time.Time) {
	if r.boot != m.self.boot {
		m.applyOtherBoot(r, now)
		return
	}
	if r.floor > m.self.floor {
		m.raiseFloor(r.floor, now)
	}
	if m.left {
		return
	}
	m.recordClaim(r.liveness, now)
	if r.state.compare(m.self.state) <= 0 {
		if r.liveness != Alive && !m.queue.contains(m.self.host) {
			// The refutation was lost, for example in a one-way partition, and no daemon gossips
			// it any longer.
			m.queueSelf(true)
		}
		return
	}
	m.health.record(false)
	m.log.Warn("membership: refuting", "claim", r.liveness.String(), "incarnation", r.incarnation)
	next := state{incarnation: r.incarnation + 1, boot: m.self.boot, liveness: Alive}
	m.mergeSelf(&record{host: m.self.host, state: next}, now)
	m.queueSelf(false)
}

// applyOtherBoot handles a record of another process under this host's name. If that process is
// an earlier one, this daemon raises its incarnation above it. If it has replaced this process,
// which was paused or partitioned meanwhile, this process must stop. The later process lists the
// boots that it has replaced; without that list, the two would raise their incarnations above
// each other forever.
func (m *Membership) applyOtherBoot(r *record, now time.Time) {
	if f := max(r.floor, r.offset); f > m.self.floor {
		m.raiseFloor(f, now)
	}
	if r.info != nil && !slices.Contains(r.info.replaced, m.self.boot) {
		m.inheritEnded(r.info.ended)
	}
	above := r.state.compare(m.self.state) > 0
	if r.info == nil && (!above || r.usable()) {
		// The other process may be the later one. The next full-table exchange delivers its
		// info.
		return
	}
	if r.info != nil && slices.Contains(r.info.replaced, m.self.boot) {
		m.superseded = m.superseded || above
		return
	}
	known := slices.Contains(m.self.info.replaced, r.boot)
	if m.left || (known && !above) {
		return
	}
	next := *m.self.info
	if !known {
		next.replaced = append([]uint64{r.boot}, next.replaced...)
	}
	if r.info != nil {
		next.replaced = appendMissing(next.replaced, r.info.replaced, m.self.boot)
	}
	next.replaced = next.replaced[:min(len(next.replaced), maxReplaced)]
	m.log.Info("membership: replacing an earlier life of this host", "incarnation", r.incarnation)
	m.setInfo(&next, max(m.self.incarnation, r.incarnation)+1, now)
}

func appendMissing(list, more []uint64, except uint64) []uint64 {
	for _, b := range more {
		if b != except && !slices.Contains(list, b) {
			list = append(list, b)
		}
	}
	return list
}

// raiseFloor raises the floor of this host to an offset that an earlier process had in force.
func (m *Membership) raiseFloor(floor uint64, now time.Time) {
	m.self.floor = floor
	m.self.member = nil
	m.markChanged(now)
	m.queueSelf(false)
}
