package membership

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/memberpb"
)

const (
	// syncTimeout bounds one message of an exchange and its answer.
	syncTimeout = 3 * time.Second
	// syncQuiet is how long the table must have been still before differing
	// digests mean that gossip has missed somebody.
	syncQuiet = 3 * time.Second
	// syncGap is the shortest time between two exchanges that differing digests
	// led to. It doubles up to syncMaxGap while exchanges change nothing.
	syncGap    = 5 * time.Second
	syncMaxGap = time.Minute
	// settleTime is the least time from a start to the exchange that makes up
	// for what went round between the first one and the time when the others
	// had heard of the newcomer and sent it their news.
	settleTime = time.Second
	// syncRounds bounds the messages of one exchange: one to learn, one to
	// teach.
	syncRounds = 2
	// fullSyncMembers is how many members an answer must hold to count as full.
	fullSyncMembers = 64
)

// errBusy means that the daemon asked has put the exchange off.
var errBusy = errors.New("daemon is busy with other exchanges")

// syncer decides when full tables are exchanged.
type syncer struct {
	want netip.AddrPort
	due  time.Time
	// unlessNews drops the exchange if news arrives before it is due: then the
	// digests differed because gossip had reached the other one first.
	unlessNews bool
	// settle is when a daemon that has just started makes one more exchange,
	// zero once it has.
	settle time.Time
	// last is when an exchange was last planned, next the earliest time for the
	// next one.
	last time.Time
	next time.Time
	gap  time.Duration

	// tokens bounds the full answers handed out.
	tokens   float64
	refilled time.Time
}

// exchangeTarget is whom to exchange tables with, and how much of them.
type exchangeTarget struct {
	addr netip.AddrPort
	// zoneOnly limits the exchange to the members of one availability zone, and zone is its
	// name, "" for that of the daemon asked where it is not known.
	zoneOnly bool
	zone     string
}

// compareDigest plans an exchange with a member whose table differs though
// neither has news under way. In a settled fleet none takes place.
func (m *Membership) compareDigest(digest uint64, from netip.AddrPort, now time.Time) {
	switch {
	case digest == m.table.digests.sum():
		m.sync.want = netip.AddrPort{}
	case m.sync.want.IsValid() || now.Before(m.sync.next):
	case now.Sub(m.lastNews) < syncQuiet && now.Sub(m.sync.last) < syncMaxGap:
		// Gossip is still under way, though not for good: one member that comes
		// and goes must not keep the tables from being compared at all.
	default:
		m.wantSync(from, now)
		m.sync.due = now.Add(syncQuiet/2 + m.jitter(syncQuiet/2))
		m.sync.unlessNews = now.Sub(m.lastNews) >= syncQuiet
	}
}

// wantSync plans an exchange at once.
func (m *Membership) wantSync(addr netip.AddrPort, now time.Time) {
	m.sync.want = addr
	m.sync.due = now
	m.sync.unlessNews = false
	m.sync.last = now
	m.sync.next = now.Add(m.sync.gap)
}

// syncWithAny plans an exchange with a random member, a neighbour if there is one.
func (m *Membership) syncWithAny(now time.Time) {
	for _, e := range m.sampleNear(1) {
		m.wantSync(e.info.peerAddr, now)
	}
}

// sampleNear returns up to n random members, of the own availability zone if there are
// any. Tables are the largest messages of all, and cost most between zones.
func (m *Membership) sampleNear(n int) []*entry {
	if m.neighbours() > 0 {
		return m.table.sample(m.rng, n, m.isNeighbour)
	}
	return m.table.sample(m.rng, n, m.isOther)
}

// jitter returns a random part of d.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// reconcileSync hands a due exchange to the loop that runs them.
func (m *Membership) reconcileSync(now time.Time) {
	if !m.sync.settle.IsZero() && !now.Before(m.sync.settle) {
		m.sync.settle = time.Time{}
		m.syncWithAny(now)
	}
	if !m.sync.want.IsValid() || now.Before(m.sync.due) {
		return
	}
	if m.sync.unlessNews && m.lastNews.After(m.sync.last) {
		m.sync.want = netip.AddrPort{}
		return
	}
	select {
	case m.syncWanted <- exchangeTarget{addr: m.sync.want}:
		m.sync.want = netip.AddrPort{}
	default:
	}
}

