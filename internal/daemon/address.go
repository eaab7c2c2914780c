package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/crocuscross/crocuscross/internal/netopt"
)

// peerAddr returns the address that is announced to the other daemons: the configured address, or
// that of the listener if none is configured.
func (d *Daemon) peerAddr() netip.AddrPort {
	if a, err := netip.ParseAddrPort(d.settings.Listen.AdvertisePeers); err == nil {
		return a
	}
	return addrOf(d.ln.peers)
}

// peerUserTimeout is how long the host of another daemon may leave sent bytes unacknowledged before
// the kernel closes the connection. It is far above a round trip between regions, and below the
// time after which package peer closes a session whose pings are not answered.
const peerUserTimeout = 600 * time.Millisecond

// dialFunc opens a connection to another daemon.
type dialFunc = func(context.Context, netip.AddrPort) (net.Conn, error)

// dialFrom returns a dialFunc that connects from ip, the address on which this daemon listens for
// other daemons. On a host with several addresses, the kernel would otherwise choose one, which
// packet filters between the hosts may not admit.
func dialFrom(ip netip.Addr) dialFunc {
	d := net.Dialer{
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)), Control: netopt.UserTimeout(peerUserTimeout),
	}
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		conn, err := d.DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		return netopt.DelayClose(conn), nil
	}
}
