package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSuperseded means that another process has taken this one's place under the
// same host name; this one must stop.
var ErrSuperseded = errors.New("another process runs under this host's name")

// maxRememberedContacts bounds the contacts kept for healing a cut.
const maxRememberedContacts = 64

// OffsetFunc is told of the configuration offset that a member has in force.
type OffsetFunc func(host string, peerAddr netip.AddrPort, offset uint64)

// Membership is one daemon's part in the protocol. It is safe for concurrent
// use. All state is under one lock; what is sent leaves after the lock is
// released.
type Membership struct {
	opts Options
	log  *slog.Logger
	// sleep waits for a backoff; tests replace it.
	sleep func(context.Context, time.Duration) error
	// syncWanted wakes the loop that runs full-table exchanges.
	syncWanted chan exchangeTarget

	// view is the latest picture; stale is set when the table has moved on.
	view  atomic.Pointer[View]
	stale atomic.Bool

	mu    sync.Mutex
	rng   *mathrand.Rand
	table *table
	self  *entry
	// queue holds the news for the own availability zone, far those for the others.
	queue    *queue
	far      *queue
	prober   prober
	health   health
	sync     syncer
	repairs  map[string]*repair
	contacts []Contact
	onHeard  OffsetFunc

	lastTick   time.Time
	lastGossip time.Time
	// lastNews is when the table last changed.
	lastNews   time.Time
	nextReview time.Time
	nextHeal   time.Time
	nextExpiry time.Time
	// announced is set once this daemon has tried to learn of its host's
	// earlier lives; until then it is in nobody's table.
	announced   bool
	announcedAt time.Time
	toldAgain   bool
	left        bool
	superseded  bool

	changed bool
	watch   chan struct{}
	outbox  []datagram
	heard   []heardOffset
}

// datagram is a packet to send once the lock is released.
type datagram struct {
	to   netip.AddrPort
	kind PacketKind
	// across is whether the receiver is in another availability zone.
	across bool
	data   []byte
}

type heardOffset struct {
	host   string
	addr   netip.AddrPort
	offset uint64
}

// New returns a Membership that knows of itself alone. It neither sends nor
// answers before Run, and is no member before Join.
func New(opts Options) (*Membership, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	m := &Membership{
		opts:       opts,
		log:        opts.Logger,
		sleep:      sleepContext,
		syncWanted: make(chan exchangeTarget, 1),
		rng:        mathrand.New(mathrand.NewPCG(seed(), seed())),
		table:      newTable(opts.MaxMembers),
		queue:      newQueue(),
		far:        newQueue(),
		repairs:    make(map[string]*repair),
		watch:      make(chan struct{}),
	}
	m.prober = newProber(m.rng.Uint32())
	now := opts.Now()
	m.sync = syncer{gap: syncGap, last: now}
	m.self = &entry{
		host:  opts.Host,
		state: state{incarnation: 1, boot: opts.Boot, liveness: Alive},
		since: now,
		info: &info{
			revision:         1,
			boot:             opts.Boot,
			availabilityZone: opts.AvailabilityZone,
			region:           opts.Region,
			peerAddr:         netip.AddrPortFrom(opts.PeerAddr.Addr().Unmap(), opts.PeerAddr.Port()),
			callerAddr:       netip.AddrPortFrom(opts.CallerAddr.Addr().Unmap(), opts.CallerAddr.Port()),
			linkMbps:         opts.LinkMbps,
		},
	}
	m.news(now)
	return m, nil
}

func seed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// View returns the current picture of the table. Members whose address is not
// known yet are left out.
func (m *Membership) View() *View {
	if !m.stale.Load() {
		return m.view.Load()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stale.Load() {
		return m.view.Load()
	}
	v := &View{Self: m.self.view(), Members: make([]*Member, 0, len(m.table.order))}
	for _, e := range m.table.order {
		if member := e.view(); member != nil {
			v.Members = append(v.Members, member)
		}
	}
	m.view.Store(v)
	// Last: a reader that finds the picture fresh takes no lock and must find
	// this one.
	m.stale.Store(false)
	return v
}

// Watch returns a channel that is closed after the next change of the members
// other than of their offsets. Take it before View, so that no change falls in
// between; changes within one tick are told as one.
func (m *Membership) Watch() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watch
}

// update runs f under the lock, then sends and reports what f left behind.
func (m *Membership) update(f func(now time.Time)) {
	m.mu.Lock()
	f(m.opts.Now())
	outbox, heard, onHeard := m.outbox, m.heard, m.onHeard
	m.outbox, m.heard = nil, nil
	m.mu.Unlock()
	for _, d := range outbox {
		// A datagram that could not be sent is one that was lost, which the
		// protocol must bear anyway.
		_, _ = m.opts.Packets.WriteToUDPAddrPort(d.data, d.to)
		m.opts.Meter.Sent(d.kind, d.across, len(d.data))
	}
	if onHeard == nil {
		return
	}
	for _, h := range heard {
		onHeard(h.host, h.addr, h.offset)
	}
}

// news notes that the table has changed.
func (m *Membership) news(now time.Time) {
	m.lastNews = now
	m.changed = true
	m.stale.Store(true)
}

// notify wakes those who watch if there was news.
func (m *Membership) notify() {
	if !m.changed {
		return
	}
	m.changed = false
	close(m.watch)
	m.watch = make(chan struct{})
}

func (m *Membership) isOther(e *entry) bool { return e != m.self && e.usable() && e.complete() }

func sleepContext(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
