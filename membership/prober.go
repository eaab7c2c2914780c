package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// maxRelays bounds the concurrent probes on behalf of other daemons.
const maxRelays = 256

// prober probes all members in a random order and then shuffles them again. A silent member is
// probed by any one daemon within two passes at the latest, and by the first of all daemons
// after about one probe interval.
type prober struct {
	// targets holds the hosts left to probe in this pass, the next one last.
	targets []string
	seq     uint32
	pending *probe
	next    time.Time
	// relays holds the probes on behalf of other daemons, in the order of their deadlines. Their
	// answers are matched by sequence number.
	relays []relayedProbe
}

// probe is the probe in progress.
type probe struct {
	seq         uint32
	host        string
	addr        netip.AddrPort
	boot        uint64
	incarnation uint64
	start       time.Time
	asked       int
	nacked      bool
	// indirect is set once other members were asked to probe the target.
	indirect bool
	deadline time.Time
}

// relayedProbe is a probe on behalf of another daemon.
type relayedProbe struct {
	seq       uint32
	origin    netip.AddrPort
	originSeq uint32
	host      string
	deadline  time.Time
}

// seqMask keeps sequence numbers short. They start at a random value, so that late answers to an
// earlier process match no probe.
const seqMask = 1<<20 - 1

func newProber(seed uint32) prober { return prober{seq: seed & seqMask} }

func (p *prober) nextSeq() uint32 {
	p.seq = (p.seq + 1) & seqMask
	return p.seq
}

// add inserts a member that has just become usable at a random position of the current pass. If
// it were only part of the next pass, its death would be detected minutes late in a large fleet.
func (p *prober) add(host string, rng *rand.Rand) {
	p.targets = slices.Insert(p.targets, rng.IntN(len(p.targets)+1), host)
}

// refill starts a new pass.
func (p *prober) refill(t *table, self *entry, rng *rand.Rand) {
	p.targets = p.targets[:0]
	for _, e := range t.order {
		if e.usable() && e != self {
			p.targets = append(p.targets, e.host)
		}
	}
	rng.Shuffle(len(p.targets), func(i, j int) { p.targets[i], p.targets[j] = p.targets[j], p.targets[i] })
}

// takeRelay removes and returns the relayed probe with a sequence number.
func (p *prober) takeRelay(seq uint32) (relayedProbe, bool) {
	i := slices.IndexFunc(p.relays, func(r relayedProbe) bool { return r.seq == seq })
	if i < 0 {
		return relayedProbe{}, false
	}
	r := p.relays[i]
	p.relays = slices.Delete(p.relays, i, i+1)
	return r, true
}

