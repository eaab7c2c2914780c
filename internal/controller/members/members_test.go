package members

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/memberpb"
	"github.com/crocuscross/crocuscross/membership"
)

// silentNetwork is a network on which no packet arrives.
type silentNetwork struct{ closed chan struct{} }

func (s silentNetwork) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	<-s.closed
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (s silentNetwork) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) {
	return len(b), nil
}

func (s silentNetwork) Close() error { close(s.closed); return nil }

func (s silentNetwork) Sync(context.Context, netip.AddrPort, *memberpb.Table) (*memberpb.Table, error) {
	return nil, io.EOF
}

// Hosts restart one after another, so that some member changes in every tick. The work that
// follows each view took the CPU of a small host away from its calls. The board must get few
// views, the first immediately, and in the end the latest one.
func TestController_FrequentChangesMakeFewViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := silentNetwork{make(chan struct{})}
		o := membership.DefaultOptions()
		o.Host, o.Boot, o.PeerAddr = "host", 1, netip.MustParseAddrPort("10.0.0.1:1")
		o.Packets, o.Sync = network, network
		m, err := membership.New(o)
		must.NoError(t, err)
		_, err = m.Join(t.Context(), nil)
		must.NoError(t, err)
		c := &Controller{Board: &blackboard.Board{}, Membership: m, Now: time.Now}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = m.Run(ctx); done <- struct{}{} }()
		go func() { _ = c.publishView(ctx); done <- struct{}{} }()
		// Moves the test between two ticks.
		time.Sleep(10*minPublishInterval + 10*time.Millisecond)

		views := 0
		announce := func(slots int) {
			m.SetLocalState([]membership.Announcement{{Service: "signs", Slots: slots}}, false)
			_, changed := c.Board.Members.Watch()
			time.Sleep(minPublishInterval / 4)
			select {
			case <-changed:
				views++
			default:
			}
		}
		announce(1)
		must.Eq(t, 1, c.Board.Members.Load().Self.Announcements[0].Slots)
		for slots := 2; slots <= 40; slots++ {
			announce(slots)
		}
		must.LessEq(t, 12, views)
		time.Sleep(2 * minPublishInterval)
		must.Eq(t, 40, c.Board.Members.Load().Self.Announcements[0].Slots)
		cancel()
		<-done
		<-done
	})
}
