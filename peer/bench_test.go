package peer

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/peerpb"
)

// countingConn counts the writes to a connection. Each write is a system call and, with
// TCP_NODELAY, usually a packet.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// writesPerCall is the number of writes of the sender for one call: the opening of the stream,
// one frame with all messages, and the closing of the stream. It would be six if the header and
// body of frames were written separately and the Head were sent apart from the first message.
const writesPerCall = 3

func BenchmarkPool_Call(b *testing.B) {
	p, addr, writes := startWithWriteCounter(b)
	b.ReportAllocs()
	for b.Loop() {
		must.NoError(b, callStatus(b.Context(), p, addr))
	}
	b.ReportMetric(float64(writes.Load())/float64(b.N), "writes/op")
}

func TestPool_CallWritesAreBounded(t *testing.T) {
	p, addr, writes := startWithWriteCounter(t)
	const calls = 100
	for range calls {
		must.NoError(t, callStatus(t.Context(), p, addr))
	}
	must.LessEq(t, calls*writesPerCall, int(writes.Load()))
}

// startWithWriteCounter returns a pool with an open session, the address of its server, and the
// number of writes by the pool.
func startWithWriteCounter(b testing.TB) (*Pool, netip.AddrPort, *atomic.Int64) {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	s := NewServer(DefaultServerOptions())
	s.Handle(peerpb.Kind_KIND_STATUS, HandlerFunc(func(_ context.Context, st *Stream) error {
		if err := st.Recv(&peerpb.StatusAsk{}); err != nil {
			return err
		}
		return st.Send(&peerpb.StatusAnswer{Host: "a"})
	}))
	go func() { _ = s.Serve(ln) }()
	b.Cleanup(func() { _ = s.Close() })
	opts := DefaultPoolOptions()
	writes := &atomic.Int64{}
	opts.Dial = func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		c, err := dialTCP(ctx, a)
		return countingConn{c, writes}, err
	}
	p := NewPool(opts)
	b.Cleanup(func() { _ = p.Close() })
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	must.NoError(b, callStatus(b.Context(), p, addr))
	writes.Store(0)
	return p, addr, writes
}

// BenchmarkPool_SessionMemory reports the memory of one idle session, heap and goroutine stacks
// of both ends together.
func BenchmarkPool_SessionMemory(b *testing.B) {
	const sessions = 200
	for b.Loop() {
		before := memoryInUse()
		var pools []*Pool
		addrs := make([]netip.AddrPort, 0, sessions)
		for range sessions {
			p, addr, _ := startWithWriteCounter(b)
			pools = append(pools, p)
			addrs = append(addrs, addr)
		}
		b.ReportMetric(float64(memoryInUse()-before)/sessions, "B/session")
		runtime.KeepAlive(addrs)
		for _, p := range pools {
			_ = p.Close()
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
