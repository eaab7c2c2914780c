package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
)

// goodPacket returns a valid ping that carries one full update.
func goodPacket(t testing.TB) []byte {
	f := newFleet(t, 1)
	nd := f.nodes[0]
	nd.SetLocalState([]Announcement{{Service: "sign-feed", Slots: 10, Age: time.Minute}}, false)
	nd.update(nd.announce)
	nd.update(func(time.Time) {
		nd.sendPing(nd.addr, "host-0001", 7)
		must.Len(t, 1, nd.outbox)
	})
	return nd.sent
}

// A daemon's own record must decode to the same state and info, and must fit into a datagram
// regardless of the announcements.
func TestRecordRoundTrip(t *testing.T) {
	f := newFleet(t, 1)
	nd := f.nodes[0]
	var list []Announcement
	for range 3 * maxAnnouncements {
		list = append(list, Announcement{Service: string(make([]byte, maxNameBytes)), Slots: 1, Age: time.Second})
	}
	nd.SetLocalState(list, true)
	must.SliceNotEmpty(t, nd.self.info.announcements)
	m := encodeMember(nd.self, true)
	must.LessEq(t, maxRecordBytes, proto.Size(m))
	var r record
	must.Nil(t, decodeMember(m, &r))
	must.Eq(t, nd.self.info, r.info)
	must.Eq(t, nd.self.state, r.state)
}

// No accepted field may break the table: a host without a name, a boot of 0, an incarnation that
// cannot be exceeded, or an address to which nothing can be sent.
func TestInvalidRecords(t *testing.T) {
	good := func() *memberpb.Member { return encodeMember(newFleet(t, 1).nodes[0].self, true) }
	var r record
	must.Nil(t, decodeMember(good(), &r))
	for name, corrupt := range map[string]func(m *memberpb.Member){
		"no host":         func(m *memberpb.Member) { m.Host = "" },
		"long host":       func(m *memberpb.Member) { m.Host = string(make([]byte, maxNameBytes+1)) },
		"no boot":         func(m *memberpb.Member) { m.Boot = 0 },
		"no incarnation":  func(m *memberpb.Member) { m.Incarnation = 0 },
		"top incarnation": func(m *memberpb.Member) { m.Incarnation = 1<<64 - 1 },
		"no liveness":     func(m *memberpb.Member) { m.Liveness = 0 },
		"new liveness":    func(m *memberpb.Member) { m.Liveness = 9 },
		"no revision":     func(m *memberpb.Member) { m.Info.Revision = 0 },
		"later revision":  func(m *memberpb.Member) { m.Info.Revision = m.Incarnation + 1 },
		"no address":      func(m *memberpb.Member) { m.Info.PeerAddr = nil },
		"short address":   func(m *memberpb.Member) { m.Info.PeerAddr = []byte{1, 2, 3} },
		"port 0":          func(m *memberpb.Member) { m.Info.PeerAddr = []byte{10, 0, 0, 1, 0, 0} },
		"many replaced":   func(m *memberpb.Member) { m.Info.Replaced = make([]uint64, maxReplaced+1) },
		"no service":      func(m *memberpb.Member) { m.Info.Announcements = []*memberpb.Announcement{{}} },
		"many slots": func(m *memberpb.Member) {
			m.Info.Announcements = []*memberpb.Announcement{{Service: "s", Slots: maxSlots + 1}}
		},
	} {
		m := good()
		corrupt(m)
		rej := decodeMember(m, &r)
		must.NotNil(t, rej, must.Sprint(name))
		must.Eq(t, RejectInvalid, rej.reason, must.Sprint(name))
	}
}

// The table is bounded, so that a flood of invented hosts cannot exhaust the daemon's memory.
// Known members must still be updated when it is full.
func TestTableIsBounded(t *testing.T) {
	f := newJoinedFleet(t, 2)
	nd := f.nodes[0]
	nd.table.limit = 10
	for i := range 100 {
		nd.apply(&record{host: string(rune('a' + i)), state: state{incarnation: 1, boot: 1, liveness: Alive}}, fromGossip, f.now)
	}
	must.Len(t, 10, nd.table.order)
	must.Eq(t, 92, f.rejected[RejectFull])
	f.nodes[1].SetLocalState(nil, true)
	f.run(2*time.Second, func() bool { return nd.View().Find(f.nodes[1].self.host).Draining })
}

// FuzzHandlePacket passes arbitrary datagrams to a daemon. None may stop it or make its counts
// inconsistent, and all accepted data must encode to a valid message again.
func FuzzHandlePacket(f *testing.F) {
	good := goodPacket(f)
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{})
	f.Add(make([]byte, MaxPacketBytes+1))
	for _, body := range []*memberpb.Packet{
		{Body: &memberpb.Packet_PingRequest{PingRequest: &memberpb.PingRequest{
			Seq: 1, Target: "host-0001", TargetAddr: []byte{10, 0, 0, 1, 88, 27},
		}}},
		{Body: &memberpb.Packet_Ack{Ack: &memberpb.Ack{Seq: 1}}},
		{Body: &memberpb.Packet_Nack{Nack: &memberpb.Nack{Seq: 1}}},
		{Updates: []*memberpb.Member{{Host: "host-0000", Boot: 99, Incarnation: 3, Liveness: memberpb.Liveness_LIVENESS_DEAD}}},
	} {
		body.Version, body.Host, body.Boot = packetVersion, "host-0001", 2
		b, err := proto.Marshal(body)
		must.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		fl := newJoinedFleet(t, 2)
		nd := fl.nodes[0]
		nd.handlePacket(b, fl.nodes[1].addr)
		must.Eq(t, fl.nodes[0].self, nd.table.get("host-0000"))
		nd.table.checkCounts(t)
		fl.step()
		for _, e := range nd.table.order {
			var r record
			if e.incarnation < maxIncarnation {
				must.Nil(t, decodeMember(encodeMember(e, true), &r))
			}
		}
	})
}
