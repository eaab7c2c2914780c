package contacts

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
)

// clock is a clock that tests advance.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newController(log *memlog.Service, host string, port uint16, c *clock) *Controller {
	board := &blackboard.Board{}
	board.Source.Store(&blackboard.Source{Reader: true})
	return New(Options{
		Board: board, Directory: eventlog.TailDirectory{Log: log.Stream(eventlog.StreamContacts), MaxRecords: TailRecords}, Host: host,
		PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
		Logger:   slog.New(slog.DiscardHandler), Now: c.Now,
	})
}

func appends(t *testing.T, log *memlog.Service) uint64 {
	t.Helper()
	b, err := log.Stream(eventlog.StreamContacts).Bounds(t.Context())
	must.NoError(t, err)
	return b.End - 1
}

func TestController_NewDaemonFindsReaders(t *testing.T) {
	log := memlog.New(memlog.DefaultOptions())
	c := &clock{now: time.Unix(0, 0)}
	newController(log, "a", 1, c).reconcile(t.Context())
	newController(log, "b", 2, c).reconcile(t.Context())
	// The replacement of host a has another address; only the newest entry counts.
	newController(log, "a", 3, c).reconcile(t.Context())
	_, err := log.Stream(eventlog.StreamContacts).Append(t.Context(), []byte{0xff})
	must.NoError(t, err)
	found, err := newController(log, "c", 4, c).Find(t.Context())
	must.NoError(t, err)
	must.Eq(t, []membership.Contact{{Addr: netip.MustParseAddrPort("127.0.0.1:3")}, {Addr: netip.MustParseAddrPort("127.0.0.1:2")}}, found)
}

// The platform accepts only a few hundred appends per second from all its users. A reader must
// append once per RefreshInterval, even if the log rejects the append, and other daemons never.
func TestController_AppendsAreRare(t *testing.T) {
	log := memlog.New(memlog.DefaultOptions())
	c := &clock{now: time.Unix(0, 0)}
	reader := newController(log, "a", 1, c)
	for range 20 {
		reader.reconcile(t.Context())
		c.now = c.now.Add(checkInterval)
	}
	must.Eq(t, 1, appends(t, log))
	c.now = c.now.Add(RefreshInterval)
	reader.reconcile(t.Context())
	must.Eq(t, 2, appends(t, log))
	other := newController(log, "b", 2, c)
	other.opts.Board.Source.Store(&blackboard.Source{})
	other.reconcile(t.Context())
	must.Eq(t, 2, appends(t, log))
}
