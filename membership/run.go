package membership

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"
)

const (
	// tickInterval is the time between two checks of the timers.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks from which this process counts as paused. A
	// shorter pause cannot fail a probe, since each of a probe's two waits is followed by a tick
	// of its own.
	pauseThreshold = time.Second
	// expiryInterval is the time between two checks for expired tombstones.
	expiryInterval = time.Minute
	// readBackoff keeps a socket whose reads fail immediately from occupying a processor core.
	readBackoff = 50 * time.Millisecond
)

// Run runs the protocol until ctx is done, and then closes Packets. It returns ErrSuperseded if
// another process has replaced this one.
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
	// The buffer is one byte larger than the bound, so that a longer datagram is detected rather
	// than truncated to a valid size.
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
			m.log.Warn("membership: cannot read from socket", "error", err)
			backoff(t, readBackoff)
			continue
		}
		m.handlePacket(buf[:n], from)
	}
}

func backoff(t *tomb.Tomb, d time.Duration) {
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

// syncLoop runs the exchanges that ticks and packets request, one at a time.
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
		m.log.Debug("membership: table exchange failed", "error", err)
	}
}

// tick does everything that is due at the current time.
func (m *Membership) tick() error {
	superseded := false
	m.update(func(now time.Time) {
		m.checkPause(now)
		m.reconcileRelays(now)
		m.reconcileProbe(now)
		m.reconcileSuspects(now)
		m.reconcileTombstones(now)
		m.reviewKnowledge(now)
		m.heal(now)
		m.reconcileSync(now)
		m.gossip(now)
		m.reannounce(now)
		m.gossipCrossZone()
		m.notify()
		superseded = m.superseded
	})
	if superseded {
		return ErrSuperseded
	}
	return nil
}

// checkPause detects that this process was paused (stopped, starved of processor time, or its
// host frozen). The answers to its probes have arrived unread or were lost, and every suspicion
// appears overdue; acting on them, the daemon would declare much of the fleet dead. checkPause
// therefore drops the probes in progress, restarts the suspicions, and plans an exchange to
// fetch the changes that this daemon has missed, including a declaration of its own death.
func (m *Membership) checkPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	first := m.lastTick.IsZero()
	m.lastTick = now
	if first || gap < pauseThreshold {
		return
	}
	m.log.Warn("membership: this process was halted", "gap", gap)
	m.opts.Meter.Paused(gap)
	m.prober.reset()
	m.prober.next = now
	for _, e := range m.table.order {
		e.suspectedAt = e.suspectedAt.Add(gap)
		e.deadline = now.Add(m.opts.SuspicionTimeout)
	}
	m.health.record(false)
	m.health.record(false)
	m.syncWithAny(now)
}
