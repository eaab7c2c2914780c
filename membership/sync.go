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
	// syncQuiet is how long the table must have been unchanged before differing digests mean
	// that gossip has missed a daemon.
	syncQuiet = 3 * time.Second
	// syncGap is the minimum time between two exchanges caused by differing digests. It doubles
	// up to syncMaxGap while exchanges change nothing.
	syncGap    = 5 * time.Second
	syncMaxGap = time.Minute
	// settleTime is the minimum time from joining to one more exchange. That exchange fetches
	// the updates that were gossiped after the first exchange, but before the other daemons knew
	// of the new member and sent it their updates.
	settleTime = time.Second
	// syncRounds bounds the messages of one exchange: the first one fetches members, the second
	// one sends them.
	syncRounds = 2
	// fullSyncMembers is the minimum number of members in an answer that counts as full.
	fullSyncMembers = 64
)

// errBusy means that the daemon asked has rejected the exchange for now.
var errBusy = errors.New("daemon is busy with other exchanges")

// syncScheduler decides when full tables are exchanged.
type syncScheduler struct {
	target netip.AddrPort
	due    time.Time
	// cancelOnChange cancels the exchange if the table changes before it is due: the digests
	// then differed because gossip had reached the other daemon first.
	cancelOnChange bool
	// settle is when a daemon that has just joined makes one more exchange, zero once that is
	// done.
	settle time.Time
	// last is when an exchange was last planned, next is the earliest time for the next one, and
	// gap the current minimum time between two.
	last time.Time
	next time.Time
	gap  time.Duration

	// tokens limits the rate of full answers.
	tokens   float64
	refilled time.Time
}

// exchangeTarget is the daemon to exchange tables with, and the part of the tables to exchange.
type exchangeTarget struct {
	addr netip.AddrPort
	// zoneOnly limits the exchange to the members of one availability zone. zone is its name, or
	// "" for the zone of the daemon asked if that is not known.
	zoneOnly bool
	zone     string
}

// compareDigest plans an exchange with a member whose table differs although neither side has
// updates in transit. While the fleet is stable there are no exchanges.
func (m *Membership) compareDigest(digest uint64, from netip.AddrPort, now time.Time) {
	switch {
	case digest == m.table.digests.sum():
		m.sync.target = netip.AddrPort{}
	case m.sync.target.IsValid() || now.Before(m.sync.next):
	case now.Sub(m.lastChange) < syncQuiet && now.Sub(m.sync.last) < syncMaxGap:
		// Gossip is still in progress. This does not delay the comparison beyond syncMaxGap: a
		// single member that joins and leaves repeatedly must not prevent it altogether.
	default:
		m.planSync(from, now)
		m.sync.due = now.Add(syncQuiet/2 + m.jitter(syncQuiet/2))
		m.sync.cancelOnChange = now.Sub(m.lastChange) >= syncQuiet
	}
}

// planSync plans an exchange that is due at once.
func (m *Membership) planSync(addr netip.AddrPort, now time.Time) {
	m.sync.target = addr
	m.sync.due = now
	m.sync.cancelOnChange = false
	m.sync.last = now
	m.sync.next = now.Add(m.sync.gap)
}

// syncWithAny plans an exchange with a random member, of the local availability zone if there is
// one.
func (m *Membership) syncWithAny(now time.Time) {
	for _, e := range m.samplePreferLocal(1) {
		m.planSync(e.info.peerAddr, now)
	}
}

// samplePreferLocal returns up to n random members, of the local availability zone if there are
// any. Tables are the largest of all messages, and traffic between zones costs the most.
func (m *Membership) samplePreferLocal(n int) []*entry {
	if m.neighbors() > 0 {
		return m.table.sample(m.rng, n, m.isNeighbor)
	}
	return m.table.sample(m.rng, n, m.isOther)
}

