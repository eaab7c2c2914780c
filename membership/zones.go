package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/memberpb"
)

// Updates spread within an availability zone by gossip, and from one zone to another in a
// bounded number of copies: the daemon at which an update originates sends it to a few members
// of each zone, and these gossip it in their zone. If gossip drew its targets from the whole
// fleet, every daemon would send each update on, with 6 zones five times in six to another zone:
// a power loss at 295 hosts in 6 zones would cause 98 MB of traffic between zones, and ten times
// that at 910 hosts. Updates that the copies miss are detected by the digest of a zone's members
// in each packet to another zone.

const (
	// crossZoneCopies is the number of members of each other availability zone to which an
	// update is sent by its origin. With a single copy, a zone would miss the update if that
	// member has just died. If both members have died, packets forwarded by third zones and the
	// digests compensate.
	crossZoneCopies = 2
	// crossZonePackets bounds the packets that each of these members gets per tick.
	crossZonePackets = 2
	// repairSpread is, per member of the local availability zone, the time over which its daemons
	// spread their exchanges about another zone. All of them see that the digests differ; the
	// first one to exchange tables gossips what was missing, and the others need not.
	repairSpread = 40 * time.Millisecond
	// minRepairSpread is the minimum time over which the exchanges are spread.
	minRepairSpread = 500 * time.Millisecond
	// repairQuiet is how long the table must have been unchanged before differing digests mean
	// that a zone has missed updates. Gossip has delivered the earlier updates everywhere by
	// then.
	repairQuiet = 1500 * time.Millisecond
	// startupQuiet replaces repairQuiet during startupPeriod after a start. When many daemons
	// start at once, they know few members to send updates to, and each discovers the others by
	// such exchanges: with repairQuiet, 295 daemons take 5.0 s to discover each other, with
	// startupQuiet 3.6 s (BenchmarkZonesAllRestart).
	startupQuiet  = 300 * time.Millisecond
	startupPeriod = 10 * time.Second
	// zoneQuiet is how long the members of one zone must have been unchanged while others
	// change. It is longer, since a single zone is more likely to be unchanged by chance.
	zoneQuiet = 4 * time.Second
	// reannounceAfter is how long after its start a daemon sends its entry to the other zones
	// for the second time. Daemons that started at the same moment have joined by then.
	reannounceAfter = time.Second
	// repairMismatches is the number of consecutive packets with a differing digest of a zone
	// that cause an exchange about it while updates keep arriving: a table that never stops
	// changing must be repaired too. With 10, ten changes per second caused needless exchanges
	// (TestDrainReachesAllDaemons).
	repairMismatches = 16
	// One in thirdZoneEvery packets to another zone carries the digest of a third zone.
	thirdZoneEvery = 4
	// maxRepairs bounds the zones for which repairs are kept, since zone names arrive in
	// datagrams that anyone can send. Fleets have about ten zones.
	maxRepairs = 64
	// maxRepairGap bounds the time between two exchanges about a zone that change nothing.
	maxRepairGap = time.Minute
)

// repair tracks the digest mismatches of one other availability zone and the exchanges that
// repair them.
type repair struct {
	// mismatches is the number of consecutive packets with a differing digest.
	mismatches int
	// differsSince is when the digests were first found to differ after the last change of the
	// zone's members. delay is the random part of repairSpread that this daemon waits in
	// addition to the quiet period.
	differsSince time.Time
	delay        time.Duration
	// lastZoneChange is when the members of the zone last changed in the local table.
	lastZoneChange time.Time
	// next is the earliest time for the next exchange, gap the time to the one after that.
	next time.Time
	gap  time.Duration
}

// inZone reports whether e is known to be in the local availability zone.
func (m *Membership) inZone(e *entry) bool {
	return e != nil && e.info != nil && e.info.availabilityZone == m.opts.AvailabilityZone
}

// isNeighbor reports whether e is another usable member of the local availability zone.
func (m *Membership) isNeighbor(e *entry) bool { return m.isOther(e) && m.inZone(e) }

