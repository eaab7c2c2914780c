package membership

import (
	"cmp"
	"net/netip"
	"time"
)

// state is the liveness of a host with its version. The states of one host are totally ordered
// and the highest one takes precedence, so that daemons agree regardless of the order in which
// they receive them.
type state struct {
	// A member overrides a record about itself with a higher incarnation. The incarnation also
	// orders the processes of a host: a restarted process obtains the incarnation of its
	// predecessor from the other daemons and takes a higher one, which requires neither a clock
	// nor a disk.
	incarnation uint64
	// boot breaks the tie between two processes that do not know of each other yet.
	boot uint64
	// Within one incarnation of a process, the higher Liveness value takes precedence, so that a
	// record can only make the liveness worse.
	liveness Liveness
}

func (s state) compare(o state) int {
	return cmp.Or(
		cmp.Compare(s.incarnation, o.incarnation),
		cmp.Compare(s.boot, o.boot),
		cmp.Compare(s.liveness, o.liveness),
	)
}

// usable reports whether requests may be sent to a member in this state.
func (s state) usable() bool { return s.liveness == Alive || s.liveness == Suspect }

// info is what a host announces about itself. It is immutable and versioned separately from the
// state, so that a suspicion and its refutation need not include it.
type info struct {
	// revision is the incarnation at which the info last changed.
	revision         uint64
	boot             uint64
	availabilityZone string
	region           string
	peerAddr         netip.AddrPort
	callerAddr       netip.AddrPort
	draining         bool
	announcements    []Announcement
	// replaced lists the boots of earlier processes of the host, the latest first.
	replaced []uint64
	linkMbps float32
	notes    [][]byte
	// ended lists the backend servers of the host that have ended last, the latest last.
	ended []EndedServer
}

func (i *info) compare(o *info) int {
	return cmp.Or(cmp.Compare(i.revision, o.revision), cmp.Compare(i.boot, o.boot))
}

// record is what one message reports about one host.
type record struct {
	host string
	state
	offset uint64
	floor  uint64
	// info is nil if the message contains only the state.
	info *info
	age  time.Duration
}

// change is the set of fields that a merge changed.
type change uint8

const (
	changedState change = 1 << iota
	changedInfo
	changedBoot
	// appeared means that the host was unknown or a tombstone before and is now usable.
	appeared
	// changedFloor means that an earlier process of the host is now known to have had a later
	// offset in force.
	changedFloor
	changedOffset
)

// needsGossip reports whether the change is to be sent to other daemons.
func (c change) needsGossip() bool { return c&(changedState|changedInfo|changedFloor) != 0 }

// entry is the state of one host in the table.
type entry struct {
	host string
	state
	// info is nil until it has been received.
	info   *info
	offset uint64
	floor  uint64
	// since is when state or info last changed.
	since time.Time
	// suspectedAt and deadline are valid while the state is Suspect.
	suspectedAt time.Time
	deadline    time.Time

	digest uint64
	// zone is the availability zone under which the table counts the entry, if counted is set.
	zone    string
	counted bool
	member  *Member
}

// availabilityZone returns the zone that the host has announced, or "" if it is not known yet.
func (e *entry) availabilityZone() string {
	if e.info == nil {
		return ""
	}
	return e.info.availabilityZone
}

// merge merges a record into the entry. Each field becomes the maximum of all received values,
// so that the order and repetition of records do not matter. Only offset is kept for the current
// process alone; floor is the maximum over the other processes of the host.
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

// complete reports whether the info belongs to the same process as the state. Until it does, the
// address is unknown or that of an earlier process.
func (e *entry) complete() bool { return e.info != nil && e.info.boot == e.boot }

// highest returns the highest offset that any process of the host is known to have had in force.
func (e *entry) highest() uint64 { return max(e.offset, e.floor) }

// view returns the entry as a Member, or nil while it is not complete.
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