// reconcileProbe advances the probe in progress, or starts the next one.
func (m *Membership) reconcileProbe(now time.Time) {
	p := m.prober.pending
	if p != nil && !now.Before(p.deadline) {
		if !p.indirect {
			m.probeIndirectly(p, now)
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
		// Start at a random phase, so that daemons started together do not probe in lockstep.
		m.prober.next = now.Add(time.Duration(m.rng.Int64N(int64(interval))))
		return
	}
	m.prober.next = now.Add(interval)
	e := m.nextTarget()
	if e == nil {
		return
	}
	p := &probe{
		seq: m.prober.nextSeq(), host: e.host, addr: e.info.peerAddr, boot: e.boot, incarnation: e.incarnation,
		start: now, deadline: now.Add(m.health.scale(m.opts.ProbeTimeout)),
	}
	m.prober.pending = p
	m.sendPing(p.addr, e.host, p.seq)
}

// nextTarget returns the next usable member of the pass, or nil if there is none.
func (m *Membership) nextTarget() *entry {
	if m.table.usable <= 1 {
		return nil
	}
	for range 2 {
		for n := len(m.prober.targets); n > 0; n = len(m.prober.targets) {
			host := m.prober.targets[n-1]
			m.prober.targets = m.prober.targets[:n-1]
			if e := m.table.get(host); e != nil && m.isOther(e) {
				return e
			}
		}
		m.prober.refill(m.table, m.self, m.rng)
	}
	return nil
}

// probeIndirectly asks a few members to probe the target, to distinguish a broken network path
// from a failed member.
func (m *Membership) probeIndirectly(p *probe, now time.Time) {
	helpers := m.table.sample(m.rng, m.opts.IndirectProbes, func(e *entry) bool {
		return m.isOther(e) && e.liveness == Alive && e.host != p.host
	})
	p.indirect = true
	p.asked = len(helpers)
	// Measure the rest of the interval from now, so that a short pause of this process does not
	// shorten the time for the indirect probes.
	p.deadline = now.Add(m.health.scale(m.opts.ProbeInterval - m.opts.ProbeTimeout))
	m.prober.next = p.deadline
	for _, e := range helpers {
		m.sendPingRequest(e, p)
	}
}

// failProbe suspects the target, unless the target's record has changed since the probe began.
// If none of the members asked has answered either, this daemon is more likely at fault than the
// target. It then suspects no member until it is degraded, because only a degraded daemon defers
// the deadlines of its suspects: a daemon whose network has just failed would declare the first
// of them dead before it detected its own fault.
func (m *Membership) failProbe(p *probe, now time.Time) {
	m.prober.pending = nil
	m.opts.Meter.Probed(false)
	isolated := p.asked > 0 && !p.nacked
	if p.asked > 0 {
		m.health.record(!isolated)
	}
	if isolated && !m.health.degraded() {
		return
	}
	e := m.table.get(p.host)
	if e == nil || e.boot != p.boot || e.incarnation != p.incarnation || e.liveness != Alive {
		return
	}
	m.declare(e, Suspect, fromProbe, now)
}

// ackProbe completes the probe in progress, or forwards the answer to the daemon on whose behalf
// the probe was made.
func (m *Membership) ackProbe(pkt *packet, seq uint32) {
	if p := m.prober.pending; p != nil && p.seq == seq {
		m.prober.pending = nil
		m.health.record(true)
		m.opts.Meter.Probed(true)
		if pkt.GetHost() == p.host && pkt.GetBoot() != p.boot {
			// A new process that may not know of its predecessor. The packet carries that state.
			m.sendGossip(p.addr, pkt.GetHost(), pkt.GetBoot())
		}
		return
	}
	if r, ok := m.prober.takeRelay(seq); ok {
		m.sendAck(r.origin, r.host, r.originSeq)
	}
}

// nackProbe records that one of the members asked can be reached.
func (m *Membership) nackProbe(seq uint32) {
	if p := m.prober.pending; p != nil && p.seq == seq {
		p.nacked = true
	}
}

// relayProbe probes a member on behalf of another daemon.
func (m *Membership) relayProbe(pkt *packet, from netip.AddrPort, now time.Time) {
	if len(m.prober.relays) >= maxRelays {
		return
	}
	req := pkt.GetPingRequest()
	r := relayedProbe{
		seq: m.prober.nextSeq(), origin: from, originSeq: req.GetSeq(), host: pkt.GetHost(),
		deadline: now.Add(m.opts.ProbeTimeout),
	}
	m.prober.relays = append(m.prober.relays, r)
	m.sendPing(pkt.target, req.GetTarget(), r.seq)
}

// reconcileRelays sends a Nack for each relayed probe that has timed out.
func (m *Membership) reconcileRelays(now time.Time) {
	for len(m.prober.relays) > 0 && !now.Before(m.prober.relays[0].deadline) {
		r := m.prober.relays[0]
		m.prober.relays = m.prober.relays[1:]
		m.sendNack(r.origin, r.host, r.originSeq)
	}
}

// reset drops the probe in progress and the relayed probes.
func (p *prober) reset() {
	p.pending = nil
	p.relays = nil
}
