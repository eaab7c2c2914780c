package membership

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"
)

const (
	// tickInterval is how often the timers are looked at.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks from which this process
	// takes itself for halted. What is shorter cannot fail a probe, since each
	// of its two waits is followed by a tick of its own.
	pauseThreshold = time.Second
	// expiryInterval is how often tombstones are looked at.
	expiryInterval = time.Minute
	// readBackoff keeps a socket that fails at once from taking a whole core.
	readBackoff = 50 * time.Millisecond
)

// Run takes part in the protocol until ctx is done, and closes Packets then.
// The error is ErrSuperseded where another process has taken this one's place.
func (m *Membership) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		<-t.Dying()
		return m.opts.Packets.Close()
	})
	t.Go(func() error { return m.readLoop(t) })
	t.Go(func() error { return m.tickLoop(t) })
	t.Go(func() error { return m.syncLoop(ctx, t) })
	err := t.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (m *Membership) readLoop(t *tomb.Tomb) error {
	// One byte more than the bound, so that a longer datagram is seen as such
	// rather than cut to fit.
	buf := make([]byte, MaxPacketBytes+1)
	for {
		n, from, err := m.opts.Packets.ReadFromUDPAddrPort(buf)
		if !t.Alive() {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "read packets")
		}
		if err != nil {
			m.log.Warn("membership: read failed", "error", err)
			pause(t, readBackoff)
			continue
		}
		m.handlePacket(buf[:n], from)
	}
}

func pause(t *tomb.Tomb, d time.Duration) {
	select {
	case <-t.Dying():
	case <-time.After(d):
	}
}

func (m *Membership) tickLoop(t *tomb.Tomb) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		if err := m.tick(); err != nil {
			return err
		}
	}
}

// syncLoop runs the exchanges that ticks ask for, one at a time.
func (m *Membership) syncLoop(ctx context.Context, t *tomb.Tomb) error {
	for {
		select {
		case <-t.Dying():
			return nil
		case target := <-m.syncWanted:
			m.runSync(ctx, target)
		}
	}
}

func (m *Membership) runSync(ctx context.Context, target exchangeTarget) {
	if _, err := m.exchange(ctx, target); err != nil {
		m.log.Debug("membership: exchange failed", "error", err)
	}
}

// tick reconciles everything that time decides.
func (m *Membership) tick() error {
	superseded := false
	m.update(func(now time.Time) {
		m.checkPause(now)
		m.reconcileRelays(now)
		m.reconcileProbe(now)
		m.reconcileSuspects(now)
		m.reconcileTombstones(now)
		m.heal(now)
		m.reconcileSync(now)
		m.gossip(now)
		m.tellAgain(now)
		m.gossipAcross()
		m.notify()
		superseded = m.superseded
	})
	if superseded {
		return ErrSuperseded
	}
	return nil
}

// checkPause notices that this process was halted (stopped, starved or its host
// frozen). The answers to its probes have arrived meanwhile or were lost, and
// every suspicion looks overdue; acted on, they would have it declare much of
// the fleet dead. So what was under way is dropped, suspicions start anew, and
// the daemon asks another for what it has missed, its own death included.
func (m *Membership) checkPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	first := m.lastTick.IsZero()
	m.lastTick = now
	if first || gap < pauseThreshold {
		return
	}
	m.log.Warn("membership: this process was halted", "gap", gap)
	m.opts.Meter.Paused(gap)
	m.prober.abandon()
	m.prober.next = now
	for _, e := range m.table.order {
		e.suspectedAt = e.suspectedAt.Add(gap)
		e.deadline = now.Add(m.opts.SuspicionTimeout)
	}
	m.health.record(false)
	m.health.record(false)
	m.syncWithAny(now)
}
