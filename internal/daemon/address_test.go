package daemon

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
)

func TestPeerAddr(t *testing.T) {
	s := settings.Default()
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0", Backend: "127.0.0.1:0"}
	ln, err := listen(s.Listen)
	must.NoError(t, err)
	defer ln.close()
	d := &Daemon{settings: &s, ln: ln}
	must.Eq(t, ln.peers.Addr().String(), d.peerAddr().String())
	s.Listen.AdvertisePeers = "10.9.2.3:7400"
	must.Eq(t, "10.9.2.3:7400", d.peerAddr().String())
}

// On a host with two addresses, the kernel would choose the first one as the source address, which
// the other daemon may not know.
func TestDialFromOwnAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	must.NoError(t, err)
	defer ln.Close()
	own := netip.MustParseAddr("127.0.0.3")
	conn, err := dialFrom(own)(context.Background(), addrOf(ln))
	must.NoError(t, err)
	defer conn.Close()
	accepted, err := ln.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.Eq(t, own, accepted.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
}
