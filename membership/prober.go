package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// maxRelays bounds the probes made for others at once.
const maxRelays = 256

// prober visits all members in a random order, then shuffles again: a silent
// member waits no longer than two passes for any one daemon, and about one
// probe interval for the first of all.
type prober struct {
	// ring holds the hosts that are left in this pass, next one last.
	ring    []string
	seq     uint32
	pending *probe
	next    time.Time
	// relays are the probes made for others by their sequence number, in the
	// order of their deadlines.
	relays []relay
}

// probe is the one probe under way.
type probe struct {
	seq    uint32
	host   string
	addr   netip.AddrPort
	boot   uint64
	inc    uint64
	start  time.Time
	asked  int
	nacked bool
	// indirect is set once others were asked.
	indirect bool
	deadline time.Time
}

// relay is a probe in another's place.
type relay struct {
	seq       uint32
	origin    netip.AddrPort
	originSeq uint32
	host      string
	deadline  time.Time
}

// seqMask keeps sequence numbers short. They start at random, so that late
// answers to an earlier life match nothing.
const seqMask = 1<<20 - 1

func newProber(seed uint32) prober { return prober{seq: seed & seqMask} }

func (p *prober) nextSeq() uint32 {
	p.seq = (p.seq + 1) & seqMask
	return p.seq
}

// add puts a member that has just appeared at a random place into the pass. In
// the next pass only, it would be found dead minutes late in a large fleet.
func (p *prober) add(host string, rng *rand.Rand) {
	p.ring = slices.Insert(p.ring, rng.IntN(len(p.ring)+1), host)
}

// refill starts a new pass.
func (p *prober) refill(t *table, self *entry, rng *rand.Rand) {
	p.ring = p.ring[:0]
	for _, e := range t.order {
		if e.usable() && e != self {
			p.ring = append(p.ring, e.host)
		}
	}
	rng.Shuffle(len(p.ring), func(i, j int) { p.ring[i], p.ring[j] = p.ring[j], p.ring[i] })
}

// takeRelay removes and returns the relayed probe with a sequence number.
func (p *prober) takeRelay(seq uint32) (relay, bool) {
	i := slices.IndexFunc(p.relays, func(r relay) bool { return r.seq == seq })
	if i < 0 {
		return relay{}, false
	}
	r := p.relays[i]
	p.relays = slices.Delete(p.relays, i, i+1)
	return r, true
}

// reconcileProbe moves the probe under way on, or starts the next one.
func (m *Membership) reconcileProbe(now time.Time) {
	p := m.prober.pending
	if p != nil && !now.Before(p.deadline) {
		if !p.indirect {
			m.askOthers(p, now)
		} else {
			m.failProbe(p, now)
		}
	}
	if m.prober.pending == nil && !now.Before(m.prober.next) && !m.left {
		m.startProbe(now)
	}
}

func (m *Membership) startProbe(now time.Time) {
	interval := m.health.scale(m.opts.ProbeInterval)
	if m.prober.next.IsZero() {
		// A random phase, so that daemons started together do not probe in step.
		m.prober.next = now.Add(time.Duration(m.rng.Int64N(int64(interval))))
		return
	}
	m.prober.next = now.Add(interval)
	e := m.nextTarget()
	if e == nil {
		return
	}
	p := &probe{
		seq: m.prober.nextSeq(), host: e.host, addr: e.info.peerAddr, boot: e.boot, inc: e.incarnation,
		start: now, deadline: now.Add(m.health.scale(m.opts.ProbeTimeout)),
	}
	m.prober.pending = p
	m.sendPing(p.addr, e.host, p.seq)
}

// nextTarget returns the next usable member of the pass, nil if there is none.
func (m *Membership) nextTarget() *entry {
	if m.table.usable <= 1 {
		return nil
	}
	for range 2 {
		for n := len(m.prober.ring); n > 0; n = len(m.prober.ring) {
			host := m.prober.ring[n-1]
			m.prober.ring = m.prober.ring[:n-1]
			if e := m.table.get(host); e != nil && m.isOther(e) {
				return e
			}
		}
		m.prober.refill(m.table, m.self, m.rng)
	}
	return nil
}

// askOthers asks a few members to probe the silent one, which tells a broken
// path from a broken member.
func (m *Membership) askOthers(p *probe, now time.Time) {
	helpers := m.table.sample(m.rng, m.opts.IndirectProbes, func(e *entry) bool {
		return m.isOther(e) && e.liveness == Alive && e.host != p.host
	})
	p.indirect = true
	p.asked = len(helpers)
	// The rest of the interval counts from here, so that a short halt of this
	// process does not take it from those asked.
	p.deadline = now.Add(m.health.scale(m.opts.ProbeInterval - m.opts.ProbeTimeout))
	m.prober.next = p.deadline
	for _, e := range helpers {
		m.sendPingRequest(e, p)
	}
}

// failProbe suspects the target, unless it has been heard of since the probe
// began. Where none of those asked has answered either, the fault is rather this
// daemon's. It then suspects nobody before it is degraded, since only then are
// its suspects held: a daemon that has just gone deaf would declare the first of
// them dead before it knew better.
func (m *Membership) failProbe(p *probe, now time.Time) {
	m.prober.pending = nil
	m.opts.Meter.Probed(false)
	deaf := p.asked > 0 && !p.nacked
	if p.asked > 0 {
		m.health.record(!deaf)
	}
	if deaf && !m.health.degraded() {
		return
	}
	e := m.table.get(p.host)
	if e == nil || e.boot != p.boot || e.incarnation != p.inc || e.liveness != Alive {
		return
	}
	m.claim(e, Suspect, fromProbe, now)
}

// ackProbe ends the probe under way, or passes the answer on to the daemon that
// the probe was made for.
func (m *Membership) ackProbe(pkt *packet, seq uint32) {
	if p := m.prober.pending; p != nil && p.seq == seq {
		m.prober.pending = nil
		m.health.record(true)
		m.opts.Meter.Probed(true)
		if pkt.GetHost() == p.host && pkt.GetBoot() != p.boot {
			// A new life that may not know of the one before.
			m.sendGossip(p.addr, pkt.GetHost(), pkt.GetBoot())
		}
		return
	}
	if r, ok := m.prober.takeRelay(seq); ok {
		m.sendAck(r.origin, r.host, r.originSeq)
	}
}

// nackProbe notes that one of those asked can be reached.
func (m *Membership) nackProbe(seq uint32) {
	if p := m.prober.pending; p != nil && p.seq == seq {
		p.nacked = true
	}
}

// relayProbe probes a member in another's place.
func (m *Membership) relayProbe(pkt *packet, from netip.AddrPort, now time.Time) {
	if len(m.prober.relays) >= maxRelays {
		return
	}
	req := pkt.GetPingRequest()
	r := relay{
		seq: m.prober.nextSeq(), origin: from, originSeq: req.GetSeq(), host: pkt.GetHost(),
		deadline: now.Add(m.opts.ProbeTimeout),
	}
	m.prober.relays = append(m.prober.relays, r)
	m.sendPing(pkt.target, req.GetTarget(), r.seq)
}

// reconcileRelays reports the relayed probes that nobody answered.
func (m *Membership) reconcileRelays(now time.Time) {
	for len(m.prober.relays) > 0 && !now.Before(m.prober.relays[0].deadline) {
		r := m.prober.relays[0]
		m.prober.relays = m.prober.relays[1:]
		m.sendNack(r.origin, r.host, r.originSeq)
	}
}

// abandon forgets what is under way.
func (p *prober) abandon() {
	p.pending = nil
	p.relays = nil
}
