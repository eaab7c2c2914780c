package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
)

// fleet runs many Memberships on one goroutine with a virtual clock and an in-memory network. A
// datagram arrives within the step in which it was sent.
type fleet struct {
	t        testing.TB
	now      time.Time
	nodes    []*node
	byAddr   map[netip.AddrPort]*node
	inFlight []inFlight
	// partitioned reports which packets and exchanges are lost.
	partitioned func(from, to *node) bool
	// syncFails reports which exchanges fail although packets arrive.
	syncFails func(a, b *node) bool

	packets, bytes, syncs, syncBytes int
	// crossBytes and crossSyncBytes are the parts of bytes and syncBytes that go from one
	// availability zone to another.
	crossBytes, crossSyncBytes int
	// zones is the number of availability zones of the fleet.
	zones    int
	rejected map[RejectReason]int
}

type inFlight struct {
	from, to *node
	data     []byte
}

// node is one daemon with its network endpoint.
type node struct {
	*Membership
	f               *fleet
	index           int
	addr            netip.AddrPort
	down            bool
	paused          bool
	err             error
	pendingContacts []Contact
	joinDue         time.Time
	joinDelay       time.Duration
	// sent is the latest datagram.
	sent []byte
	// fullAnswers counts the full answers sent.
	fullAnswers int
}

const (
	testZones   = 4
	testRegions = 2
)

// newFleet returns n daemons with empty tables.
func newFleet(t testing.TB, n int) *fleet { return newFleetIn(t, n, testZones) }

// newFleetIn is newFleet with a given number of availability zones.
func newFleetIn(t testing.TB, n, zones int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), byAddr: map[netip.AddrPort]*node{}, rejected: map[RejectReason]int{}, zones: zones}
	for i := range n {
		f.start(i, i, uint64(i+1))
	}
	return f
}

// newJoinedFleet returns n daemons with complete tables.
func newJoinedFleet(t testing.TB, n int) *fleet { return newFleet(t, n).joined() }

// joined completes the tables of all daemons.
func (f *fleet) joined() *fleet {
	for _, nd := range f.nodes {
		nd.update(nd.announce)
	}
	for _, nd := range f.nodes {
		for _, other := range f.nodes {
			e := other.self
			nd.apply(&record{host: e.host, state: e.state, info: e.info}, fromJoin, f.now)
		}
		nd.queue, nd.crossZoneQueue = newQueue(), newQueue()
		nd.sync.settle = time.Time{}
		nd.lastChange = f.now.Add(-time.Minute)
		nd.announcedAt, nd.reannounced = f.now.Add(-time.Minute), true
		nd.changed = false
	}
	return f
}

// start starts or restarts the daemon of host i at the address with the index addr.
func (f *fleet) start(i, addr int, boot uint64) *node {
	ip := netip.AddrFrom4([4]byte{10, 0, byte(addr >> 8), byte(addr)})
	nd := &node{f: f, index: i, addr: netip.AddrPortFrom(ip, 7000)}
	opts := DefaultOptions()
	opts.Host = fmt.Sprintf("host-%04d", i)
	opts.Boot = boot
	opts.AvailabilityZone = fmt.Sprintf("zone-%d", i%f.zones)
	opts.Region = fmt.Sprintf("region-%d", i%testRegions)
	opts.PeerAddr, opts.CallerAddr = nd.addr, netip.AddrPortFrom(nd.addr.Addr(), 8000)
	opts.Packets, opts.Sync, opts.Meter = nd, nd, nd
	opts.Now = func() time.Time { return f.now }
	m, err := New(opts)
	must.NoError(f.t, err)
	m.rng = rand.New(rand.NewPCG(boot, uint64(i)))
	m.sleep = func(context.Context, time.Duration) error { return nil }
	nd.Membership = m
	f.byAddr[nd.addr] = nd
	if i < len(f.nodes) {
		f.nodes[i].down = true
		f.nodes[i] = nd
	} else {
		f.nodes = append(f.nodes, nd)
	}
	return nd
}

// join does what Join does, with the delays on the virtual clock. It returns the number of
// successful exchanges of the first attempt.
func (nd *node) join(contacts ...int) int {
	for _, c := range contacts {
		to := nd.f.nodes[c]
		nd.pendingContacts = append(nd.pendingContacts, Contact{to.addr, to.opts.AvailabilityZone})
	}
	nd.joinDelay = joinBaseDelay
	return nd.tryJoin()
}

func (nd *node) tryJoin() int {
	joined, busy := nd.joinOnce(context.Background(), nd.rememberContacts(nd.pendingContacts))
	if !busy {
		nd.update(nd.announce)
	}
	if joined > 0 {
		nd.pendingContacts = nil
	}
	nd.joinDue = nd.f.now.Add(nd.randomWait(nd.joinDelay))
	nd.joinDelay = min(2*nd.joinDelay, joinMaxDelay)
	return joined
}