// isCrossZone reports whether e is a usable member of another availability zone.
func (m *Membership) isCrossZone(e *entry) bool { return m.isOther(e) && !m.inZone(e) }

// neighbors returns the number of other usable members of the local availability zone.
func (m *Membership) neighbors() int {
	return m.table.zones[m.opts.AvailabilityZone].usable - count(m.self.counted)
}

// hasOtherZones reports whether usable members of other availability zones are known.
func (m *Membership) hasOtherZones() bool {
	n := len(m.table.zones)
	if m.table.zones[m.opts.AvailabilityZone].usable > 0 {
		n--
	}
	return n > 0
}

// gossipCrossZone sends the updates that originate at this daemon to the other availability
// zones.
func (m *Membership) gossipCrossZone() {
	if m.crossZoneQueue.len() == 0 || !m.hasOtherZones() {
		return
	}
	targets := m.table.sampleZones(m.rng, crossZoneCopies, m.isCrossZone)
	for i := 0; i < crossZonePackets && m.crossZoneQueue.len() > 0; i++ {
		m.sendUpdates(targets)
	}
}

// reannounce queues the daemon's entry for the other availability zones a second time, shortly
// after its start. When many daemons start at once, it knows hardly any member there the first
// time.
func (m *Membership) reannounce(now time.Time) {
	if m.reannounced || !m.announced || now.Sub(m.announcedAt) < reannounceAfter {
		return
	}
	m.reannounced = true
	m.crossZoneQueue.add(m.self.host, true, true)
}

// sendUpdates sends one packet with the same updates to each of the targets.
func (m *Membership) sendUpdates(targets []*entry) {
	heads := make([][]byte, len(targets))
	space := MaxPacketBytes
	for i, e := range targets {
		head, ok := m.encodePacket(e.host, e.boot, &memberpb.Packet{})
		if !ok {
			return
		}
		heads[i] = head
		space = min(space, MaxPacketBytes-len(head))
	}
	updates := m.crossZoneQueue.take(space, updateOverhead, 1, m.encodeUpdate)
	for i, e := range targets {
		b := heads[i]
		for _, data := range updates {
			b = appendUpdate(b, data)
		}
		m.enqueue(e.info.peerAddr, e.host, PacketGossip, b)
	}
}

// forward sends the updates in a packet from another zone to one member of a third zone. Both
// members there to which the origin sent them may have died, for example when half of the hosts
// of each zone lose power, or just these two zones may be partitioned from each other.
func (m *Membership) forward(pkt *packet, applied []*record) {
	from := m.table.get(pkt.GetHost())
	if len(applied) == 0 || pkt.GetRelayed() || from == nil || m.inZone(from) {
		return
	}
	zone := m.thirdZone(from.availabilityZone())
	if zone == "" {
		return
	}
	for _, e := range m.table.sample(m.rng, 1, func(e *entry) bool { return m.isOther(e) && e.zone == zone }) {
		b, ok := m.encodePacket(e.host, e.boot, &memberpb.Packet{Relayed: true})
		if !ok {
			return
		}
		for _, r := range applied {
			data := m.encodeUpdate(&update{host: r.host, full: r.info != nil})
			if len(b)+len(data)+updateOverhead <= MaxPacketBytes {
				b = appendUpdate(b, data)
			}
		}
		m.enqueue(e.info.peerAddr, e.host, PacketGossip, b)
	}
}

// compare compares the digest in a packet with the local table. It covers all members if the
// sender is in the local availability zone, and otherwise those of one zone, usually the sender's.
func (m *Membership) compare(pkt *packet, from netip.AddrPort, now time.Time) {
	e := m.table.get(pkt.GetHost())
	switch {
	case pkt.GetDigest() != 0:
		m.compareDigest(pkt.GetDigest(), from, now)
	case pkt.GetDigestZone() != "":
		m.compareZone(exchangeTarget{from, true, pkt.GetDigestZone()}, pkt.GetZoneDigest(), now)
	case e == nil:
		m.compareZone(exchangeTarget{from, true, ""}, pkt.GetZoneDigest(), now)
	case !m.inZone(e):
		m.compareZone(exchangeTarget{from, true, e.availabilityZone()}, pkt.GetZoneDigest(), now)
	}
}

