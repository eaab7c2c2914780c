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

// Join exchanges tables with a few of the contacts and returns how many
// answered. It tries until one has, or ctx is done; before each attempt it
// waits a random time (full jitter), so that a zone that restarts does not come
// in one wave. Without contacts other than the daemon itself it returns 0.
func (m *Membership) Join(ctx context.Context, contacts []netip.AddrPort) (int, error) {
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

// remember keeps the contacts for healing a cut, and returns them shuffled
// without the daemon itself.
func (m *Membership) remember(contacts []netip.AddrPort) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []netip.AddrPort
	for _, c := range contacts {
		c = netip.AddrPortFrom(c.Addr().Unmap(), c.Port())
		if c == m.self.info.peerAddr || slices.Contains(others, c) {
			continue
		}
		others = append(others, c)
		if !slices.Contains(m.contacts, c) && len(m.contacts) < maxRememberedContacts {
			m.contacts = append(m.contacts, c)
		}
	}
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// joinOnce asks the contacts in turn, and those that busy ones name instead. It
// reports how many answered, and whether all that did were busy.
func (m *Membership) joinOnce(ctx context.Context, contacts []netip.AddrPort) (joined int, busy bool) {
	asked := slices.Clone(contacts)
	for i := 0; i < min(len(asked), joinTries) && joined < joinContacts && ctx.Err() == nil; i++ {
		instead, err := m.exchange(ctx, asked[i])
		if err == nil {
			joined++
			continue
		}
		busy = busy || errors.Is(err, errBusy)
		m.log.Debug("membership: contact did not help", "error", err)
		for _, c := range instead {
			if !slices.Contains(asked, c) && c != m.opts.PeerAddr {
				asked = append(asked, c)
			}
		}
	}
	return joined, busy && joined == 0
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
		m.wantSync(c, now)
	}
}

// lostContact returns a random contact that no usable member has the address
// of.
func (m *Membership) lostContact() (netip.AddrPort, bool) {
	present := make(map[netip.AddrPort]bool, m.table.usable)
	for _, e := range m.table.order {
		if e.usable() && e.complete() {
			present[e.info.peerAddr] = true
		}
	}
	var lost []netip.AddrPort
	for _, c := range m.contacts {
		if !present[c] {
			lost = append(lost, c)
		}
	}
	if len(lost) == 0 {
		return netip.AddrPort{}, false
	}
	return lost[m.rng.IntN(len(lost))], true
}
