package membership

import (
	"slices"
	"time"
)

// source is how a record was learned.
type source uint8

const (
	// fromGossip records are passed on in the own availability zone if they are news.
	fromGossip source = iota
	// fromProbe records are what this daemon's own probes show. Nobody else may know, so
	// they go to the other availability zones as well.
	fromProbe
	// fromSync records are passed on as well.
	fromSync
	// fromJoin records are what a daemon learns as it starts; to pass all of
	// them on would tell the others what they have told it.
	fromJoin
)

// apply takes a record in that another daemon sent or that this one concluded, and reports
// whether it is news that this daemon passes on.
func (m *Membership) apply(r *record, from source, now time.Time) bool {
	if r.host == m.self.host {
		m.applySelf(r, now)
		return false
	}
	known := m.table.get(r.host) != nil
	if !known && !r.usable() && r.age > m.opts.TombstoneRetention {
		// Others may forget a tombstone a little later than this daemon did;
		// taking it back would keep it going round for good.
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
	if !c.spreads() {
		return false
	}
	if c&(changedState|changedInfo) != 0 {
		m.changedEntry(e, c, r, now)
	}
	m.news(now)
	if from == fromJoin || (!known && !e.usable()) {
		return false
	}
	m.queue.add(e.host, c&(changedInfo|changedBoot) != 0, isUrgent(e, c))
	if from == fromProbe {
		m.far.add(e.host, false, true)
	}
	return true
}

// isUrgent reports whether callers or backend servers wait for the news.
func isUrgent(e *entry, c change) bool {
	return c&changedInfo != 0 || (c&changedState != 0 && !e.usable())
}

// changedEntry keeps what depends on an entry's state in step with it.
func (m *Membership) changedEntry(e *entry, c change, r *record, now time.Time) {
	e.since = now.Add(-r.age)
	m.noteZoneNews(e.availabilityZone(), now)
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

// applySelf answers what others say of this host. What is wrong is outbid by a
// higher incarnation, which holds wherever it meets the wrong one.
func (m *Membership) applySelf(r *record, now time.Time) {
	if r.boot != m.self.boot {
		m.applyOtherLife(r, now)
		return
	}
	if r.floor > m.self.floor {
		m.raiseFloor(r.floor, now)
	}
	if m.left {
		return
	}
	if r.state.compare(m.self.state) <= 0 {
		if r.liveness != Alive && !m.queue.holds(m.self.host) {
			// The refutation did not get through, say in a cut that was one
			// way, and nobody passes it on any more.
			m.spreadOwn(true)
		}
		return
	}
	m.health.record(false)
	m.log.Warn("membership: refuting", "claim", r.liveness.String(), "incarnation", r.incarnation)
	next := state{incarnation: r.incarnation + 1, boot: m.self.boot, liveness: Alive}
	m.applyOwn(&record{host: m.self.host, state: next}, now)
	m.spreadOwn(false)
}

// applyOtherLife answers a record of another process under this host's name.
// Either it is an earlier life, and this one goes above it, or it has replaced
// this one, which was paused or cut off meanwhile, and this one must stop. The
// later life names those that it replaced; without that, the two would outbid
// each other for good.
func (m *Membership) applyOtherLife(r *record, now time.Time) {
	if f := max(r.floor, r.offset); f > m.self.floor {
		m.raiseFloor(f, now)
	}
	above := r.state.compare(m.self.state) > 0
	if r.info == nil && (!above || r.usable()) {
		// It may be the later life. The next full-table exchange tells.
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

// raiseFloor takes in what an earlier life of this host had in force.
func (m *Membership) raiseFloor(floor uint64, now time.Time) {
	m.self.floor = floor
	m.self.member = nil
	m.news(now)
	m.spreadOwn(false)
}
