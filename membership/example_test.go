package membership_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/memberpb"
	"github.com/crocuscross/crocuscross/membership"
)

// tables exchanges full tables between the members of one process; separate processes do so over
// TCP.
type tables struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*membership.Membership
}

func (t *tables) Sync(ctx context.Context, addr netip.AddrPort, table *memberpb.Table) (*memberpb.Table, error) {
	t.mu.Lock()
	m := t.byAddr[addr]
	t.mu.Unlock()
	if m == nil {
		return nil, errors.Newf("no member at %s", addr)
	}
	return m.HandleSync(ctx, table), nil
}

// start returns a running member with its own UDP socket.
func (t *tables) start(ctx context.Context, host string, boot uint64) (*membership.Membership, netip.AddrPort) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	opts := membership.DefaultOptions()
	opts.Host, opts.Boot, opts.AvailabilityZone = host, boot, "boston"
	opts.PeerAddr = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	opts.Packets, opts.Sync = conn, t
	m, err := membership.New(opts)
	if err != nil {
		panic(err)
	}
	t.mu.Lock()
	t.byAddr[opts.PeerAddr] = m
	t.mu.Unlock()
	go func() { _ = m.Run(ctx) }()
	return m, opts.PeerAddr
}

// One daemon joins through the address of another and announces the backend server beside it.
// The other one receives both.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	fleet := &tables{byAddr: map[netip.AddrPort]*membership.Membership{}}
	first, contact := fleet.start(ctx, "host-1", 7)
	second, _ := fleet.start(ctx, "host-2", 8)
	second.SetLocalState([]membership.Announcement{{Service: "sign-feed", Slots: 10}}, false)
	_, _ = first.Join(ctx, nil)
	if _, err := second.Join(ctx, []membership.Contact{{Addr: contact}}); err != nil {
		panic(err)
	}
	for {
		changed := first.Watch()
		if m := first.View().Find("host-2"); m != nil && len(m.Announcements) > 0 {
			fmt.Println(m.Host, m.Liveness, m.Announcements[0].Service, m.Announcements[0].Slots)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			fmt.Println(ctx.Err())
			return
		}
	}
	// Output: host-2 alive sign-feed 10
}
