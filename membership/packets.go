package membership

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
)

// updatesField is the field number of Packet.updates.
const updatesField protowire.Number = 10

// updateOverhead is the maximum number of bytes that an update takes besides its data: tag and
// length.
const updateOverhead = 3

// handlePacket processes one datagram.
func (m *Membership) handlePacket(b []byte, from netip.AddrPort) {
	pkt, rej := decodePacket(b)
	if rej != nil {
		m.opts.Meter.Rejected(rej.reason)
		m.log.Debug("membership: datagram rejected", "from", from, "error", rej)
		return
	}
	m.opts.Meter.Received(pkt.kind, len(b))
	if pkt.GetBoot() == m.opts.Boot {
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	m.update(func(now time.Time) {
		m.standing.HeardAt = now
		m.forward(pkt, m.applyUpdates(pkt, now))
		m.recordOffset(pkt)
		m.answer(pkt, from, now)
		m.compare(pkt, from, now)
	})
}

// applyUpdates applies the updates of a packet and returns those to pass on.
func (m *Membership) applyUpdates(pkt *packet, now time.Time) []*record {
	var applied []*record
	for i := range pkt.updates {
		if m.apply(&pkt.updates[i], fromGossip, now) {
			applied = append(applied, &pkt.updates[i])
		}
	}
	return applied
}

func (m *Membership) answer(pkt *packet, from netip.AddrPort, now time.Time) {
	switch pkt.kind {
	case PacketPing:
		if pkt.GetPing().GetTarget() != m.self.host {
			m.opts.Meter.Rejected(RejectTarget)
			return
		}
		m.send(from, pkt.GetHost(), pkt.GetBoot(), PacketAck,
			&memberpb.Packet{Body: &memberpb.Packet_Ack{Ack: &memberpb.Ack{Seq: pkt.GetPing().GetSeq()}}})
	case PacketPingRequest:
		m.relayProbe(pkt, from, now)
	case PacketAck:
		m.ackProbe(pkt, pkt.GetAck().GetSeq())
	case PacketNack:
		m.nackProbe(pkt.GetNack().GetSeq())
	}
}

func (m *Membership) sendPing(to netip.AddrPort, host string, seq uint32) {
	m.send(to, host, 0, PacketPing,
		&memberpb.Packet{Body: &memberpb.Packet_Ping{Ping: &memberpb.Ping{Seq: seq, Target: host}}})
}

func (m *Membership) sendPingRequest(helper *entry, p *probe) {
	req := &memberpb.PingRequest{Seq: p.seq, Target: p.host, TargetAddr: encodeAddr(p.addr)}
	m.send(helper.info.peerAddr, helper.host, helper.boot, PacketPingRequest,
		&memberpb.Packet{Body: &memberpb.Packet_PingRequest{PingRequest: req}})
}

func (m *Membership) sendAck(to netip.AddrPort, host string, seq uint32) {
	m.send(to, host, 0, PacketAck, &memberpb.Packet{Body: &memberpb.Packet_Ack{Ack: &memberpb.Ack{Seq: seq}}})
}

func (m *Membership) sendNack(to netip.AddrPort, host string, seq uint32) {
	m.send(to, host, 0, PacketNack, &memberpb.Packet{Body: &memberpb.Packet_Nack{Nack: &memberpb.Nack{Seq: seq}}})
}

func (m *Membership) sendGossip(to netip.AddrPort, host string, boot uint64) {
	m.send(to, host, boot, PacketGossip, &memberpb.Packet{})
}

// send encodes a packet to the named host and puts it into the outbox. To a receiver in the local
// availability zone it adds the queued updates that fit. boot identifies the receiver's process,
// 0 if unknown.
func (m *Membership) send(to netip.AddrPort, host string, boot uint64, kind PacketKind, pkt *memberpb.Packet) {
	b, ok := m.encodePacket(host, boot, pkt)
	if !ok {
		return
	}
	if m.inZone(m.table.get(host)) {
		for _, data := range m.queue.take(MaxPacketBytes-len(b), updateOverhead, m.retransmitLimit(), m.encodeUpdate) {
			b = appendUpdate(b, data)
		}
	}
	m.enqueue(to, host, kind, b)
}

// enqueue puts an encoded packet to the named host into the outbox.
func (m *Membership) enqueue(to netip.AddrPort, host string, kind PacketKind, b []byte) {
	m.outbox = append(m.outbox, datagram{to, kind, !m.inZone(m.table.get(host)), b})
}

// encodePacket encodes a packet to the named host without the queued updates; ok is false if
// that fails.
func (m *Membership) encodePacket(host string, boot uint64, pkt *memberpb.Packet) (b []byte, ok bool) {
	pkt.Version = packetVersion
	pkt.Host = m.self.host
	pkt.Boot = m.self.boot
	pkt.Offset = m.self.offset
	if e := m.table.get(host); m.inZone(e) {
		pkt.Digest = m.table.digests.sum()
	} else {
		pkt.DigestZone, pkt.ZoneDigest = m.zoneToCompare(e)
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 0, MaxPacketBytes), pkt)
	if err != nil {
		// Only a name that is not valid UTF-8 causes this, and no such name is received.
		m.log.Error("membership: cannot encode packet", "error", err)
		return nil, false
	}
	return m.appendReceiverState(b, host, boot), true
}

