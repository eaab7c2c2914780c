package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// joinContacts is the number of exchanges with which a daemon joins. After a single
	// exchange, the table of a new daemon would be only as current as that contact's, which may
	// lag. The second and third exchange transfer little more than the differences.
	joinContacts = 3
	// joinTries bounds the number of daemons contacted in one attempt.
	joinTries = 12
	// joinBaseDelay and joinMaxDelay bound the random delay before each attempt.
	joinBaseDelay = 200 * time.Millisecond
	joinMaxDelay  = 10 * time.Second
)

// Contact is the address of a daemon through which to join.
type Contact struct {
	Addr netip.AddrPort
	// AvailabilityZone is empty if it is not known.
	AvailabilityZone string
}

// Join exchanges tables with some of the contacts and returns the number of successful
// exchanges. It retries until there is one or ctx is done. Before each attempt it waits for a
// random delay (exponential backoff with full jitter), so that the daemons of a restarted zone
// do not join all at once. If there are no contacts other than the daemon itself, it returns 0.
func (m *Membership) Join(ctx context.Context, contacts []Contact) (int, error) {
	contacts = m.rememberContacts(contacts)
	if len(contacts) == 0 {
		m.update(m.announce)
		return 0, nil
	}
	delay := joinBaseDelay
	for {
		if err := m.sleep(ctx, m.randomWait(delay)); err != nil {
			return 0, errors.Wrap(err, "join fleet")
		}
		joined, busy := m.joinOnce(ctx, contacts)
		if !busy {
			// Announce even if no contact answered: other daemons may contact this one first.
			m.update(m.announce)
		}
		if joined > 0 {
			m.log.Info("membership: joined", "exchanges", joined)
			return joined, nil
		}
		delay = min(2*delay, joinMaxDelay)
	}
}

func (m *Membership) randomWait(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jitter(d)
}

// rememberContacts stores the contacts for healing network partitions and returns them without
// duplicates and without the daemon itself. Contacts that may be in the local availability zone
// come first; both groups are shuffled.
func (m *Membership) rememberContacts(contacts []Contact) []Contact {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []Contact
	for _, c := range contacts {
		c.Addr = netip.AddrPortFrom(c.Addr.Addr().Unmap(), c.Addr.Port())
		if c.Addr == m.self.info.peerAddr || slices.ContainsFunc(others, c.sameAddr) {
			continue
		}
		others = append(others, c)
		if !slices.ContainsFunc(m.contacts, c.sameAddr) && len(m.contacts) < maxRememberedContacts {
			m.contacts = append(m.contacts, c)
		}
	}
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b Contact) int { return count(m.inOtherZone(a)) - count(m.inOtherZone(b)) })
	return others
}

// sameAddr reports whether both contacts have the same address.
func (c Contact) sameAddr(o Contact) bool { return c.Addr == o.Addr }

// inOtherZone reports whether a contact is known to be in another availability zone.
func (m *Membership) inOtherZone(c Contact) bool {
	return c.AvailabilityZone != "" && c.AvailabilityZone != m.opts.AvailabilityZone
}

// joinOnce exchanges tables with the contacts in order, and with those that busy contacts name
// as alternatives. It returns the number of successful exchanges. busy reports that there was
// none and at least one contact was busy.
func (m *Membership) joinOnce(ctx context.Context, contacts []Contact) (joined int, busy bool) {
	list := slices.Clone(contacts)
	for i, tries := 0, 0; i < len(list) && tries < joinTries && ctx.Err() == nil; i++ {
		if !m.needsExchange(list[i], joined) {
			continue
		}
		tries++
		alternatives, err := m.exchange(ctx, exchangeTarget{addr: list[i].Addr})
		if err == nil {
			joined++
			continue
		}
		busy = busy || errors.Is(err, errBusy)
		m.log.Debug("membership: exchange with contact failed", "error", err)
		for _, addr := range alternatives {
			c := Contact{Addr: addr}
			if !slices.ContainsFunc(list, c.sameAddr) && addr != m.opts.PeerAddr {
				list = append(list, c)
			}
		}
	}
	return joined, busy && joined == 0
}

// needsExchange reports whether an exchange with a contact is useful after a number of
// successful ones. Once there was one, a contact in another availability zone is asked only
// while no member of that zone is known: its table is the same as that of any daemon in the local
// zone, but causes cross-zone traffic. When a whole fleet starts at once, the first daemons of
// each zone discover the other zones this way while the tables are still small.
func (m *Membership) needsExchange(c Contact, answered int) bool {
	if !m.inOtherZone(c) {
		return answered < joinContacts
	}
	if answered == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.zones[c.AvailabilityZone].usable == 0
}

// heal tries at random intervals to reach daemons on the other side of a network partition. A
// ping to a Dead member carries that state to the member, and its refutation and the differing
// digests make both sides converge. With a contact whose address is in neither table it starts
// an exchange.
func (m *Membership) heal(now time.Time) {
	if now.Before(m.nextHeal) || m.left {
		return
	}
	first := m.nextHeal.IsZero()
	m.nextHeal = now.Add(m.jitter(2 * m.opts.HealInterval))
	if first {
		return
	}
	for _, e := range m.table.sample(m.rng, 1, func(e *entry) bool { return e.liveness == Dead && e.complete() }) {
		m.sendPing(e.info.peerAddr, e.host, m.prober.nextSeq())
	}
	if c, ok := m.missingContact(); ok && !m.sync.target.IsValid() {
		m.planSync(c.Addr, now)
	}
}

// missingContact returns a random contact whose address belongs to no usable member.
func (m *Membership) missingContact() (Contact, bool) {
	present := make(map[netip.AddrPort]bool, m.table.usable)
	for _, e := range m.table.order {
		if e.usable() && e.complete() {
			present[e.info.peerAddr] = true
		}
	}
	var missing []Contact
	for _, c := range m.contacts {
		if !present[c.Addr] {
			missing = append(missing, c)
		}
	}
	if len(missing) == 0 {
		return Contact{}, false
	}
	return missing[m.rng.IntN(len(missing))], true
}
