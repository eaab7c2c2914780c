package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// hopLatency is the time of a message between two nodes. Tests run in a synctest bubble, where time
// is virtual.
const hopLatency = 500 * time.Microsecond

// traffic counts the messages and bytes that the nodes send.
type traffic struct {
	pushes, digests, pulls, bytes atomic.Int64
}

// fleet is a set of Spreaders with one log, connected by function calls.
type fleet struct {
	t       testing.TB
	svc     *memlog.Service
	log     *memlog.Stream
	nodes   []*node
	byAddr  map[netip.AddrPort]*node
	traffic *traffic
	// noProbes disables the membership probes of await.
	noProbes bool
	// linkMbps is the bandwidth at which each node sends, 0 for unlimited.
	linkMbps int
	// handlers counts the pushes being served. awaitHandlers registers the wait for them, which is to
	// run after the last node has stopped: until then more of them start.
	handlers      sync.WaitGroup
	awaitHandlers sync.Once
}

// node is one daemon. It implements the Peers and the log of its Spreader.
type node struct {
	*Spreader
	eventlog.Log
	fleet  *fleet
	member *membership.Member
	stop   context.CancelFunc
	// logDone is canceled when the node loses access to the log.
	logDone       context.Context
	disconnectLog context.CancelFunc
	link          link
	dead          atomic.Bool
	inForce       atomic.Uint64
}

func newFleet(t testing.TB, size, zones int, adjust func(*Options)) *fleet {
	svc := memlog.New(memlog.DefaultOptions())
	f := &fleet{t: t, svc: svc, log: svc.Stream(eventlog.StreamConfig), byAddr: map[netip.AddrPort]*node{}, traffic: &traffic{}}
	rnd := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	for i := range size {
		n := &node{fleet: f, Log: f.log, member: &membership.Member{
			Host: fmt.Sprintf("host-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones), Liveness: membership.Alive,
			PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		}}
		n.logDone, n.disconnectLog = context.WithCancel(context.Background())
		opts := DefaultOptions()
		opts.Host, opts.AvailabilityZone, opts.Log, opts.Peers = n.member.Host, n.member.AvailabilityZone, n, n
		opts.OnState = func(st *fold.State) {
			if st.Offset < n.inForce.Load() {
				t.Errorf("%s: offset went back from %d to %d", n.member.Host, n.inForce.Load(), st.Offset)
			}
			n.inForce.Store(st.Offset)
		}
		opts.Rand = func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return rnd.Float64()
		}
		if adjust != nil {
			adjust(&opts)
		}
		n.Spreader = New(opts)
		f.nodes = append(f.nodes, n)
		f.byAddr[n.member.PeerAddr] = n
	}
	return f
}

// run starts all live nodes with the empty state.
func (f *fleet) run() {
	f.setViews()
	for _, n := range f.nodes {
		if !n.dead.Load() {
			n.run()
		}
	}
	synctest.Wait()
}

