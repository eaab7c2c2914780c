package membership

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
)

const (
	// MaxPacketBytes bounds a datagram so that common network paths do not fragment it. The loss
	// of one fragment would lose the whole datagram.
	MaxPacketBytes = 1200
	// maxRecordBytes bounds the encoded record of one member so that it fits into a datagram
	// together with the packet header.
	maxRecordBytes = 1000

	packetVersion = 1

	maxNameBytes     = 128
	maxAnnouncements = 16
	maxNotes         = 16
	maxEndedServers  = 4
	maxSlots         = 1 << 20
	// maxLinkMbps bounds the link bandwidth that a host may announce: 1 Tbit/s.
	maxLinkMbps = 1_000_000
	// maxReplaced bounds the number of earlier processes that a host announces. A process that
	// was paused during more restarts than this considers itself the latest one until the other
	// process raises its incarnation above it.
	maxReplaced = 4
	// maxIncarnation is the highest incarnation that is accepted. It leaves room for a host to
	// refute any accepted record: a corrupt record with the highest possible number would
	// otherwise exclude the host forever.
	maxIncarnation = 1 << 62
	// maxContacts bounds the addresses that the answer to a rejected exchange contains.
	maxContacts = 8
)

// rejection is the reason why input from another daemon was rejected.
type rejection struct {
	reason RejectReason
	detail string
}

// Error returns the reason and the detail.
func (r *rejection) Error() string { return fmt.Sprintf("%s: %s", r.reason, r.detail) }

func invalid(format string, args ...any) *rejection {
	return &rejection{RejectInvalid, fmt.Sprintf(format, args...)}
}

// packet is a decoded and validated datagram.
type packet struct {
	*memberpb.Packet
	kind    PacketKind
	target  netip.AddrPort
	updates []record
}

// decodePacket decodes and validates a datagram. If any part is invalid, the whole datagram is
// rejected.
func decodePacket(b []byte) (*packet, *rejection) {
	if len(b) > MaxPacketBytes {
		return nil, &rejection{RejectLarge, "datagram exceeds the size limit"}
	}
	p := &packet{Packet: new(memberpb.Packet)}
	if err := proto.Unmarshal(b, p.Packet); err != nil {
		return nil, &rejection{RejectMalformed, err.Error()}
	}
	if p.GetVersion() != packetVersion {
		return nil, &rejection{RejectVersion, fmt.Sprintf("packet version %d", p.GetVersion())}
	}
	if rej := checkIdentity(p.GetHost(), p.GetBoot()); rej != nil {
		return nil, rej
	}
	if len(p.GetDigestZone()) > maxNameBytes {
		return nil, invalid("digest zone has %d bytes", len(p.GetDigestZone()))
	}
	if rej := p.decodeBody(); rej != nil {
		return nil, rej
	}
	var rej *rejection
	p.updates, rej = decodeMembers(p.GetUpdates())
	return p, rej
}

func (p *packet) decodeBody() *rejection {
	switch body := p.GetBody().(type) {
	case *memberpb.Packet_Ping:
		p.kind = PacketPing
	case *memberpb.Packet_PingRequest:
		p.kind = PacketPingRequest
		addr, rej := decodeAddr(body.PingRequest.GetTargetAddr())
		if rej != nil {
			return rej
		}
		p.target = addr
		return checkIdentity(body.PingRequest.GetTarget(), 1)
	case *memberpb.Packet_Ack:
		p.kind = PacketAck
	case *memberpb.Packet_Nack:
		p.kind = PacketNack
	default:
		p.kind = PacketGossip
	}
	return nil
}

func checkIdentity(host string, boot uint64) *rejection {
	if host == "" || len(host) > maxNameBytes {
		return invalid("host name has %d bytes", len(host))
	}
	if boot == 0 {
		return invalid("boot of host %s is 0", host)
	}
	return nil
}

func decodeMembers(list []*memberpb.Member) ([]record, *rejection) {
	records := make([]record, len(list))
	for i, m := range list {
		if rej := decodeMember(m, &records[i]); rej != nil {
			return nil, rej
		}
	}
	return records, nil
}

