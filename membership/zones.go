package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/memberpb"
)

// News goes round within an availability zone by gossip, and from one zone to another in
// a bounded number of copies: whoever is its source tells a few members of each zone, and
// these pass it on among their neighbours. Gossip that drew its targets from the whole
// fleet sent each update on from every daemon, five times in six across a zone: a loss of
// power at 295 hosts in 6 zones cost 98 MB between zones, and ten times that at 910. What
// the copies miss is found by the digest of a zone's members that each packet into
// another zone carries.

const (
	// farCopies is how many members of each other availability zone are told of an update
	// by its source. One alone would leave a zone without the news when that member has
	// just died. Both may have: relays by other zones and the digests make up for that.
	farCopies = 2
	// farPackets bounds the packets that each of them gets in one tick.
	farPackets = 2
	// repairSpread is the time, for each member of the own availability zone, over which its
	// daemons spread their exchanges about another zone. All of them see that the digests
	// differ; the first to make up for it tells the others, who then need not.
	repairSpread = 40 * time.Millisecond
	// minRepairSpread is the least such time.
	minRepairSpread = 500 * time.Millisecond
	// repairQuiet is how long the table must have been still before differing digests mean
	// that a zone has missed news. What goes round by gossip is known everywhere by then.
	repairQuiet = 1500 * time.Millisecond
	// startQuiet takes the place of repairQuiet in the first startTime after a start. Where
	// many start at once they know few to tell, and each learns of the others by such
	// exchanges: with repairQuiet it took 295 of them 5.0 s to know each other, with
	// startQuiet 3.6 s (BenchmarkZonesAllRestart).
	startQuiet = 300 * time.Millisecond
	startTime  = 10 * time.Second
	// zoneQuiet is how long one zone's members must have been still while others have news.
	// It is longer, since one zone of several is likelier to be still by chance.
	zoneQuiet = 4 * time.Second
	// tellAgainAfter is how long after its start a daemon tells the other zones of itself
	// for the second time: by then those that started at the same moment have joined.
	tellAgainAfter = time.Second
	// repairMismatches is how many packets of a zone in a row must have had another digest
	// for an exchange about it while there is news all the time: a table that is never still
	// must be repaired too. With 10, ten changes a second led to exchanges for nothing
	// (TestDrainIsKnownEverywhere).
	repairMismatches = 16
	// thirdZoneEvery is which part of the packets to another zone tells of a third one.
	thirdZoneEvery = 4
	// maxRepairs bounds the zones that repairs are kept of: their names come with datagrams,
	// which anybody can send. Fleets have some ten zones.
	maxRepairs = 64
	// maxRepairGap bounds the time between two exchanges about a zone that change nothing.
	maxRepairGap = time.Minute
)

// repair is the exchange about the members of one other availability zone.
type repair struct {
	// mismatches is how many packets in a row had another digest.
	mismatches int
	// first is when the digests were first found to differ with no news of the zone since,
	// wait what is drawn for this daemon of the spread.
	first time.Time
	wait  time.Duration
	// news is when the zone's members last changed here.
	news time.Time
	// next is the earliest time for the next exchange, gap the time to the one after that.
	next time.Time
	gap  time.Duration
}

// inZone reports whether e is known to be in the own availability zone.
func (m *Membership) inZone(e *entry) bool {
	return e != nil && e.info != nil && e.info.availabilityZone == m.opts.AvailabilityZone
}

// isNeighbour reports whether e is another usable member of the own availability zone.
func (m *Membership) isNeighbour(e *entry) bool { return m.isOther(e) && m.inZone(e) }

// isFar reports whether e is a usable member of another availability zone.
func (m *Membership) isFar(e *entry) bool { return m.isOther(e) && !m.inZone(e) }