// jitter returns a random duration of at most d.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// reconcileSync passes a due exchange to syncLoop.
func (m *Membership) reconcileSync(now time.Time) {
	if !m.sync.settle.IsZero() && !now.Before(m.sync.settle) {
		m.sync.settle = time.Time{}
		m.syncWithAny(now)
	}
	if !m.sync.target.IsValid() || now.Before(m.sync.due) {
		return
	}
	if m.sync.cancelOnChange && m.lastChange.After(m.sync.last) {
		m.sync.target = netip.AddrPort{}
		return
	}
	select {
	case m.syncWanted <- exchangeTarget{addr: m.sync.target}:
		m.sync.target = netip.AddrPort{}
	default:
	}
}

// exchange brings both tables to the same state. If the error is errBusy, contacts lists the
// daemons to ask instead.
func (m *Membership) exchange(ctx context.Context, target exchangeTarget) (contacts []netip.AddrPort, err error) {
	var push [bucketCount]bool
	for range syncRounds {
		answer, err := m.sendTable(ctx, target, push)
		if err != nil {
			return nil, errors.Wrapf(err, "exchange tables with %s", target.addr)
		}
		if answer.GetBusy() {
			return decodeContacts(answer.GetContacts()), errBusy
		}
		more := false
		push, more = m.applyAnswer(answer, &target)
		if !more {
			break
		}
	}
	return nil, nil
}

// sendTable sends one message of an exchange with the members of the push buckets and returns the
// answer.
func (m *Membership) sendTable(ctx context.Context, target exchangeTarget, push [bucketCount]bool) (*memberpb.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.Lock()
	request := m.encodeTable(push, target.scope(), m.opts.Now())
	request.OneZone, request.Zone = target.zoneOnly, target.zone
	m.mu.Unlock()
	return m.opts.Sync.Sync(ctx, target.addr, request)
}

// scope returns the scope of the exchange.
func (t exchangeTarget) scope() scope { return scope{zoneOnly: t.zoneOnly, zone: t.zone} }

// scope is the set of members that a message of an exchange covers: all, or those of one
// availability zone.
type scope struct {
	zoneOnly bool
	zone     string
}

// covers reports whether the scope includes a member. It includes tombstones, since the other
// side may still hold these members as suspect.
func (s scope) covers(e *entry) bool { return !s.zoneOnly || e.availabilityZone() == s.zone }

// digestsOf returns the digests by bucket of the members in a scope.
func (m *Membership) digestsOf(s scope) *digests {
	if s.zoneOnly {
		return m.table.zoneDigests(s.zone)
	}
	d := m.table.digests
	return &d
}

// applyAnswer merges an answer and returns the buckets in which the local table still differs
// because it contains more. A starting daemon becomes a member here, so that the second message
// of its first exchange includes its own entry: of two daemons that start with each other as
// their only contact, neither would otherwise know of a member to send it to.
func (m *Membership) applyAnswer(answer *memberpb.Table, target *exchangeTarget) (push [bucketCount]bool, more bool) {
	records, remoteDigests, rej := decodeTable(answer)
	if rej != nil {
		m.opts.Meter.Rejected(rej.reason)
		m.log.Warn("membership: answer of table exchange rejected", "host", answer.GetHost(), "error", rej)
		return push, false
	}
	m.update(func(now time.Time) {
		before := m.table.digests
		from := fromSync
		if !m.announced {
			from = fromJoin
		}
		m.applyRecords(records, from, now)
		if answer.GetKnowsFleet() && !target.zoneOnly {
			m.learnFleet(now)
		}
		m.announce(now)
		m.recordExchange(*target, m.table.digests != before)
		if e := m.table.get(answer.GetHost()); target.zoneOnly && target.zone == "" && e != nil {
			target.zone = e.availabilityZone()
		}
		push, more = m.digestsOf(target.scope()).differing(remoteDigests)
	})
	return push, more
}

// recordExchange increases the time between exchanges that change nothing.
func (m *Membership) recordExchange(target exchangeTarget, changed bool) {
	switch {
	case target.zoneOnly:
		m.recordRepair(target.zone, changed)
	case changed:
		m.sync.gap = syncGap
	default:
		m.sync.gap = min(2*m.sync.gap, syncMaxGap)
	}
}

