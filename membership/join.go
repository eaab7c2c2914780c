package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// joinContacts is how many exchanges a start takes. With one alone, a
	// contact that lags would be all that a new daemon knows; the second and
	// third hand over little more than their differences.
	joinContacts = 3
	// joinTries bounds the daemons asked in one attempt.
	joinTries = 12
	// joinBaseDelay and joinMaxDelay bound the random wait before each attempt.
	joinBaseDelay = 200 * time.Millisecond
	joinMaxDelay  = 10 * time.Second
)

// Contact is a daemon to join by.
type Contact struct {
	Addr netip.AddrPort
	// AvailabilityZone is "" where it is not known.
	AvailabilityZone string
}

// Join exchanges tables with a few of the contacts and returns how many
// answered. It tries until one has, or ctx is done; before each attempt it
// waits a random time (full jitter), so that a zone that restarts does not come
// in one wave. Without contacts other than the daemon itself it returns 0.
func (m *Membership) Join(ctx context.Context, contacts []Contact) (int, error) {
	contacts = m.remember(contacts)
	if len(contacts) == 0 {
		m.update(m.announce)
		return 0, nil
	}
	delay := joinBaseDelay
	for {
		if err := m.sleep(ctx, m.randomWait(delay)); err != nil {
			return 0, errors.Wrap(err, "join")
		}
		joined, busy := m.joinOnce(ctx, contacts)
		if !busy {
			// Also where nobody answered: the others may find this daemon first.
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

// remember keeps the contacts for healing a cut, and returns them without the daemon
// itself: those that may be in its availability zone first, each part shuffled.
func (m *Membership) remember(contacts []Contact) []Contact {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []Contact
	for _, c := range contacts {
		c.Addr = netip.AddrPortFrom(c.Addr.Addr().Unmap(), c.Addr.Port())
		if c.Addr == m.self.info.peerAddr || slices.ContainsFunc(others, c.at) {
			continue
		}
		others = append(others, c)
		if !slices.ContainsFunc(m.contacts, c.at) && len(m.contacts) < maxRememberedContacts {
			m.contacts = append(m.contacts, c)
		}
	}
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b Contact) int { return count(m.isAway(a)) - count(m.isAway(b)) })
	return others
}

// at reports whether o is at the same address.
func (c Contact) at(o Contact) bool { return c.Addr == o.Addr }

// isAway reports whether a contact is known to be in another availability zone.
func (m *Membership) isAway(c Contact) bool {
	return c.AvailabilityZone != "" && c.AvailabilityZone != m.opts.AvailabilityZone
}

// joinOnce asks the contacts in turn, and those that busy ones name instead. It
// reports how many answered, and whether all that did were busy.
func (m *Membership) joinOnce(ctx context.Context, contacts []Contact) (joined int, busy bool) {
	list := slices.Clone(contacts)
	for i, tries := 0, 0; i < len(list) && tries < joinTries && ctx.Err() == nil; i++ {
		if !m.needs(list[i], joined) {
			continue
		}
		tries++
		instead, err := m.exchange(ctx, exchangeTarget{addr: list[i].Addr})
		if err == nil {
			joined++
			continue
		}
		busy = busy || errors.Is(err, errBusy)
		m.log.Debug("membership: contact did not help", "error", err)
		for _, addr := range instead {
			c := Contact{Addr: addr}
			if !slices.ContainsFunc(list, c.at) && addr != m.opts.PeerAddr {
				list = append(list, c)
			}
		}
	}
	return joined, busy && joined == 0
}

// needs reports whether an exchange with a contact brings what those before, of which
// some have answered, did not. Another availability zone's contact is asked only while
// nobody of that zone is known: its table is that of any neighbour, for bytes between
// zones. In a fleet that starts all at once the first few of a zone so meet the others
// while the tables are still small.
func (m *Membership) needs(c Contact, answered int) bool {
	if !m.isAway(c) {
		return answered < joinContacts
	}
	if answered == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.zones[c.AvailabilityZone].usable == 0
}

// heal looks now and then for those on the other side of a cut. A ping to a
// Dead member tells it so, and its refutation and the differing digests bring
// the halves together; a contact that is in neither table starts an exchange.
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
	if c, ok := m.lostContact(); ok && !m.sync.want.IsValid() {
		m.wantSync(c.Addr, now)
	}
}

// lostContact returns a random contact that no usable member has the address
// of.
func (m *Membership) lostContact() (Contact, bool) {
	present := make(map[netip.AddrPort]bool, m.table.usable)
	for _, e := range m.table.order {
		if e.usable() && e.complete() {
			present[e.info.peerAddr] = true
		}
	}
	var lost []Contact
	for _, c := range m.contacts {
		if !present[c.Addr] {
			lost = append(lost, c)
		}
	}
	if len(lost) == 0 {
		return Contact{}, false
	}
	return lost[m.rng.IntN(len(lost))], true
}
