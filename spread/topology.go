package spread

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/crocuscross/crocuscross/membership"
)

// notRanked is the rank of a daemon that does not read the log.
const notRanked = -1

// defaultLinkMbps is the assumed bandwidth of a host that does not state it. It exceeds the
// bandwidth of any host that needs to state it.
const defaultLinkMbps = 10_000

// readerSeed is the seed of the rendezvous hash that ranks readers. The order of a push tree is
// seeded with the root's host instead.
const readerSeed = "reader"

// topology is derived from one membership view: the rank of this daemon among the readers, and the
// tree along which it pushes. Daemons with different views may disagree on the readers: an extra
// one costs bandwidth, and a missing one is compensated for by backup readers, handoffs and
// digests.
type topology struct {
	self netip.AddrPort
	// rank is the position among the readers of this daemon's availability zone, 0 first, or
	// notRanked.
	rank int
	// tree lists the other live daemons of this daemon's availability zone in the order in which
	// its push tree is laid out.
	tree []netip.AddrPort
	// deputies lists those of tree that are not readers.
	deputies []netip.AddrPort
	// zones lists the first daemons by rank of each other availability zone.
	zones [][]netip.AddrPort
}

// rankedMember is a member with its sort keys.
type rankedMember struct {
	// suspect is whether the member is suspect when ranking readers: one that is lost may stay suspect
	// for minutes, while nobody reads the log in its place. It is false in a push tree.
	suspect bool
	// link is the member's bandwidth in Mbit/s when ranking readers, where it takes precedence over
	// the hash. It is 0 in a push tree.
	link   float32
	hash   uint64
	member *membership.Member
}

// rankAsReader returns the sort keys of a member as a reader. Suspect members come last. Hosts with
// more bandwidth come first because a reader receives whole documents from the log: 200 kB occupy a
// link of 5 Mbit/s for 0.3 s, and one of 100 Mbit/s for 16 ms.
func rankAsReader(m *membership.Member) rankedMember {
	r := rankedMember{suspect: m.Liveness == membership.Suspect, link: m.LinkMbps, hash: membership.Rendezvous(m.Host, readerSeed), member: m}
	if r.link == 0 {
		r.link = defaultLinkMbps
	}
	return r
}

// newTopology ranks the usable members of a view.
func newTopology(v *membership.View, readers int) *topology {
	topo := &topology{self: v.Self.PeerAddr, rank: notRanked}
	keep := max(readers, maxHandoffTargets)
	zones := make(map[string]topMembers)
	var tree []rankedMember
	for _, m := range v.Members {
		if !m.Usable() {
			continue
		}
		zone := m.AvailabilityZone
		// A draining daemon is about to leave, so another one becomes the reader now.
		if !m.Draining {
			zones[zone] = zones[zone].insert(rankAsReader(m), keep)
		}
		if zone == v.Self.AvailabilityZone && m.Host != v.Self.Host {
			tree = append(tree, rankedMember{hash: membership.Rendezvous(m.Host, v.Self.Host), member: m})
		}
	}
	slices.SortFunc(tree, compareRanked)
	topo.tree = addrsOf(tree)
	for zone, members := range zones {
		if zone == v.Self.AvailabilityZone {
			topo.rank = rankOf(members, v.Self.Host, readers)
			topo.deputies = topo.withoutReaders(addrsOf(members[:min(readers, len(members))]))
			continue
		}
		topo.zones = append(topo.zones, addrsOf(members))
	}
	return topo
}

// withoutReaders returns the daemons of the tree other than the readers.
func (t *topology) withoutReaders(readers []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(t.tree), func(a netip.AddrPort) bool { return slices.Contains(readers, a) })
}

// CompareReaders orders members of one availability zone by their rank as readers of the log.
func CompareReaders(a, b *membership.Member) int {
	return compareRanked(rankAsReader(a), rankAsReader(b))
}

// ReaderRank returns the position of this daemon among the usable members of its availability zone
// in the order in which they become readers, from 0.
func ReaderRank(v *membership.View) int {
	rank := 0
	for _, m := range v.Members {
		if m.AvailabilityZone == v.Self.AvailabilityZone && m.Host != v.Self.Host && m.Usable() && CompareReaders(m, v.Self) < 0 {
			rank++
		}
	}
	return rank
}

// topMembers lists the highest-ranked members, in order of rank.
type topMembers []rankedMember

// insert adds r at its position and returns the list, truncated to n members.
func (t topMembers) insert(r rankedMember, n int) topMembers {
	i, _ := slices.BinarySearchFunc(t, r, compareRanked)
	if i == n {
		return t
	}
	t = slices.Insert(t, i, r)
	return t[:min(n, len(t))]
}

// rankOf returns the position of a host among the readers of its zone, or notRanked.
func rankOf(members topMembers, host string, readers int) int {
	for i, r := range members[:min(readers, len(members))] {
		if r.member.Host == host {
			return i
		}
	}
	return notRanked
}

// addrsOf returns the peer addresses of members in the same order.
func addrsOf(members []rankedMember) []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(members))
	for i, r := range members {
		addrs[i] = r.member.PeerAddr
	}
	return addrs
}

// compareRanked orders members by descending bandwidth, then by hash, then by host, and suspect ones
// last.
func compareRanked(a, b rankedMember) int {
	if a.suspect != b.suspect {
		if a.suspect {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.link, a.link), cmp.Compare(b.hash, a.hash), cmp.Compare(a.member.Host, b.member.Host))
}

// split divides targets into at most n parts whose lengths differ by at most one. The first daemon
// of each part relays the push to the rest of the part.
func split(targets []netip.AddrPort, n int) [][]netip.AddrPort {
	n = min(n, len(targets))
	parts := make([][]netip.AddrPort, 0, n)
	for i := range n {
		parts = append(parts, targets[i*len(targets)/n:(i+1)*len(targets)/n])
	}
	return parts
}

// encodeAddrs returns addresses in the encoding used by pushes.
func encodeAddrs(addrs []netip.AddrPort) [][]byte {
	if len(addrs) == 0 {
		return nil
	}
	out := make([][]byte, len(addrs))
	for i, a := range addrs {
		out[i] = encodeAddr(a)
	}
	return out
}

func encodeAddr(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary()
	return b
}

// decodeAddrs is the inverse of encodeAddrs. It skips addresses that cannot be decoded.
func decodeAddrs(list [][]byte) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(list))
	for _, b := range list {
		if a, ok := decodeAddr(b); ok {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

func decodeAddr(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		return netip.AddrPort{}, false
	}
	return a, true
}