// applyRecords applies the records of an exchange.
func (m *Membership) applyRecords(records []record, from source, now time.Time) {
	for i := range records {
		m.apply(&records[i], from, now)
	}
	m.opts.Meter.Synced(len(records), 0)
}

// HandleSync answers one message of a full-table exchange. It merges the members of remote and
// returns the members in the buckets that differ, or the addresses of other daemons if it is
// busy.
func (m *Membership) HandleSync(_ context.Context, remote *memberpb.Table) *memberpb.Table {
	records, remoteDigests, rej := decodeTable(remote)
	if rej != nil {
		m.opts.Meter.Rejected(rej.reason)
		m.log.Warn("membership: request for table exchange rejected", "host", remote.GetHost(), "error", rej)
		return &memberpb.Table{Busy: true}
	}
	var answer *memberpb.Table
	m.update(func(now time.Time) {
		sender := m.senderEntry(remote)
		m.applyRecords(records, fromSync, now)
		sc := scope{remote.GetOneZone(), cmp.Or(remote.GetZone(), m.opts.AvailabilityZone)}
		buckets, _ := m.digestsOf(sc).differing(remoteDigests)
		if !m.admitSync(buckets, sc, now) {
			m.opts.Meter.Rejected(RejectBusy)
			answer = m.busyAnswer()
			return
		}
		answer = m.encodeTable(buckets, sc, now)
		answer.Members = append(answer.Members, sender...)
	})
	return answer
}

// senderEntry returns the entry of the sender's host, if there is one. Its bucket need not
// differ, but a new process needs the state of its predecessor: the incarnation, to take a
// higher one, and the offset in force.
func (m *Membership) senderEntry(remote *memberpb.Table) []*memberpb.Member {
	e := m.table.get(remote.GetHost())
	if e == nil {
		return nil
	}
	return []*memberpb.Member{encodeMember(e, e.boot != remote.GetBoot())}
}

// admitSync limits the rate of full answers. When a third of the fleet restarts at once and asks
// the few contacts in its settings, these contacts would otherwise spend their processor time
// and bandwidth on tables alone. The other requesters are referred to other members.
func (m *Membership) admitSync(buckets [bucketCount]bool, sc scope, now time.Time) bool {
	limit := float64(m.opts.FullSyncsPerSecond)
	if m.sync.refilled.IsZero() {
		m.sync.tokens = limit
	} else {
		m.sync.tokens = min(limit, m.sync.tokens+limit*now.Sub(m.sync.refilled).Seconds())
	}
	m.sync.refilled = now
	if m.countMembers(buckets, sc) < fullSyncMembers {
		return true
	}
	if m.sync.tokens < 1 {
		return false
	}
	m.sync.tokens--
	return true
}

func (m *Membership) countMembers(buckets [bucketCount]bool, sc scope) int {
	n := 0
	for _, e := range m.table.order {
		n += count(sc.covers(e) && buckets[bucketOf(e.host)])
	}
	return n
}

// busyAnswer returns an answer that names random other members to ask, so that the rejected
// daemons spread over the fleet.
func (m *Membership) busyAnswer() *memberpb.Table {
	t := &memberpb.Table{Host: m.self.host, Boot: m.self.boot, Busy: true}
	for _, e := range m.samplePreferLocal(maxContacts) {
		t.Contacts = append(t.Contacts, encodeAddr(e.info.peerAddr))
	}
	return t
}

// encodeTable returns a message with the digests of all members in scope and the members in
// scope of the given buckets. It always includes this daemon.
func (m *Membership) encodeTable(buckets [bucketCount]bool, sc scope, now time.Time) *memberpb.Table {
	t := &memberpb.Table{Host: m.self.host, Boot: m.self.boot, Digests: m.digestsOf(sc)[:], KnowsFleet: m.knowledge.fleet}
	for _, e := range m.table.order {
		if e != m.self && !(sc.covers(e) && buckets[bucketOf(e.host)]) {
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
		return nil, nil, invalid("table has %d digests", len(t.GetDigests()))
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
