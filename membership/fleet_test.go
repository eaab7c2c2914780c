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

// fleet runs many Memberships on one thread, one virtual clock and a network in
// memory. A datagram arrives within the step in which it was sent.
type fleet struct {
	t      testing.TB
	now    time.Time
	nodes  []*node
	byAddr map[netip.AddrPort]*node
	flying []flying
	// cut tells which packets and exchanges are lost.
	cut func(from, to *node) bool
	// noSync tells which exchanges alone are lost.
	noSync func(a, b *node) bool

	packets, bytes, syncs, syncBytes int
	// crossBytes is the part of bytes, and crossSyncBytes of syncBytes, that goes from
	// one availability zone to another.
	crossBytes, crossSyncBytes int
	// zones is how many availability zones the daemons are spread over.
	zones    int
	rejected map[RejectReason]int
}

type flying struct {
	from, to *node
	data     []byte
}

// node is one daemon with its ends of the network.
type node struct {
	*Membership
	f         *fleet
	index     int
	addr      netip.AddrPort
	down      bool
	paused    bool
	err       error
	joinBy    []Contact
	joinDue   time.Time
	joinDelay time.Duration
	// sent is the latest datagram.
	sent []byte
	// fullAnswers counts the tables handed out.
	fullAnswers int
}

const (
	testZones   = 4
	testRegions = 2
)

// newFleet returns n daemons that do not know of each other.
func newFleet(t testing.TB, n int) *fleet { return newFleetIn(t, n, testZones) }

// newFleetIn is newFleet with the daemons spread over a number of availability zones.
func newFleetIn(t testing.TB, n, zones int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), byAddr: map[netip.AddrPort]*node{}, rejected: map[RejectReason]int{}, zones: zones}
	for i := range n {
		f.start(i, i, uint64(i+1))
	}
	return f
}

// newJoinedFleet returns n daemons whose tables are complete.
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
		nd.queue, nd.far = newQueue(), newQueue()
		nd.sync.settle = time.Time{}
		nd.lastNews = f.now.Add(-time.Minute)
		nd.announcedAt, nd.toldAgain = f.now.Add(-time.Minute), true
		nd.changed = false
	}
	return f
}

// start starts or restarts the daemon of host i at an address.
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

// join does what Join does, with the waits on the virtual clock, and returns the
// exchanges of the first attempt.
func (nd *node) join(contacts ...int) int {
	for _, c := range contacts {
		to := nd.f.nodes[c]
		nd.joinBy = append(nd.joinBy, Contact{to.addr, to.opts.AvailabilityZone})
	}
	nd.joinDelay = joinBaseDelay
	return nd.tryJoin()
}

func (nd *node) tryJoin() int {
	joined, busy := nd.joinOnce(context.Background(), nd.remember(nd.joinBy))
	if !busy {
		nd.update(nd.announce)
	}
	if joined > 0 {
		nd.joinBy = nil
	}
	nd.joinDue = nd.f.now.Add(nd.randomWait(nd.joinDelay))
	nd.joinDelay = min(2*nd.joinDelay, joinMaxDelay)
	return joined
}

// step moves the clock on by one tick.
func (f *fleet) step() {
	f.now = f.now.Add(tickInterval)
	for _, nd := range f.nodes {
		if nd.down || nd.paused || nd.err != nil {
			continue
		}
		if len(nd.joinBy) > 0 && !f.now.Before(nd.joinDue) {
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
	var kept []flying
	for len(f.flying) > 0 {
		p := f.flying[0]
		f.flying = f.flying[1:]
		switch {
		case p.to.paused:
			kept = append(kept, p)
		case !p.to.down && p.to.err == nil:
			p.to.handlePacket(p.data, p.from.addr)
		}
	}
	f.flying = kept
}

// run steps until done holds, and fails the test where it does not within the
// time. It returns the time taken.
func (f *fleet) run(limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !done() {
		if f.now.Sub(start) >= limit {
			f.t.Fatalf("not reached within %v", limit)
		}
		f.step()
	}
	return f.now.Sub(start)
}

// runFor steps for a time; check may be nil.
func (f *fleet) runFor(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		if check != nil {
			check()
		}
	}
}

// agree reports whether all that run hold the same table with n usable members.
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

// count returns how many of the others a daemon believes to be in a state.
func (nd *node) count(l Liveness) int {
	n := 0
	for _, e := range nd.table.order {
		n += count(e.liveness == l && e != nd.self)
	}
	return n
}

// crosses reports whether another daemon is in another availability zone.
func (nd *node) crosses(to *node) bool {
	return to != nil && nd.index%nd.f.zones != to.index%nd.f.zones
}

func (nd *node) lost(to *node) bool {
	return to == nil || to.down || (nd.f.cut != nil && nd.f.cut(nd, to))
}

// WriteToUDPAddrPort is part of PacketConn.
func (nd *node) WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error) {
	must.LessEq(nd.f.t, MaxPacketBytes, len(b))
	nd.sent = b
	nd.f.packets++
	nd.f.bytes += len(b)
	to := nd.f.byAddr[addr]
	if nd.crosses(to) {
		nd.f.crossBytes += len(b)
	}
	if !nd.lost(to) {
		nd.f.flying = append(nd.f.flying, flying{nd, to, b})
	}
	return len(b), nil
}

// ReadFromUDPAddrPort is part of PacketConn.
func (nd *node) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

// Close is part of PacketConn.
func (nd *node) Close() error { return nil }

// Sync carries an exchange to another daemon, encoded as on the wire.
func (nd *node) Sync(ctx context.Context, addr netip.AddrPort, table *memberpb.Table) (*memberpb.Table, error) {
	to := nd.f.byAddr[addr]
	if nd.lost(to) || to.lost(nd) || to.paused || to.err != nil || nd.f.noSync != nil && nd.f.noSync(nd, to) {
		return nil, errors.New("unreachable")
	}
	nd.f.syncs++
	before := nd.f.syncBytes
	answer := nd.f.recode(to.HandleSync(ctx, nd.f.recode(table)))
	if nd.crosses(to) {
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