// run starts the node and stops it at the end of the test.
func (n *node) run() {
	n.InstallState(fold.Empty())
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	t := n.fleet.t.(*testing.T)
	// Cleanups run in reverse order.
	n.fleet.awaitHandlers.Do(func() { t.Cleanup(n.fleet.handlers.Wait) })
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// setViews gives each live node a view of all live nodes.
func (f *fleet) setViews() {
	var members []*membership.Member
	for _, n := range f.nodes {
		if !n.dead.Load() {
			members = append(members, n.member)
		}
	}
	for _, n := range f.nodes {
		if !n.dead.Load() {
			n.SetView(&membership.View{Self: n.member, Members: members})
		}
	}
}

// setViewsOfAll gives each live node a view of all nodes, also of those that are lost.
func (f *fleet) setViewsOfAll() {
	var members []*membership.Member
	for _, n := range f.nodes {
		members = append(members, n.member)
	}
	for _, n := range f.nodes {
		if !n.dead.Load() {
			n.SetView(&membership.View{Self: n.member, Members: members})
		}
	}
}

// probe makes each live node exchange offsets with one other random node.
func (f *fleet) probe() {
	for i, n := range f.nodes {
		m := f.nodes[(i+1+rand.IntN(len(f.nodes)-1))%len(f.nodes)]
		if n.dead.Load() || m.dead.Load() {
			continue
		}
		n.ObserveOffset(m.member.Host, m.member.PeerAddr, m.inForce.Load())
		m.ObserveOffset(n.member.Host, n.member.PeerAddr, n.inForce.Load())
	}
}

// await waits until all live nodes have reached an offset and returns how long that took. It runs a
// round of probes each second unless noProbes is set.
func (f *fleet) await(offset uint64, limit time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for tick := 1; f.countBehind(offset) > 0; tick++ {
		if time.Since(began) > limit {
			f.t.Fatalf("%d nodes have not reached offset %d after %v", f.countBehind(offset), offset, limit)
		}
		time.Sleep(time.Millisecond)
		if tick%1000 == 0 && !f.noProbes {
			f.probe()
		}
	}
	return time.Since(began)
}

func (f *fleet) countBehind(offset uint64) int {
	lacking := 0
	for _, n := range f.nodes {
		if !n.dead.Load() && n.inForce.Load() < offset {
			lacking++
		}
	}
	return lacking
}

// readers returns the readers of a zone by rank.
func (f *fleet) readers(zone string) []*node {
	list := make([]*node, 2)
	for _, n := range f.nodes {
		if topo := n.topology.Load(); n.member.AvailabilityZone == zone && topo.rank != notRanked {
			list[topo.rank] = n
		}
	}
	return list
}

func (f *fleet) append(b *configpb.Record) uint64 {
	f.t.Helper()
	data, err := proto.Marshal(b)
	must.NoError(f.t, err)
	offset, err := f.log.Append(context.Background(), data)
	must.NoError(f.t, err)
	return offset
}

// kill stops a node abruptly; the views still hold it.
func (n *node) kill() {
	n.dead.Store(true)
	n.stop()
}

// Read implements eventlog.Log. It fails once the node has lost access to the log.
func (n *node) Read(ctx context.Context, from eventlog.Offset, limit int, wait time.Duration) ([]eventlog.Record, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(n.logDone, cancel)()
	if n.logDone.Err() != nil {
		return nil, eventlog.ErrUnavailable
	}
	return n.Log.Read(ctx, from, limit, wait)
}

// Push implements Peers. It runs the receiver's handler as for a stream.
func (n *node) Push(ctx context.Context, addr netip.AddrPort, m *peerpb.Push) (*peerpb.PushAck, error) {
	n.fleet.traffic.count(m)
	acks := make(chan *peerpb.PushAck, 1)
	n.link.send(ctx, m, n.fleet.linkMbps)
	to, err := n.fleet.reach(ctx, addr)
	if err != nil {
		return nil, err
	}
	n.fleet.handlers.Go(func() {
		_ = to.servePush(m, func(ack *peerpb.PushAck) error { acks <- ack; return nil })
	})
	select {
	case ack := <-acks:
		time.Sleep(hopLatency)
		return ack, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Pull implements Peers.
func (n *node) Pull(ctx context.Context, addr netip.AddrPort, m *peerpb.Pull) (*peerpb.PullAnswer, error) {
	to, err := n.fleet.reach(ctx, addr)
	if err != nil {
		return nil, err
	}
	answer := to.servePull(m)
	n.fleet.traffic.pulls.Add(1)
	n.fleet.traffic.bytes.Add(int64(proto.Size(m) + proto.Size(answer)))
	to.link.send(ctx, answer, n.fleet.linkMbps)
	time.Sleep(hopLatency)
	return answer, ctx.Err()
}

// reach waits for the latency of a hop and returns the node at addr. A dead node with an odd last
// address byte refuses the connection; any other dead node does not answer, like a host without
// power.
func (f *fleet) reach(ctx context.Context, addr netip.AddrPort) (*node, error) {
	time.Sleep(hopLatency)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	to := f.byAddr[addr]
	if !to.dead.Load() {
		return to, nil
	}
	if addr.Addr().As4()[3]%2 == 1 {
		return nil, peer.ErrUnreachable
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (t *traffic) count(m *peerpb.Push) {
	t.bytes.Add(int64(proto.Size(m)))
	if len(m.GetRecords()) == 0 {
		t.digests.Add(1)
		return
	}
	t.pushes.Add(1)
}

// contractChange returns a record that replaces one contract.
func contractChange(id string, replaces uint64) *configpb.Record {
	return &configpb.Record{RuleVersion: fold.BundleRule, Bundle: &configpb.Bundle{
		PublishId: id, Author: "operator",
		Changes: []*configpb.Change{{Replaces: replaces, Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{
			Contract: &configpb.Contract{Customer: "garage", RatePerSecond: 10, MaxWaitMs: 500},
		}}}},
	}}
}
