package membership

import (
	"cmp"
	"net/netip"
	"time"
)

// state is a host's liveness. States of one host are totally ordered and the
// higher one holds, so that daemons agree whatever the order in which they
// hear of them.
type state struct {
	// A member outbids what it wants to overrule by a higher incarnation. This
	// orders the lives of a host as well: a restarted process learns the
	// incarnation of the life before from the others and goes above it, which
	// needs neither clock nor disk.
	incarnation uint64
	// boot breaks the tie of two lives that do not know of each other yet.
	boot uint64
	// Within one incarnation only bad news is news.
	liveness Liveness
}

func (s state) compare(o state) int {
	return cmp.Or(
		cmp.Compare(s.incarnation, o.incarnation),
		cmp.Compare(s.boot, o.boot),
		cmp.Compare(s.liveness, o.liveness),
	)
}

// usable reports whether work may be sent to a member in this state.
func (s state) usable() bool { return s.liveness == Alive || s.liveness == Suspect }

// info is what a host tells of itself, immutable. It is versioned apart from
// the state, so that a suspicion and its refutation need not carry it.
type info struct {
	// revision is the incarnation at which the info was last changed.
	revision         uint64
	boot             uint64
	availabilityZone string
	region           string
	peerAddr         netip.AddrPort
	callerAddr       netip.AddrPort
	draining         bool
	announcements    []Announcement
	// replaced lists earlier lives of the host, latest first.
	replaced []uint64
	linkMbps float32
	notes    [][]byte
}

func (i *info) compare(o *info) int {
	return cmp.Or(cmp.Compare(i.revision, o.revision), cmp.Compare(i.boot, o.boot))
}

// record is what one message tells of one host.
type record struct {
	host string
	state
	offset uint64
	floor  uint64
	// info is nil where the message only tells the state.
	info *info
	age  time.Duration
}

// change is a set of what a merge changed.
type change uint8

const (
	changedState change = 1 << iota
	changedInfo
	changedBoot
	// appeared means that the host was unknown or a tombstone before.
	appeared
	// changedFloor means that an earlier life is now known to have had a later
	// offset in force.
	changedFloor
	changedOffset
)

// spreads reports whether others should be told.
func (c change) spreads() bool { return c&(changedState|changedInfo|changedFloor) != 0 }

// entry is what the table holds of one host.
type entry struct {
	host string
	state
	// info is nil until it was heard of.
	info   *info
	offset uint64
	floor  uint64
	// since is when state or info last changed.
	since time.Time
	// suspectedAt and deadline belong to the state Suspect.
	suspectedAt time.Time
	deadline    time.Time

	digest uint64
	// zone is the availability zone under which the table has counted the entry, if it
	// has.
	zone    string
	counted bool
	member  *Member
}

// availabilityZone returns the zone that the host has told, "" while it is not known.
func (e *entry) availabilityZone() string {
	if e.info == nil {
		return ""
	}
	return e.info.availabilityZone
}

// merge takes a record in. Each field becomes the maximum of what was heard, so
// that order and repetition of the records do not matter; only offset is kept
// for the current life alone, with floor as the maximum over all lives.
func (e *entry) merge(r *record) change {
	var c change
	if r.state.compare(e.state) > 0 {
		c |= changedState
		if r.boot != e.boot {
			c |= changedBoot
			e.floor = max(e.floor, e.offset)
			e.offset = 0
		}
		e.state = r.state
	}
	if r.info != nil && (e.info == nil || r.info.compare(e.info) > 0) {
		e.info = r.info
		c |= changedInfo
	}
	return c | e.mergeOffsets(r)
}

func (e *entry) mergeOffsets(r *record) change {
	floor, offset := r.floor, r.offset
	if r.boot != e.boot {
		floor, offset = max(floor, offset), 0
	}
	var c change
	if offset > e.offset {
		e.offset = offset
		c |= changedOffset
	}
	if floor > e.floor {
		e.floor = floor
		c |= changedFloor
	}
	return c
}

// complete reports whether the info belongs to the life that the state is of.
// Until it does, the address is that of an earlier life or unknown.
func (e *entry) complete() bool { return e.info != nil && e.info.boot == e.boot }

// highest returns the highest offset that any life of the host had in force.
func (e *entry) highest() uint64 { return max(e.offset, e.floor) }

// view returns the entry as a Member, nil while it is not complete.
func (e *entry) view() *Member {
	if e.member != nil || !e.complete() {
		return e.member
	}
	e.member = &Member{
		Host:             e.host,
		Boot:             e.boot,
		Incarnation:      e.incarnation,
		Liveness:         e.liveness,
		AvailabilityZone: e.info.availabilityZone,
		Region:           e.info.region,
		PeerAddr:         e.info.peerAddr,
		CallerAddr:       e.info.callerAddr,
		Draining:         e.info.draining,
		Announcements:    e.info.announcements,
		Offset:           e.offset,
		Floor:            e.floor,
		LinkMbps:         e.info.linkMbps,
		Notes:            e.info.notes,
		Since:            e.since,
	}
	return e.member
}