// step advances the clock by one tick.
func (f *fleet) step() {
	f.now = f.now.Add(tickInterval)
	for _, nd := range f.nodes {
		if nd.down || nd.paused || nd.err != nil {
			continue
		}
		if len(nd.pendingContacts) > 0 && !f.now.Before(nd.joinDue) {
			nd.tryJoin()
		}
		nd.err = nd.tick()
		select {
		case target := <-nd.syncWanted:
			nd.runSync(context.Background(), target)
		default:
		}
	}
	f.deliver()
}

func (f *fleet) deliver() {
	var kept []inFlight
	for len(f.inFlight) > 0 {
		p := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		switch {
		case p.to.paused:
			kept = append(kept, p)
		case !p.to.down && p.to.err == nil:
			p.to.handlePacket(p.data, p.from.addr)
		}
	}
	f.inFlight = kept
}

// run steps until done returns true and returns the time taken. It fails the test after the
// limit.
func (f *fleet) run(limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !done() {
		if f.now.Sub(start) >= limit {
			f.t.Fatalf("condition not met within %v", limit)
		}
		f.step()
	}
	return f.now.Sub(start)
}

// runFor steps for a duration; check may be nil.
func (f *fleet) runFor(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		if check != nil {
			check()
		}
	}
}

// agree reports whether all running daemons have the same table with n usable members and no
// suspects.
func (f *fleet) agree(n int) bool {
	var sum *uint64
	for _, nd := range f.nodes {
		if nd.down || nd.err != nil {
			continue
		}
		s := nd.table.digests.sum()
		if nd.table.usable != n || nd.table.suspects > 0 || (sum != nil && *sum != s) {
			return false
		}
		sum = &s
	}
	return true
}

// count returns the number of other members that a daemon holds in a state.
func (nd *node) count(l Liveness) int {
	n := 0
	for _, e := range nd.table.order {
		n += count(e.liveness == l && e != nd.self)
	}
	return n
}

// crossesZone reports whether another daemon is in another availability zone.
func (nd *node) crossesZone(to *node) bool {
	return to != nil && nd.index%nd.f.zones != to.index%nd.f.zones
}

func (nd *node) unreachable(to *node) bool {
	return to == nil || to.down || (nd.f.partitioned != nil && nd.f.partitioned(nd, to))
}

// WriteToUDPAddrPort implements PacketConn.
func (nd *node) WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error) {
	must.LessEq(nd.f.t, MaxPacketBytes, len(b))
	nd.sent = b
	nd.f.packets++
	nd.f.bytes += len(b)
	to := nd.f.byAddr[addr]
	if nd.crossesZone(to) {
		nd.f.crossBytes += len(b)
	}
	if !nd.unreachable(to) {
		nd.f.inFlight = append(nd.f.inFlight, inFlight{nd, to, b})
	}
	return len(b), nil
}

// ReadFromUDPAddrPort implements PacketConn.
func (nd *node) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

// Close implements PacketConn.
func (nd *node) Close() error { return nil }

// Sync implements Syncer. It encodes both messages as on the wire.
func (nd *node) Sync(ctx context.Context, addr netip.AddrPort, table *memberpb.Table) (*memberpb.Table, error) {
	to := nd.f.byAddr[addr]
	if nd.unreachable(to) || to.unreachable(nd) || to.paused || to.err != nil || nd.f.syncFails != nil && nd.f.syncFails(nd, to) {
		return nil, errors.New("unreachable")
	}
	nd.f.syncs++
	before := nd.f.syncBytes
	answer := nd.f.recode(to.HandleSync(ctx, nd.f.recode(table)))
	if nd.crossesZone(to) {
		nd.f.crossSyncBytes += nd.f.syncBytes - before
	}
	return answer, nil
}

func (f *fleet) recode(table *memberpb.Table) *memberpb.Table {
	b, err := proto.Marshal(table)
	must.NoError(f.t, err)
	f.syncBytes += len(b)
	decoded := new(memberpb.Table)
	must.NoError(f.t, proto.Unmarshal(b, decoded))
	return decoded
}

func (nd *node) Sent(PacketKind, bool, int) {}
func (nd *node) Received(PacketKind, int)   {}
func (nd *node) Rejected(r RejectReason)    { nd.f.rejected[r]++ }
func (nd *node) Probed(bool)                {}
func (nd *node) Paused(time.Duration)       {}
func (nd *node) Synced(_, out int)          { nd.fullAnswers += count(out >= fullSyncMembers) }