// appendReceiverState appends the entry of the receiver if the receiver must react to it: if the
// table does not hold the receiver as alive, or holds another process under its host name. A
// member that was declared dead while it was paused thus receives that state with the first
// answer.
func (m *Membership) appendReceiverState(b []byte, host string, boot uint64) []byte {
	e := m.table.get(host)
	if e == nil {
		return b
	}
	otherBoot := boot != 0 && boot != e.boot
	if e.liveness == Alive && !otherBoot {
		return b
	}
	data, err := proto.Marshal(encodeMember(e, otherBoot))
	if err != nil {
		return b
	}
	return appendUpdate(b, data)
}

func appendUpdate(b, data []byte) []byte {
	b = protowire.AppendTag(b, updatesField, protowire.BytesType)
	return protowire.AppendBytes(b, data)
}

func (m *Membership) encodeUpdate(u *update) []byte {
	data, err := proto.Marshal(encodeMember(m.table.get(u.host), u.full))
	if err != nil {
		m.log.Error("membership: cannot encode update", "host", u.host, "error", err)
	}
	return data
}

// retransmitLimit returns how many times each daemon sends an update. With the default
// RetransmitMult of 5 and 910 members it is 15; the probability that an update then misses a
// given member is about e^-15.
func (m *Membership) retransmitLimit() int {
	return m.opts.RetransmitMult * int(math.Ceil(math.Log10(float64(m.table.usable+1))))
}

// updatesPerPacket is the approximate number of updates that fit into one packet.
const updatesPerPacket = 32

// gossip sends queued updates to a few members of the local availability zone: once per
// GossipInterval while any are queued, immediately if an urgent update has not been sent yet,
// and more often the longer the queue is, up to once per tick. Without the shorter interval, the
// refutations after a partition of a region with 300 members would take as long as
// SuspicionTimeout.
func (m *Membership) gossip(now time.Time) {
	if m.queue.len() == 0 || m.neighbors() == 0 {
		return
	}
	wait := m.opts.GossipInterval / time.Duration(1+m.queue.len()/updatesPerPacket)
	if m.queue.urgent() {
		wait = 0
	}
	if now.Sub(m.lastGossip) < wait {
		return
	}
	m.lastGossip = now
	for _, e := range m.table.sample(m.rng, m.opts.FanOut, m.isNeighbor) {
		m.sendGossip(e.info.peerAddr, e.host, e.boot)
	}
}
