// Package membership keeps the table of the fleet's daemons without a
// coordination service: each daemon probes others in turn, suspects those that
// stay silent, and passes changes on with its probes (the SWIM family).
package membership

import (
	"net/netip"
	"time"
)

// Liveness is what is believed of a member.
type Liveness uint8

// Suspect members have missed probes and may still refute; Dead ones did not;
// Left ones said goodbye.
const (
	Alive Liveness = iota + 1
	Suspect
	Dead
	Left
)

// String returns the name in lower case.
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

// Announcement tells of one backend server beside a daemon.
type Announcement struct {
	Service  string
	Slots    int
	Draining bool
	// Age is the time since the server first announced itself, when the
	// announcement was last changed.
	Age time.Duration
	// Instance tells this life of the server from others beside the same daemon; 0
	// where the server has no id.
	Instance uint32
	// Version is a digest of the version that the server announced, 0 where it announced
	// none.
	Version uint32
}

// Member is what is known of one daemon. Members are immutable.
type Member struct {
	Host string
	// Boot is random for each life of the process, so that a host replaced
	// under the same name is told from the one before.
	Boot             uint64
	Incarnation      uint64
	Liveness         Liveness
	AvailabilityZone string
	Region           string
	PeerAddr         netip.AddrPort
	CallerAddr       netip.AddrPort
	Draining         bool
	Announcements    []Announcement
	// Offset is the latest configuration offset that the member was heard to
	// have in force. It survives the member's death as the floor for its next
	// life.
	Offset uint64
	// Floor is the latest configuration offset heard of in the host's earlier
	// lives. See Membership.Floor for both taken together.
	Floor uint64
	// LinkMbps is the bandwidth of the host's link in Mbit/s, 0 where it is not
	// stated.
	LinkMbps float32
	// Notes are what the member tells all others beside its membership.
	Notes [][]byte
	// Since is when the liveness, boot or announcements last changed, as far as
	// this process or those that it learned the member from have seen.
	Since time.Time
}

// Usable reports whether work may be sent to the member.
func (m *Member) Usable() bool {
	return m.Liveness == Alive || m.Liveness == Suspect
}

// View is an immutable picture of the table. Members are sorted by host.
type View struct {
	Self    *Member
	Members []*Member
}

// Find returns the member of a host, nil if there is none.
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

// Live returns the members that work may be sent to, the daemon itself
// included.
func (v *View) Live() []*Member {
	live := make([]*Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Usable() {
			live = append(live, m)
		}
	}
	return live
}