// zoneToCompare returns the zone whose digest a packet to e carries, "" for the local one, and
// that digest. One in thirdZoneEvery packets carries the digest of a third zone: two zones that
// cannot reach each other detect each other's updates through other zones.
func (m *Membership) zoneToCompare(e *entry) (zone string, digest uint64) {
	if m.rng.IntN(thirdZoneEvery) == 0 && e != nil {
		if zone := m.thirdZone(e.availabilityZone()); zone != "" {
			return zone, m.table.zones[zone].digest
		}
	}
	return "", m.table.zones[m.opts.AvailabilityZone].digest
}

// thirdZone returns a random availability zone that is neither the local one nor other, or "" if
// there is none.
func (m *Membership) thirdZone(other string) string {
	var thirds []string
	for zone := range m.table.zones {
		if zone != other && zone != m.opts.AvailabilityZone {
			thirds = append(thirds, zone)
		}
	}
	if len(thirds) == 0 {
		return ""
	}
	slices.Sort(thirds)
	return thirds[m.rng.IntN(len(thirds))]
}

// compareZone requests an exchange about the members of a zone with the sender of a digest if
// the digest has differed for some time.
func (m *Membership) compareZone(target exchangeTarget, digest uint64, now time.Time) {
	if target.zone == m.opts.AvailabilityZone {
		return
	}
	r := m.repairOf(target.zone)
	if r == nil {
		return
	}
	if digest == m.table.zones[target.zone].digest {
		r.mismatches = 0
		return
	}
	r.mismatches++
	if r.mismatches == 1 || r.lastZoneChange.After(r.differsSince) && r.mismatches < repairMismatches {
		// Updates of the zone that are in transit may have reached the sender first.
		r.differsSince, r.delay = now, m.jitter(m.repairSpread())
		return
	}
	quiet := zoneQuiet
	if !m.lastChange.After(r.differsSince) {
		quiet = m.repairQuiet(now)
	}
	if now.Sub(r.differsSince) < quiet+r.delay || now.Before(r.next) {
		return
	}
	m.repairZone(r, target, now)
}

// repairOf returns the repair of a zone and creates it if necessary. It returns nil if there are
// too many.
func (m *Membership) repairOf(zone string) *repair {
	r := m.repairs[zone]
	if r == nil && len(m.repairs) < maxRepairs {
		r = &repair{}
		m.repairs[zone] = r
	}
	return r
}

// markZoneChanged records that the members of a zone have changed in the local table.
func (m *Membership) markZoneChanged(zone string, now time.Time) {
	if r := m.repairs[zone]; r != nil {
		r.lastZoneChange = now
	}
}

// repairZone passes an exchange about another zone to syncLoop, unless another exchange is
// pending.
func (m *Membership) repairZone(r *repair, target exchangeTarget, now time.Time) {
	select {
	case m.syncWanted <- target:
		r.mismatches = 0
		r.gap = min(max(2*r.gap, m.repairSpread()), maxRepairGap)
		r.next = now.Add(r.gap)
	default:
	}
}

// repairQuiet returns how long the table must have been unchanged before a repair.
func (m *Membership) repairQuiet(now time.Time) time.Duration {
	if now.Sub(m.announcedAt) < startupPeriod {
		return startupQuiet
	}
	return repairQuiet
}

// repairSpread returns the time over which the daemons of the local zone spread a repair.
func (m *Membership) repairSpread() time.Duration {
	return max(minRepairSpread, time.Duration(m.neighbors())*repairSpread)
}

// recordRepair resets the time between exchanges about a zone if the last one changed anything.
func (m *Membership) recordRepair(zone string, changed bool) {
	if r := m.repairs[zone]; r != nil && changed {
		r.gap = 0
	}
}
