package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	mathrand "math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// ErrSuperseded means that another process has taken this one's place under the
// same host name; this one must stop.
var ErrSuperseded = errors.New("another process runs under this host's name")

// maxRememberedContacts bounds the contacts kept for healing a cut.
const maxRememberedContacts = 64

// HeardFunc is told of the configuration offset that a member has in force.
type HeardFunc func(host string, peerAddr netip.AddrPort, offset uint64)

// Membership is one daemon's part in the protocol. It is safe for concurrent
// use. All state is under one lock; what is sent leaves after the lock is
// released.
type Membership struct {
	opts Options
	log  *slog.Logger
	// sleep waits for a backoff; tests replace it.
	sleep func(context.Context, time.Duration) error
	// syncWanted wakes the loop that runs full-table exchanges.
	syncWanted chan netip.AddrPort

	// view is the latest picture; stale is set when the table has moved on.
	view  atomic.Pointer[View]
	stale atomic.Bool

	mu       sync.Mutex
	rng      *mathrand.Rand
	table    *table
	self     *entry
	queue    *queue
	prober   prober
	health   health
	sync     syncer
	contacts []netip.AddrPort
	onHeard  HeardFunc

	lastTick   time.Time
	lastGossip time.Time
	// lastNews is when the table last changed.
	lastNews   time.Time
	nextReview time.Time
	nextHeal   time.Time
	nextExpiry time.Time
	// announced is set once this daemon has tried to learn of its host's
	// earlier lives; until then it is in nobody's table.
	announced  bool
	left       bool
	superseded bool

	changed bool
	watch   chan struct{}
	outbox  []datagram
	heard   []heardOffset
}

