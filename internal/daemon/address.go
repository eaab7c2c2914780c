package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/crocuscross/crocuscross/internal/netopt"
)

// peerAddr is the address that the other daemons are told.
func (d *Daemon) peerAddr() netip.AddrPort {
	if a, err := netip.ParseAddrPort(d.settings.Listen.AdvertisePeers); err == nil {
		return a
	}
	return addrOf(d.ln.peers)
}

// peerUserTimeout is how long another daemon's host may leave bytes unacknowledged. It
// is far above a round trip between regions, and below the time after which peer gives
// up a session whose pings are not answered.
const peerUserTimeout = 600 * time.Millisecond

// dialFunc connects a session to another daemon.
type dialFunc = func(context.Context, netip.AddrPort) (net.Conn, error)

// dialFrom returns how sessions to other daemons are connected: from the address
// that this one listens on for them. A host with several addresses would else
// be seen under one of the kernel's choice, which filters in between may not
// know.
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
