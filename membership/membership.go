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

// ErrSuperseded means that another process runs under this daemon's host name and has replaced
// this process, which must stop.
var ErrSuperseded = errors.New("another process runs under this host's name")

// maxRememberedContacts bounds the contacts that are kept for healing network partitions.
const maxRememberedContacts = 64

// OffsetFunc is called with the configuration offset that a member has in force.
type OffsetFunc func(host string, peerAddr netip.AddrPort, offset uint64)

// Membership runs the membership protocol of one daemon. It is safe for concurrent use. One
// mutex guards all state; packets are sent after it has been released.
type Membership struct {
	opts Options
	log  *slog.Logger
	// sleep waits for a backoff delay; tests replace it.
	sleep func(context.Context, time.Duration) error
	// syncWanted carries the targets of full-table exchanges to syncLoop.
	syncWanted chan exchangeTarget

	// view caches the latest snapshot; stale is set when the table has changed since.
	view  atomic.Pointer[View]
	stale atomic.Bool

	mu    sync.Mutex
	rng   *mathrand.Rand
	table *table
	self  *entry
	// queue holds the updates for the local availability zone, crossZoneQueue those for the other
	// zones.
	queue          *queue
	crossZoneQueue *queue
	prober         prober
	health         health
	sync           syncScheduler
	repairs        map[string]*repair
	contacts       []Contact
	onOffset       OffsetFunc
	standing       Standing
	knowledge      knowledge
	// endedBefore lists the backend servers that ended beside earlier processes of this host.
	endedBefore []EndedServer

	lastTick   time.Time
	lastGossip time.Time
	// lastChange is when the table last changed.
	lastChange time.Time
	nextReview time.Time
	nextHeal   time.Time
	nextExpiry time.Time
	// announced is set once this daemon has tried to obtain the state of earlier processes on
	// its host. Until then it adds itself to no table.
	announced   bool
	announcedAt time.Time
	reannounced bool
	left        bool
	superseded  bool

	changed         bool
	watch           chan struct{}
	outbox          []datagram
	observedOffsets []observedOffset
}

// datagram is an encoded packet that is sent after the lock has been released.
type datagram struct {
	to   netip.AddrPort
	kind PacketKind
	// crossZone reports whether the receiver is in another availability zone.
	crossZone bool
	data      []byte
}

type observedOffset struct {
	host   string
	addr   netip.AddrPort
	offset uint64
}

// New returns a Membership that knows only the local daemon. It neither sends nor answers
// packets before Run, and does not become a member before Join.
func New(opts Options) (*Membership, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	m := &Membership{
		opts:           opts,
		log:            opts.Logger,
		sleep:          sleepContext,
		syncWanted:     make(chan exchangeTarget, 1),
		rng:            mathrand.New(mathrand.NewPCG(seed(), seed())),
		table:          newTable(opts.MaxMembers),
		queue:          newQueue(),
		crossZoneQueue: newQueue(),
		repairs:        make(map[string]*repair),
		watch:          make(chan struct{}),
	}
	m.prober = newProber(m.rng.Uint32())
	now := opts.Now()
	m.knowledge.startedAt = now
	m.sync = syncScheduler{gap: syncGap, last: now}
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
	m.markChanged(now)
	return m, nil
}

func seed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// View returns a snapshot of the table. Members whose address is not known yet are omitted.
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
	v.Missing = m.missing()
	m.view.Store(v)
	// Clear stale last: readers that find it cleared take no lock and must load this snapshot.
	m.stale.Store(false)
	return v
}

// Watch returns a channel that is closed after the next change to the members other than to
// their offsets. To miss no change, call Watch before View. Changes within one tick cause a
// single notification.
func (m *Membership) Watch() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watch
}

// update runs f under the lock, then sends the packets and reports the offsets that f has
// queued.
func (m *Membership) update(f func(now time.Time)) {
	m.mu.Lock()
	f(m.opts.Now())
	outbox, observedOffsets, onOffset := m.outbox, m.observedOffsets, m.onOffset
	m.outbox, m.observedOffsets = nil, nil
	m.mu.Unlock()
	for _, d := range outbox {
		// A failed send is equivalent to a lost datagram, which the protocol tolerates.
		_, _ = m.opts.Packets.WriteToUDPAddrPort(d.data, d.to)
		m.opts.Meter.Sent(d.kind, d.crossZone, len(d.data))
	}
	if onOffset == nil {
		return
	}
	for _, h := range observedOffsets {
		onOffset(h.host, h.addr, h.offset)
	}
}

// markChanged records that the table has changed.
func (m *Membership) markChanged(now time.Time) {
	m.lastChange = now
	m.changed = true
	m.stale.Store(true)
}

// notify closes the watch channel if the table has changed since the last call.
func (m *Membership) notify() {
	if !m.changed {
		return
	}
	m.changed = false
	close(m.watch)
	m.watch = make(chan struct{})
}

// isOther reports whether e is another usable member whose address is known.
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