// datagram is a packet to send once the lock is released.
type datagram struct {
	to   netip.AddrPort
	kind PacketKind
	data []byte
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
		syncWanted: make(chan netip.AddrPort, 1),
		rng:        mathrand.New(mathrand.NewPCG(seed(), seed())),
		table:      newTable(opts.MaxMembers),
		queue:      newQueue(),
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

// SetLocal tells the others what runs on this host. Nothing is sent where the
// announcements differ from the ones before in a grown age alone. Announcements
// that do not fit into a datagram with the others are left out.
func (m *Membership) SetLocal(announcements []Announcement, draining bool) {
	m.update(func(now time.Time) {
		fits := m.fitting(announcements)
		if m.self.info.draining == draining && sameAnnouncements(m.self.info.announcements, fits) {
			return
		}
		if left := len(announcements) - len(fits); left > 0 {
			m.log.Error("membership: announcements do not fit into a datagram", "left_out", left)
		}
		next := *m.self.info
		next.draining = draining
		next.announcements = fits
		m.setInfo(&next, m.self.incarnation+1, now)
	})
}

// setInfo replaces the daemon's own info at a new incarnation.
func (m *Membership) setInfo(i *info, incarnation uint64, now time.Time) {
	i.revision = incarnation
	m.applyOwn(&record{
		host:  m.self.host,
		state: state{incarnation: incarnation, boot: m.self.boot, liveness: m.self.liveness},
		info:  i,
	}, now)
	m.spreadOwn(true)
}

// applyOwn changes the daemon's own entry.
func (m *Membership) applyOwn(r *record, now time.Time) {
	if m.announced {
		m.table.merge(r)
	} else {
		m.self.merge(r)
	}
	m.self.member = nil
	m.self.since = now
	m.news(now)
}

// spreadOwn tells the others of the daemon's own entry.
func (m *Membership) spreadOwn(full bool) {
	if m.announced {
		m.queue.add(m.self.host, full, true)
	}
}

// announce makes the daemon a member.
func (m *Membership) announce() {
	m.update(func(now time.Time) {
		if m.announced {
			return
		}
		m.announced = true
		m.table.adopt(m.self)
		m.news(now)
		m.spreadOwn(true)
	})
}

func sameAnnouncements(old, new []Announcement) bool {
	return slices.EqualFunc(old, new, func(a, b Announcement) bool {
		// A lower age means that the backend server is another one.
		return a.Service == b.Service && a.Slots == b.Slots && a.Draining == b.Draining && a.Age <= b.Age
	})
}

// fitting returns the announcements that one record can carry.
func (m *Membership) fitting(list []Announcement) []Announcement {
	fits := make([]Announcement, 0, len(list))
	probe := *m.self
	for _, a := range list {
		a.Slots = min(max(a.Slots, 0), maxSlots)
		next := *m.self.info
		next.announcements = append(fits, a)
		next.replaced = make([]uint64, maxReplaced)
		probe.info = &next
		size := proto.Size(encodeMember(&probe, true))
		if a.Service == "" || len(a.Service) > maxNameBytes || len(fits) == maxAnnouncements || size > maxRecordBytes ||
			!utf8.ValidString(a.Service) {
			continue
		}
		fits = append(fits, a)
	}
	return fits
}

// SetOffset sets the configuration offset in force that each probe and answer
// tells.
func (m *Membership) SetOffset(offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raiseOffset(m.self, offset)
}

// NoteOffset records the offset that a member was heard to have in force by
// another way than probes, such as a push or pull of configuration.
func (m *Membership) NoteOffset(host string, boot, offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.table.get(host); e != nil && e.boot == boot {
		m.raiseOffset(e, offset)
	}
}

func (m *Membership) raiseOffset(e *entry, offset uint64) {
	if offset <= e.offset {
		return
	}
	e.offset = offset
	e.member = nil
	m.stale.Store(true)
}

// Floor returns the highest offset that any life of the host is known to have
// had in force, 0 if none is.
func (m *Membership) Floor(host string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if host == m.self.host {
		return m.self.highest()
	}
	if e := m.table.get(host); e != nil {
		return e.highest()
	}
	return 0
}

// MaxOffset returns the highest offset that any host is known to have had in
// force. A host's own floor may be known only to those that it probed last; in
// a fleet whose daemons do not lag, this one is no lower.
func (m *Membership) MaxOffset() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	highest := m.self.highest()
	for _, e := range m.table.order {
		highest = max(highest, e.highest())
	}
	return highest
}

// OnHeard sets the function that is called with the offset in each packet from
// a known member. It must be set before Run and must not block.
func (m *Membership) OnHeard(f func(host string, peerAddr netip.AddrPort, offset uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onHeard = f
}

// View returns the current picture of the table. Members whose address is not
// known yet are left out.
func (m *Membership) View() *View {
	if !m.stale.Load() {
		return m.view.Load()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stale.Swap(false) {
		return m.view.Load()
	}
	v := &View{Self: m.self.view(), Members: make([]*Member, 0, len(m.table.order))}
	for _, e := range m.table.order {
		if member := e.view(); member != nil {
			v.Members = append(v.Members, member)
		}
	}
	m.view.Store(v)
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

// Leave says goodbye and returns when the news has been passed on as often as
// any update is, or when ctx is done. Run must still be running.
func (m *Membership) Leave(ctx context.Context) error {
	m.update(func(now time.Time) {
		if m.left {
			return
		}
		m.left = true
		next := state{incarnation: m.self.incarnation + 1, boot: m.self.boot, liveness: Left}
		m.applyOwn(&record{host: m.self.host, state: next}, now)
		m.spreadOwn(false)
		m.log.Info("membership: leaving")
	})
	for !m.goodbyeSent() {
		if err := m.sleep(ctx, m.opts.GossipInterval); err != nil {
			return errors.Wrap(err, "leave")
		}
	}
	return nil
}

func (m *Membership) goodbyeSent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, queued := m.queue.byHost[m.self.host]
	return !queued || m.table.usable == 0
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
		m.opts.Meter.Sent(d.kind, len(d.data))
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