// exchange brings both tables to the same state. contacts are whom to ask
// instead where the error is errBusy.
func (m *Membership) exchange(ctx context.Context, target exchangeTarget) (contacts []netip.AddrPort, err error) {
	var push [bucketCount]bool
	for range syncRounds {
		answer, err := m.ask(ctx, target, push)
		if err != nil {
			return nil, errors.Wrapf(err, "exchange tables with %s", target.addr)
		}
		if answer.GetBusy() {
			return decodeContacts(answer.GetContacts()), errBusy
		}
		more := false
		push, more = m.learn(answer, &target)
		if !more {
			break
		}
	}
	return nil, nil
}

func (m *Membership) ask(ctx context.Context, target exchangeTarget, push [bucketCount]bool) (*memberpb.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	request := m.encodeTable(push, target.scope(), m.opts.Now())
	request.OneZone, request.Zone = target.zoneOnly, target.zone
	m.mu.Unlock()
	return m.opts.Sync.Sync(ctx, target.addr, request)
}

// scope returns the members that the exchange is about.
func (t exchangeTarget) scope() scope { return scope{zoneOnly: t.zoneOnly, zone: t.zone} }

// scope is the members that a message of an exchange is about: all, or those of one
// availability zone.
type scope struct {
	zoneOnly bool
	zone     string
}

// covers reports whether a member belongs to the exchange. Those that are gone do, as long as
// they are remembered: the other side may still take them for suspects.
func (s scope) covers(e *entry) bool { return !s.zoneOnly || e.availabilityZone() == s.zone }

// digestsOf returns the digests by bucket of the members that an exchange is about.
func (m *Membership) digestsOf(s scope) *digests {
	if s.zoneOnly {
		return m.table.zoneDigests(s.zone)
	}
	d := m.table.digests
	return &d
}

// learn takes an answer in and returns the buckets in which this table still
// differs, hence holds more. A daemon that has just started becomes a member
// here, so that the second message of its first exchange tells of it: of two
// that start by each other alone, neither would know whom to tell otherwise.
func (m *Membership) learn(answer *memberpb.Table, target *exchangeTarget) (push [bucketCount]bool, more bool) {
	records, theirs, rej := decodeTable(answer)
	if rej != nil {
		m.opts.Meter.Rejected(rej.reason)
		m.log.Warn("membership: full-table answer refused", "host", answer.GetHost(), "error", rej)
		return push, false
	}
	m.update(func(now time.Time) {
		before := m.table.digests
		from := fromSync
		if !m.announced {
			from = fromJoin
		}
		m.takeTable(records, from, now)
		m.announce(now)
		m.noteExchange(*target, m.table.digests != before)
		if e := m.table.get(answer.GetHost()); target.zoneOnly && target.zone == "" && e != nil {
			target.zone = e.availabilityZone()
		}
		push, more = m.digestsOf(target.scope()).differing(theirs)
	})
	return push, more
}

// noteExchange spaces out the exchanges that change nothing.
func (m *Membership) noteExchange(target exchangeTarget, changed bool) {
	switch {
	case target.zoneOnly:
		m.repaired(target.zone, changed)
	case changed:
		m.sync.gap = syncGap
	default:
		m.sync.gap = min(2*m.sync.gap, syncMaxGap)
	}
}

// takeTable applies the records of an exchange.
func (m *Membership) takeTable(records []record, from source, now time.Time) {
	for i := range records {
		m.apply(&records[i], from, now)
	}
	m.opts.Meter.Synced(len(records), 0)
}

