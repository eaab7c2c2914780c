package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/peerpb"
)

// frameTypePing is yamux's frame of a ping.
const frameTypePing = 2

// pingCounter counts the pings that a session sends.
type pingCounter struct {
	net.Conn
	pings atomic.Int64
}

func (c *pingCounter) Write(p []byte) (int, error) {
	if len(p) == frameHeaderBytes && p[frameTypeAt] == frameTypePing {
		c.pings.Add(1)
	}
	return c.Conn.Write(p)
}

// A call takes a while, and its session carries answers all the time. Each ping woke both
// daemons four times, which was 7% of their processor on narrow hosts under load; bytes that
// come tell as much. Once nothing comes any more the session is pinged, so that one whose
// ends have lost each other is still given up.
func TestPool_SessionThatBringsBytesIsNotPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		server, err := yamux.Server(far, sessionConfig())
		must.NoError(t, err)
		conn := &pingCounter{Conn: near}
		opts := DefaultPoolOptions()
		opts.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return conn, nil }
		p := NewPool(opts)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = p.Run(ctx) }()

		st, err := p.Open(ctx, netip.MustParseAddrPort("10.0.0.1:1"), peerpb.Kind_KIND_STATUS)
		must.NoError(t, err)
		must.NoError(t, st.Send(&peerpb.Head{}))
		other, err := server.AcceptStream()
		must.NoError(t, err)
		for range 20 {
			_, err := other.Write([]byte{0})
			must.NoError(t, err)
			time.Sleep(watchInterval / 2)
		}
		must.Zero(t, conn.pings.Load())
		time.Sleep(4 * watchInterval)
		must.Positive(t, conn.pings.Load())

		cancel()
		must.NoError(t, p.Close())
		must.NoError(t, server.Close())
	})
}
