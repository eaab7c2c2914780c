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

// silence is a network on which nothing comes.
type silence struct{ closed chan struct{} }

func (s silence) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	<-s.closed
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (s silence) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) { return len(b), nil }

func (s silence) Close() error { close(s.closed); return nil }

func (s silence) Sync(context.Context, netip.AddrPort, *memberpb.Table) (*memberpb.Table, error) {
	return nil, io.EOF
}

// Hosts restart in turn, so that there is news of some member in every tick. What follows
// each view took a narrow host's processor from its calls. The board gets few views, the
// first at once and the last whatever comes after it.
func TestController_NewsInEveryTickMakesFewViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := silence{make(chan struct{})}
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
		// Between two ticks.
		time.Sleep(10*publishGap + 10*time.Millisecond)

		views := 0
		announce := func(slots int) {
			m.SetLocalState([]membership.Announcement{{Service: "signs", Slots: slots}}, false)
			_, changed := c.Board.Members.Watch()
			time.Sleep(publishGap / 4)
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
		time.Sleep(2 * publishGap)
		must.Eq(t, 40, c.Board.Members.Load().Self.Announcements[0].Slots)
		cancel()
		<-done
		<-done
	})
}