// HandleSync answers one message of a full-table exchange. It takes the
// remote's members in and returns those whose bucket differs.
func (m *Membership) HandleSync(_ context.Context, remote *memberpb.Table) *memberpb.Table {
	records, theirs, rej := decodeTable(remote)
	if rej != nil {
		m.opts.Meter.Rejected(rej.reason)
		m.log.Warn("membership: full-table request refused", "host", remote.GetHost(), "error", rej)
		return &memberpb.Table{Busy: true}
	}
	var answer *memberpb.Table
	m.update(func(now time.Time) {
		earlier := m.believed(remote)
		m.takeTable(records, fromSync, now)
		about := scope{remote.GetOneZone(), cmp.Or(remote.GetZone(), m.opts.AvailabilityZone)}
		buckets, _ := m.digestsOf(about).differing(theirs)
		if !m.admitSync(buckets, about, now) {
			m.opts.Meter.Rejected(RejectBusy)
			answer = m.busyAnswer()
			return
		}
		answer = m.encodeTable(buckets, about, now)
		answer.Members = append(answer.Members, earlier...)
	})
	return answer
}

// believed returns what the table holds of the remote's own host. It need not
// be in a bucket that differs, and a new life has to hear of the one before: of
// its incarnation, to go above it, and of the offset that it had in force.
func (m *Membership) believed(remote *memberpb.Table) []*memberpb.Member {
	e := m.table.get(remote.GetHost())
	if e == nil {
		return nil
	}
	return []*memberpb.Member{encodeMember(e, e.boot != remote.GetBoot())}
}

// admitSync bounds the full answers per second. When a third of the fleet
// restarts at once and asks the few contacts of its settings, these would spend
// their time and network on tables alone; the rest are sent to others.
func (m *Membership) admitSync(buckets [bucketCount]bool, about scope, now time.Time) bool {
	limit := float64(m.opts.FullSyncsPerSecond)
	if m.sync.refilled.IsZero() {
		m.sync.tokens = limit
	} else {
		m.sync.tokens = min(limit, m.sync.tokens+limit*now.Sub(m.sync.refilled).Seconds())
	}
	m.sync.refilled = now
	if m.sizeOf(buckets, about) < fullSyncMembers {
		return true
	}
	if m.sync.tokens < 1 {
		return false
	}
	m.sync.tokens--
	return true
}

func (m *Membership) sizeOf(buckets [bucketCount]bool, about scope) int {
	n := 0
	for _, e := range m.table.order {
		n += count(about.covers(e) && buckets[bucketOf(e.host)])
	}
	return n
}

// busyAnswer names others to ask. They are chosen at random, so that those
// turned away spread over the fleet.
func (m *Membership) busyAnswer() *memberpb.Table {
	t := &memberpb.Table{Host: m.self.host, Boot: m.self.boot, Busy: true}
	for _, e := range m.sampleNear(maxContacts) {
		t.Contacts = append(t.Contacts, encodeAddr(e.info.peerAddr))
	}
	return t
}

// encodeTable returns the members in scope of the named buckets, this daemon itself in
// any case, and the digests of all in scope.
func (m *Membership) encodeTable(buckets [bucketCount]bool, about scope, now time.Time) *memberpb.Table {
	t := &memberpb.Table{Host: m.self.host, Boot: m.self.boot, Digests: m.digestsOf(about)[:]}
	for _, e := range m.table.order {
		if e != m.self && !(about.covers(e) && buckets[bucketOf(e.host)]) {
			continue
		}
		member := encodeMember(e, true)
		member.AgeMs = milliseconds(now.Sub(e.since))
		t.Members = append(t.Members, member)
	}
	m.opts.Meter.Synced(0, len(t.Members))
	return t
}

func decodeTable(t *memberpb.Table) ([]record, *digests, *rejection) {
	if rej := checkIdentity(t.GetHost(), t.GetBoot()); rej != nil {
		return nil, nil, rej
	}
	if len(t.GetDigests()) != bucketCount {
		return nil, nil, invalid("%d digests", len(t.GetDigests()))
	}
	records, rej := decodeMembers(t.GetMembers())
	return records, (*digests)(t.GetDigests()), rej
}

func decodeContacts(list [][]byte) []netip.AddrPort {
	var contacts []netip.AddrPort
	for _, b := range list[:min(len(list), maxContacts)] {
		if a, rej := decodeAddr(b); rej == nil {
			contacts = append(contacts, a)
		}
	}
	return contacts
}
