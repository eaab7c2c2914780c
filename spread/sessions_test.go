package spread

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// connCounters counts the connections of a pool and the bytes on them.
type connCounters struct {
	dials, bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	w *connCounters
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.w.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.w.bytes.Add(int64(n))
	return n, err
}

// connect serves handlers on the loopback interface and returns Peers that reach them.
func connect(tb testing.TB, push, pull peer.HandlerFunc) (*PoolPeers, netip.AddrPort, *connCounters) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tb, err)
	srv := peer.NewServer(peer.DefaultServerOptions())
	srv.Handle(peerpb.Kind_KIND_PUSH, push)
	srv.Handle(peerpb.Kind_KIND_PULL, pull)
	go func() { _ = srv.Serve(ln) }()
	w := &connCounters{}
	opts := peer.DefaultPoolOptions()
	opts.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		w.dials.Add(1)
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		return countedConn{c, w}, err
	}
	pool := peer.NewPool(opts)
	tb.Cleanup(func() { _ = pool.Close(); _ = srv.Close() })
	return NewPoolPeers(pool), ln.Addr().(*net.TCPAddr).AddrPort(), w
}

// Records and whole states must be transferred between daemons over real sessions.
func TestPullOverSessions(t *testing.T) {
	for _, wholeState := range []bool{false, true} {
		ahead, _ := newCountingSpreader(t)
		late, _ := newCountingSpreader(t)
		_, states := recordsAndStates(t, 3)
		ahead.InstallState(states[1])
		push(t, ahead, 1, states[1].Chain, "1")
		push(t, ahead, 2, states[2].Chain, "2")
		late.InstallState(states[1])
		if wholeState {
			ahead.history.ring.reset(3, states[3].Chain, nil)
		}
		peers, addr, _ := connect(t, ahead.HandlePush, ahead.HandlePull)
		late.opts.Peers = peers
		_ = late.pullUntil(late.ctx, addr, 3)
		must.Eq(t, states[3].Chain, late.State().Chain)
	}
}

// A session stops responding, and the exchange on it times out. The next exchange must use a new
// connection.
func TestTimedOutSessionIsDropped(t *testing.T) {
	peers, addr, w := connect(t, func(ctx context.Context, _ *peer.Stream) error { <-ctx.Done(); return nil }, nil)
	for i := range int64(2) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := peers.Push(ctx, addr, &peerpb.Push{})
		cancel()
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, i+1, w.dials.Load())
	}
}

// BenchmarkPush measures one push to one daemon over an open session. wire-B/op is the number of
// bytes that the connection carries both ways, without TCP headers.
func BenchmarkPush(b *testing.B) {
	for _, size := range []int{0, 200, 2_000, 20_000} {
		b.Run(fmt.Sprintf("record=%d", size), func(b *testing.B) {
			s := New(DefaultOptions())
			s.InstallState(fold.Empty())
			peers, addr, w := connect(b, s.HandlePush, s.HandlePull)
			m := &peerpb.Push{Root: "host-1", Source: encodeAddr(addr)}
			if size > 0 {
				m.BaseChain = make([]byte, len(fold.Chain{}))
				m.Records = []*configpb.SequencedRecord{{Offset: 1, Data: make([]byte, size)}}
			}
			_, err := peers.Push(b.Context(), addr, m)
			must.NoError(b, err)
			w.bytes.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = peers.Push(b.Context(), addr, m)
			}
			b.ReportMetric(float64(w.bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkNewTopology ranks the members of a fleet of the largest supported size.
func BenchmarkNewTopology(b *testing.B) {
	var members []*membership.Member
	for i := range 910 {
		members = append(members, &membership.Member{
			Host: fmt.Sprintf("host-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%8), Liveness: membership.Alive,
		})
	}
	v := &membership.View{Self: members[0], Members: members}
	b.ReportAllocs()
	for b.Loop() {
		newTopology(v, 2)
	}
}