// neighbours returns the number of other usable members of the own availability zone.
func (m *Membership) neighbours() int {
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

// gossipAcross tells the other availability zones what this daemon is the source of.
func (m *Membership) gossipAcross() {
	if m.far.len() == 0 || !m.hasOtherZones() {
		return
	}
	targets := m.table.sampleZones(m.rng, farCopies, m.isFar)
	for i := 0; i < farPackets && m.far.len() > 0; i++ {
		m.tellAll(targets)
	}
}

// tellAgain tells the other availability zones a second time of this daemon, a moment after
// its start: where many start at once it knew hardly anybody there the first time.
func (m *Membership) tellAgain(now time.Time) {
	if m.toldAgain || !m.announced || now.Sub(m.announcedAt) < tellAgainAfter {
		return
	}
	m.toldAgain = true
	m.far.add(m.self.host, true, true)
}

// tellAll sends one packet with the same updates to each of the targets.
func (m *Membership) tellAll(targets []*entry) {
	heads := make([][]byte, len(targets))
	space := MaxPacketBytes
	for i, e := range targets {
		head, ok := m.head(e.host, e.boot, &memberpb.Packet{})
		if !ok {
			return
		}
		heads[i] = head
		space = min(space, MaxPacketBytes-len(head))
	}
	updates := m.far.take(space, updateOverhead, 1, m.encodeUpdate)
	for i, e := range targets {
		b := heads[i]
		for _, data := range updates {
			b = appendUpdate(b, data)
		}
		m.post(e.info.peerAddr, e.host, PacketGossip, b)
	}
}

// relay passes the news of a packet from another zone on to one member of a third zone.
// Of the members there that the source has told itself, both may have died; half of the
// hosts of each zone do in a large loss of power. Two zones may be cut off from each other
// alone.
func (m *Membership) relay(pkt *packet, news []*record) {
	from := m.table.get(pkt.GetHost())
	if len(news) == 0 || pkt.GetRelayed() || from == nil || m.inZone(from) {
		return
	}
	zone := m.thirdZone(from.availabilityZone())
	if zone == "" {
		return
	}
	for _, e := range m.table.sample(m.rng, 1, func(e *entry) bool { return m.isOther(e) && e.zone == zone }) {
		b, ok := m.head(e.host, e.boot, &memberpb.Packet{Relayed: true})
		if !ok {
			return
		}
		for _, r := range news {
			data := m.encodeUpdate(&update{host: r.host, full: r.info != nil})
			if len(b)+len(data)+updateOverhead <= MaxPacketBytes {
				b = appendUpdate(b, data)
			}
		}
		m.post(e.info.peerAddr, e.host, PacketGossip, b)
	}
}

// compare looks at the digest in a packet: of all members where the sender is a neighbour,
// else of those of one availability zone, as a rule the sender's.
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

// zoneToCompare returns the zone whose members a packet to e lets the receiver compare,
// "" for the own one, and their digest. Now and then it is a third one: two zones that
// cannot reach each other hear of each other's news by the others.
func (m *Membership) zoneToCompare(e *entry) (zone string, digest uint64) {
	if m.rng.IntN(thirdZoneEvery) == 0 && e != nil {
		if zone := m.thirdZone(e.availabilityZone()); zone != "" {
			return zone, m.table.zones[zone].digest
		}
	}
	return "", m.table.zones[m.opts.AvailabilityZone].digest
}

// thirdZone returns a random availability zone that is neither the own one nor other, ""
// if there is none.
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

// compareZone wants an exchange about a zone's members with the sender of a digest if that
// has differed for some time.
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
	if r.mismatches == 1 || r.news.After(r.first) && r.mismatches < repairMismatches {
		// News of the zone that is under way may have reached the other side first.
		r.first, r.wait = now, m.jitter(m.repairSpread())
		return
	}
	quiet := zoneQuiet
	if !m.lastNews.After(r.first) {
		quiet = m.repairQuiet(now)
	}
	if now.Sub(r.first) < quiet+r.wait || now.Before(r.next) {
		return
	}
	m.repairZone(r, target, now)
}

// repairOf returns the repair of a zone, nil where there are too many.
func (m *Membership) repairOf(zone string) *repair {
	r := m.repairs[zone]
	if r == nil && len(m.repairs) < maxRepairs {
		r = &repair{}
		m.repairs[zone] = r
	}
	return r
}

// noteZoneNews notes that the members of a zone have changed here.
func (m *Membership) noteZoneNews(zone string, now time.Time) {
	if r := m.repairs[zone]; r != nil {
		r.news = now
	}
}

// repairZone hands an exchange about another zone to the loop that runs them, unless that
// has one to begin with.
func (m *Membership) repairZone(r *repair, target exchangeTarget, now time.Time) {
	select {
	case m.syncWanted <- target:
		r.mismatches = 0
		r.gap = min(max(2*r.gap, m.repairSpread()), maxRepairGap)
		r.next = now.Add(r.gap)
	default:
	}
}

// repairQuiet returns how long the table must have been still for a repair.
func (m *Membership) repairQuiet(now time.Time) time.Duration {
	if now.Sub(m.announcedAt) < startTime {
		return startQuiet
	}
	return repairQuiet
}

// repairSpread returns the time over which the daemons of this zone spread a repair.
func (m *Membership) repairSpread() time.Duration {
	return max(minRepairSpread, time.Duration(m.neighbours())*repairSpread)
}

// repaired notes whether an exchange about a zone has changed anything.
func (m *Membership) repaired(zone string, changed bool) {
	if r := m.repairs[zone]; r != nil && changed {
		r.gap = 0
	}
}