func decodeMember(m *memberpb.Member, r *record) *rejection {
	if rej := checkIdentity(m.GetHost(), m.GetBoot()); rej != nil {
		return rej
	}
	if n := m.GetIncarnation(); n == 0 || n > maxIncarnation {
		return invalid("incarnation %d of host %s is out of range", n, m.GetHost())
	}
	live := Liveness(m.GetLiveness())
	if live < Alive || live > Left {
		return invalid("unknown liveness %d of host %s", m.GetLiveness(), m.GetHost())
	}
	*r = record{
		host:   m.GetHost(),
		state:  state{incarnation: m.GetIncarnation(), boot: m.GetBoot(), liveness: live},
		offset: m.GetOffset(),
		floor:  m.GetFloor(),
		age:    time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
	if m.GetInfo() == nil {
		return nil
	}
	var rej *rejection
	r.info, rej = decodeInfo(m)
	return rej
}

func decodeInfo(m *memberpb.Member) (*info, *rejection) {
	p := m.GetInfo()
	if p.GetRevision() == 0 || p.GetRevision() > m.GetIncarnation() {
		return nil, invalid("info revision %d of host %s is out of range", p.GetRevision(), m.GetHost())
	}
	if len(p.GetAvailabilityZone()) > maxNameBytes || len(p.GetRegion()) > maxNameBytes {
		return nil, invalid("zone or region of host %s is too long", m.GetHost())
	}
	if len(p.GetReplaced()) > maxReplaced || len(p.GetAnnouncements()) > maxAnnouncements || len(p.GetNotes()) > maxNotes {
		return nil, invalid("too many replaced boots, announcements or notes of host %s", m.GetHost())
	}
	if l := p.GetLinkMbps(); !(l >= 0 && l <= maxLinkMbps) {
		return nil, invalid("link bandwidth %g Mbit/s of host %s is out of range", l, m.GetHost())
	}
	i := &info{
		revision:         p.GetRevision(),
		boot:             m.GetBoot(),
		availabilityZone: p.GetAvailabilityZone(),
		region:           p.GetRegion(),
		draining:         p.GetDraining(),
		replaced:         p.GetReplaced(),
		linkMbps:         p.GetLinkMbps(),
		notes:            p.GetNotes(),
	}
	for _, e := range p.GetEnded()[:min(len(p.GetEnded()), maxEndedServers)] {
		i.ended = append(i.ended, EndedServer{ID: e.GetId(), StartUnixMs: e.GetStartUnixMs()})
	}
	var rej *rejection
	if i.peerAddr, rej = decodeAddr(p.GetPeerAddr()); rej != nil {
		return nil, rej
	}
	if len(p.GetCallerAddr()) > 0 {
		if i.callerAddr, rej = decodeAddr(p.GetCallerAddr()); rej != nil {
			return nil, rej
		}
	}
	i.announcements, rej = decodeAnnouncements(p.GetAnnouncements())
	return i, rej
}

func decodeAnnouncements(list []*memberpb.Announcement) ([]Announcement, *rejection) {
	if len(list) == 0 {
		return nil, nil
	}
	announcements := make([]Announcement, len(list))
	for i, a := range list {
		if a.GetService() == "" || len(a.GetService()) > maxNameBytes || a.GetSlots() > maxSlots {
			return nil, invalid("invalid announcement of service %q", a.GetService())
		}
		announcements[i] = Announcement{
			Service:  a.GetService(),
			Slots:    int(a.GetSlots()),
			Draining: a.GetDraining(),
			Age:      time.Duration(a.GetAgeMs()) * time.Millisecond,
			Instance: a.GetLife(),
			Version:  a.GetVersion(),
		}
	}
	return announcements, nil
}

func decodeAddr(b []byte) (netip.AddrPort, *rejection) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() || a.Port() == 0 {
		return a, invalid("invalid address of %d bytes", len(b))
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

func encodeAddr(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	// MarshalBinary returns no error for any address.
	b, _ := a.MarshalBinary()
	return b
}

// encodeMember returns the message for an entry. It includes the info if full is set and the
// info belongs to the current process.
func encodeMember(e *entry, full bool) *memberpb.Member {
	m := &memberpb.Member{
		Host:        e.host,
		Boot:        e.boot,
		Incarnation: e.incarnation,
		Liveness:    memberpb.Liveness(e.liveness),
		Offset:      e.offset,
		Floor:       e.floor,
	}
	if full && e.complete() {
		m.Info = encodeInfo(e.info)
	}
	return m
}

func encodeInfo(i *info) *memberpb.Info {
	p := &memberpb.Info{
		Revision:         i.revision,
		AvailabilityZone: i.availabilityZone,
		Region:           i.region,
		PeerAddr:         encodeAddr(i.peerAddr),
		CallerAddr:       encodeAddr(i.callerAddr),
		Draining:         i.draining,
		Replaced:         i.replaced,
		LinkMbps:         i.linkMbps,
		Notes:            i.notes,
	}
	for _, e := range i.ended {
		p.Ended = append(p.Ended, &memberpb.EndedServer{Id: e.ID, StartUnixMs: e.StartUnixMs})
	}
	for _, a := range i.announcements {
		p.Announcements = append(p.Announcements, &memberpb.Announcement{
			Service:  a.Service,
			Slots:    uint32(a.Slots),
			Draining: a.Draining,
			AgeMs:    milliseconds(a.Age),
			Life:     a.Instance,
			Version:  a.Version,
		})
	}
	return p
}

// milliseconds returns a duration in milliseconds, limited to the range of uint32 (49 days).
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
