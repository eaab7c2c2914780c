// Package membership maintains the table of all daemons in the fleet without a coordination
// service. It implements a SWIM-style gossip protocol: each daemon probes the other members in
// random order, suspects those that do not answer, and piggybacks changes to the table on its
// packets.
package membership

import (
	"net/netip"
	"time"
)

// Liveness is the state of a member in the local table.
type Liveness uint8

// A Suspect member has not answered a probe and may still refute the suspicion. A Dead member
// did not refute it in time. A Left member announced its departure.
const (
	Alive Liveness = iota + 1
	Suspect
	Dead
	Left
)

// String returns the name of the state in lower case, or "unknown" for an invalid value.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Announcement describes a backend server that runs beside a daemon.
type Announcement struct {
	Service  string
	Slots    int
	Draining bool
	// Age is the time since the server first announced itself, as of the last change of the
	// announcement.
	Age time.Duration
	// Instance is a digest that distinguishes this run of the server from earlier ones beside
	// the same daemon. It is 0 if the server has no ID.
	Instance uint32
	// Version is a digest of the version that the server announced, 0 if it announced none.
	Version uint32
}

// Member is an immutable snapshot of the table entry of one daemon.
type Member struct {
	Host string
	// Boot is the random identifier of the daemon process. It distinguishes processes that run
	// one after the other under the same host name.
	Boot             uint64
	Incarnation      uint64
	Liveness         Liveness
	AvailabilityZone string
	Region           string
	PeerAddr         netip.AddrPort
	CallerAddr       netip.AddrPort
	Draining         bool
	Announcements    []Announcement
	// Offset is the latest configuration offset that the process is known to have in force. It
	// is kept after the member has died, and counts toward Floor once another process runs under
	// the same host name.
	Offset uint64
	// Floor is the latest configuration offset that earlier processes of the host are known to
	// have had in force. Membership.Floor returns the maximum of Offset and Floor.
	Floor uint64
	// LinkMbps is the bandwidth of the host's link in Mbit/s, 0 if it is not configured.
	LinkMbps float32
	// Notes are opaque payloads that the member distributes with its record, the most urgent
	// first.
	Notes [][]byte
	// Since is when the state (liveness, incarnation or boot) or the info of the member last
	// changed, as observed by this process or by the daemon that sent it the record.
	Since time.Time
}

// Usable reports whether requests may be sent to the member, which holds for Alive and Suspect
// members.
func (m *Member) Usable() bool {
	return m.Liveness == Alive || m.Liveness == Suspect
}

// View is an immutable snapshot of the table. Members are sorted by host.
type View struct {
	Self    *Member
	Members []*Member
	// Missing is the number of hosts that belong to the fleet, as far as is known, and are not among the
	// members, because this process has not reached any daemon that knows the fleet since it started. It is
	// then 1 at least. Such a process may be cut off: what it may do as a share of the fleet's total is a
	// share of Known.
	Missing int
}

// Known returns the number of hosts that are known to belong to the fleet, with those that have died
// recently.
func (v *View) Known() int { return len(v.Members) + v.Missing }

// Find returns the member with the given host name, or nil if there is none.
func (v *View) Find(host string) *Member {
	lo, hi := 0, len(v.Members)
	for lo < hi {
		mid := (lo + hi) / 2
		if v.Members[mid].Host < host {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(v.Members) && v.Members[lo].Host == host {
		return v.Members[lo]
	}
	return nil
}

// Live returns the usable members, including the daemon itself.
func (v *View) Live() []*Member {
	live := make([]*Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Usable() {
			live = append(live, m)
		}
	}
	return live
}

// ReachesHalf reports whether at least half of the members that have not left, and of the missing ones,
// are usable. A daemon that is cut off from the others finds that it reaches fewer.
func (v *View) ReachesHalf() bool {
	usable, gone := 0, v.Missing
	for _, m := range v.Members {
		switch {
		case m.Usable():
			usable++
		case m.Liveness == Dead:
			gone++
		}
	}
	return usable >= gone
}
