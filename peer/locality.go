package peer

import (
	"net"
	"net/netip"
	"sync/atomic"
)

// Locality classifies a peer by whether traffic to it crosses an availability zone, which
// determines the price of the traffic.
type Locality uint32

// The localities.
const (
	// UnknownLocality means that the peer is not in the membership table yet.
	UnknownLocality Locality = iota
	// SameZone means that the peer is in the local availability zone.
	SameZone
	// OtherZone means that the peer is in another availability zone.
	OtherZone
)

// String returns the label value used in metrics.
func (l Locality) String() string {
	switch l {
	case SameZone:
		return "same_zone"
	case OtherZone:
		return "other_zone"
	}
	return "unknown"
}

// Localities returns all localities.
func Localities() []Locality { return []Locality{UnknownLocality, SameZone, OtherZone} }

// remote is the other end of a session. It caches the locality once it is known, so that each
// message costs only an atomic load.
type remote struct {
	addr   netip.Addr
	lookup func(netip.Addr) Locality
	cached atomic.Uint32
}

func newRemote(addr netip.Addr, lookup func(netip.Addr) Locality) *remote {
	return &remote{addr: addr.Unmap(), lookup: lookup}
}

// remoteOf returns the other end of conn.
func remoteOf(conn net.Conn, lookup func(netip.Addr) Locality) *remote {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return newRemote(a.AddrPort().Addr(), lookup)
	}
	return newRemote(netip.Addr{}, lookup)
}

// locality returns the cached locality, or looks it up while it is unknown.
func (r *remote) locality() Locality {
	if p := Locality(r.cached.Load()); p != UnknownLocality || r.lookup == nil {
		return p
	}
	p := r.lookup(r.addr)
	r.cached.Store(uint32(p))
	return p
}
