package membership

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
)

// updatesField is the number of Packet.updates.
const updatesField protowire.Number = 10

// updateOverhead is the most that one update costs besides its data: the tag
// and the length.
const updateOverhead = 3

// handlePacket takes one datagram in.
func (m *Membership) handlePacket(b []byte, from netip.AddrPort) {
	pkt, rej := decodePacket(b)
	if rej != nil {
		m.opts.Meter.Rejected(rej.reason)
		m.log.Debug("membership: datagram refused", "from", from, "error", rej)
		return
	}
	m.opts.Meter.Received(pkt.kind, len(b))
	if pkt.GetBoot() == m.opts.Boot {
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	m.update(func(now time.Time) {
		m.relay(pkt, m.applyUpdates(pkt, now))
		m.hear(pkt)
		m.answer(pkt, from, now)
		m.compare(pkt, from, now)
	})
}

// applyUpdates takes the updates of a packet in and returns those that are news.
func (m *Membership) applyUpdates(pkt *packet, now time.Time) []*record {
	var news []*record
	for i := range pkt.updates {
		if m.apply(&pkt.updates[i], fromGossip, now) {
			news = append(news, &pkt.updates[i])
		}
	}
	return news
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

// send completes a packet to the named host with the sender's identity and, within the
// availability zone, the updates that fit. boot is the life that the receiver showed, 0
// if unknown.
func (m *Membership) send(to netip.AddrPort, host string, boot uint64, kind PacketKind, pkt *memberpb.Packet) {
	b, ok := m.head(host, boot, pkt)
	if !ok {
		return
	}
	if m.inZone(m.table.get(host)) {
		for _, data := range m.queue.take(MaxPacketBytes-len(b), updateOverhead, m.retransmitLimit(), m.encodeUpdate) {
			b = appendUpdate(b, data)
		}
	}
	m.post(to, host, kind, b)
}

// post puts a whole packet to the named host into the outbox.
func (m *Membership) post(to netip.AddrPort, host string, kind PacketKind, b []byte) {
	m.outbox = append(m.outbox, datagram{to, kind, !m.inZone(m.table.get(host)), b})
}

// head encodes a packet to the named host without the updates; ok is false where it
// cannot be.
func (m *Membership) head(host string, boot uint64, pkt *memberpb.Packet) (b []byte, ok bool) {
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
		// Only a name that is not UTF-8 can do this; it cannot have been received.
		m.log.Error("membership: packet cannot be encoded", "error", err)
		return nil, false
	}
	return m.appendReceiver(b, host, boot), true
}

// appendReceiver tells the receiver what is believed of itself if it should
// object: that it is not alive, or that another process runs in its place. A
// member declared dead while it was paused hears of it with the first answer.
func (m *Membership) appendReceiver(b []byte, host string, boot uint64) []byte {
	e := m.table.get(host)
	if e == nil {
		return b
	}
	otherLife := boot != 0 && boot != e.boot
	if e.liveness == Alive && !otherLife {
		return b
	}
	data, err := proto.Marshal(encodeMember(e, otherLife))
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
		m.log.Error("membership: update cannot be encoded", "host", u.host, "error", err)
	}
	return data
}

// retransmitLimit is how often each daemon passes one update on. With the
// default of 5 and 910 members it is 15; the chance that an update then misses
// a given member is about e^-15.
func (m *Membership) retransmitLimit() int {
	return m.opts.RetransmitMult * int(math.Ceil(math.Log10(float64(m.table.usable+1))))
}

// backlogUpdates is how many updates fit into one packet, roughly.
const backlogUpdates = 32

// gossip passes news on to a few neighbours: in each interval while there is any,
// at once for urgent news that this daemon has not passed on yet, and more often
// the more there is, up to once a tick. After a cut of a region of 300 members
// the refutations would else take as long as a suspicion lasts.
func (m *Membership) gossip(now time.Time) {
	if m.queue.len() == 0 || m.neighbours() == 0 {
		return
	}
	wait := m.opts.GossipInterval / time.Duration(1+m.queue.len()/backlogUpdates)
	if m.queue.urgent() {
		wait = 0
	}
	if now.Sub(m.lastGossip) < wait {
		return
	}
	m.lastGossip = now
	for _, e := range m.table.sample(m.rng, m.opts.FanOut, m.isNeighbour) {
		m.sendGossip(e.info.peerAddr, e.host, e.boot)
	}
}
