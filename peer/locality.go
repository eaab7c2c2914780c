package peer

import (
	"net"
	"net/netip"
	"sync/atomic"
)

// Locality is where the other end of a session is, as far as bytes have a price.
type Locality uint32

// The places.
const (
	// UnknownLocality is that of a peer which no table lists yet.
	UnknownLocality Locality = iota
	// SameZone is the own availability zone.
	SameZone
	// OtherZone is any other one.
	OtherZone
)

// String returns the name used in metrics.
func (p Locality) String() string {
	switch p {
	case SameZone:
		return "same_zone"
	case OtherZone:
		return "other_zone"
	}
	return "unknown"
}

// Localities returns all places.
func Localities() []Locality { return []Locality{UnknownLocality, SameZone, OtherZone} }

// remote is the other end of a session. Its place is looked up once it is known, so that
// a stream costs an atomic load.
type remote struct {
	addr   netip.Addr
	lookup func(netip.Addr) Locality
	cached  atomic.Uint32
}

func newRemote(addr netip.Addr, lookup func(netip.Addr) Locality) *remote {
	return &remote{addr: addr.Unmap(), lookup: lookup}
}

// remoteOf returns the other end of a connection.
func remoteOf(conn net.Conn, lookup func(netip.Addr) Locality) *remote {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return newRemote(a.AddrPort().Addr(), lookup)
	}
	return newRemote(netip.Addr{}, lookup)
}

func (r *remote) locality() Locality {
	if p := Locality(r.cached.Load()); p != UnknownLocality || r.lookup == nil {
		return p
	}
	p := r.lookup(r.addr)
	r.cached.Store(uint32(p))
	return p
}
