package membership

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/memberpb"
)

// directSync exchanges tables by a function call.
type directSync struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*Membership
}

func (d *directSync) Sync(ctx context.Context, addr netip.AddrPort, table *memberpb.Table) (*memberpb.Table, error) {
	d.mu.Lock()
	m := d.byAddr[addr]
	d.mu.Unlock()
	if m == nil {
		return nil, errors.New("unreachable")
	}
	return m.HandleSync(ctx, table), nil
}

func (d *directSync) start(t *testing.T, i int) *Membership {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	must.NoError(t, err)
	opts := DefaultOptions()
	opts.Host, opts.Boot = fmt.Sprintf("host-%d", i), uint64(i+1)
	opts.PeerAddr = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	opts.Packets, opts.Sync = conn, d
	m, err := New(opts)
	must.NoError(t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byAddr[opts.PeerAddr] = m
	return m
}

// await waits until a view satisfies want. Only Watch wakes it.
func await(ctx context.Context, m *Membership, want func(*View) bool) error {
	for {
		changed := m.Watch()
		if want(m.View()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "view of %s", m.opts.Host)
		case <-changed:
		}
	}
}

// Three daemons run over real sockets. Each joins through the first, all see all members,
// packets carry the offsets, and one daemon leaves, which the others see. Run must return no
// error when its context ends.
func TestRunOverUDP(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := &directSync{byAddr: map[netip.AddrPort]*Membership{}}
	var members []*Membership
	var running tomb.Tomb
	received := make(chan uint64, 1)
	for i := range 3 {
		m := d.start(t, i)
		members = append(members, m)
		if i == 0 {
			m.OnOffset(func(host string, _ netip.AddrPort, offset uint64) {
				if host == "host-1" && offset == 42 {
					select {
					case received <- offset:
					default:
					}
				}
			})
		}
		running.Go(func() error { return m.Run(ctx) })
		_, err := m.Join(ctx, []Contact{{Addr: members[0].opts.PeerAddr}})
		must.NoError(t, err)
	}
	members[1].SetOffset(42)
	for _, m := range members {
		must.NoError(t, await(ctx, m, func(v *View) bool { return len(v.Live()) == 3 }))
	}
	must.Eq(t, 42, <-received)
	must.Eq(t, 42, members[0].Floor("host-1"))
	must.NoError(t, members[2].Leave(ctx))
	for _, m := range members[:2] {
		must.NoError(t, await(ctx, m, func(v *View) bool { return v.Find("host-2").Liveness == Left }))
	}
	cancel()
	must.NoError(t, running.Wait())
}

// Concurrent readers request the view while it is stale. None may get a view from before the
// change, or nil before the first view was built: a nil view caused a panic of the daemon.
func TestViewIsNeverOlderThanLastChange(t *testing.T) {
	f := newJoinedFleet(t, 64)
	m := f.nodes[0].Membership
	for offset := uint64(1); offset <= 500; offset++ {
		m.SetOffset(offset)
		views := make(chan *View, 4)
		for range cap(views) {
			go func() { views <- m.View() }()
		}
		for range cap(views) {
			v := <-views
			must.NotNil(t, v)
			must.Eq(t, offset, v.Self.Offset)
		}
	}
}
