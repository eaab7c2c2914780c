package inbound

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// The model: bodies of uploads travel over the link of a host with 15 Mbit/s, on which the parts queue
// in the order in which they are sent. The daemons of the senders, and that of the host, are paused at
// times because they have used up their processor quota.
const (
	modelMbps    = 15
	modelHop     = 1400 * time.Microsecond
	modelSenders = 60
	modelPeriod  = 100 * time.Millisecond // of the processor quota
	modelWarmUp  = 5 * time.Second
	modelLength  = 30 * time.Second
)

type linkModel struct {
	// offered is the demand as a multiple of the link's capacity.
	offered float64
	// senderPauses and hostPauses are the shares of quota periods in which a daemon is paused, for 30
	// to 80 ms.
	senderPauses, hostPauses float64
	// dead is the share of bodies whose sender stops after its first part.
	dead float64
	// length is the age of the model until which the use of the link is measured.
	length time.Duration

	// host identifies the receiving host among those with pauses of their own.
	host  int
	start time.Time
	pacer *pacer

	mu     sync.Mutex
	freeAt time.Time
	// carried is the number of bytes received, queued the wait of a small call at regular times.
	carried int64
	queued  []time.Duration
	times   []time.Duration
}

// waitWhilePaused waits until the daemon of a host is not paused.
func (m *linkModel) waitWhilePaused(host int, share float64) {
	age := time.Since(m.start)
	period := age / modelPeriod
	rng := rand.New(rand.NewPCG(uint64(host), uint64(period)))
	if rng.Float64() >= share {
		return
	}
	length := 30*time.Millisecond + time.Duration(rng.Int64N(int64(50*time.Millisecond)))
	begin := period*modelPeriod + time.Duration(rng.Int64N(int64(modelPeriod-length)))
	if age >= begin && age < begin+length {
		time.Sleep(begin + length - age)
	}
}

// carry sends the bytes over the link and returns when they have arrived.
func (m *linkModel) carry(bytes int) {
	m.mu.Lock()
	now := time.Now()
	if m.freeAt.Before(now) {
		m.freeAt = now
	}
	m.freeAt = m.freeAt.Add(time.Duration(float64(bytes) * 8 / (modelMbps * 1e6) * float64(time.Second)))
	at := m.freeAt
	m.mu.Unlock()
	time.Sleep(time.Until(at))
	if age := time.Since(m.start); age > modelWarmUp && age <= m.length {
		m.mu.Lock()
		m.carried += int64(bytes)
		m.mu.Unlock()
	}
}

// transport returns the transport of a body that a sender sends.
func (m *linkModel) transport(ctx context.Context, sender, length int, dies bool) transport {
	// The sender sends the parts one after the other.
	requests, arrived := make(chan int, 100), make(chan int, 100)
	go func() {
		for {
			var n int
			select {
			case n = <-requests:
			case <-ctx.Done():
				return
			}
			m.waitWhilePaused(sender, m.senderPauses)
			go func() {
				time.Sleep(modelHop)
				m.carry(n)
				arrived <- n
			}()
			if dies {
				return
			}
		}
	}()
	have := 0
	return transport{
		request: func(n int) error {
			m.waitWhilePaused(m.host, m.hostPauses)
			if n == 0 {
				n = length
			}
			time.AfterFunc(modelHop, func() { requests <- n })
			return nil
		},
		read: func(part []byte) error {
			defer m.waitWhilePaused(m.host, m.hostPauses)
			for have < len(part) {
				select {
				case n := <-arrived:
					have += n
				case <-time.After(3 * time.Second):
					return context.DeadlineExceeded
				}
			}
			have -= len(part)
			return nil
		},
	}
}

// bodyLength draws the length of a body, with a mean of 60 kB and up to six times that.
func bodyLength(rng *rand.Rand) int {
	if rng.Float64() < 0.065 {
		return 50_000 + rng.IntN(310_000)
	}
	return 50_000
}

// run offers bodies at random and returns the share of the link that was used.
func (m *linkModel) run(t *testing.T, adaptive bool) (used float64) {
	synctest.Test(t, func(t *testing.T) {
		m.start, m.length, m.pacer = time.Now(), modelLength, newPacer(modelMbps, adaptive)
		rng := rand.New(rand.NewPCG(1, 2))
		rate := m.offered * modelMbps * 1e6 / 8 / 60_000
		var bodies sync.WaitGroup
		go func() {
			for time.Since(m.start) < modelLength {
				time.Sleep(10 * time.Millisecond)
				m.mu.Lock()
				m.queued = append(m.queued, max(time.Until(m.freeAt), 0))
				m.mu.Unlock()
			}
		}()
		for time.Since(m.start) < modelLength {
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			if m.pacer.checkWait(700*time.Millisecond) != nil {
				continue
			}
			length := bodyLength(rng)
			sender, dies := 1+rng.IntN(modelSenders), rng.Float64() < m.dead
			bodies.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				tr := m.transport(ctx, sender, length, dies)
				begun := time.Now()
				if m.pacer.receive(t.Context(), make([]byte, length), tr) == nil {
					m.mu.Lock()
					m.times = append(m.times, time.Since(begun))
					m.mu.Unlock()
				}
			})
		}
		m.mu.Lock()
		used = float64(m.carried) / (modelMbps * 1e6 / 8 * (modelLength - modelWarmUp).Seconds())
		m.mu.Unlock()
		bodies.Wait()
		must.Eq(t, 0, m.pacer.pendingBytes.Load())
	})
	t.Logf("adaptive %-5v senders %.2f host %.2f dead %.2f: link used %.3f, small calls wait p50 %v p99 %v, bodies p50 %v p90 %v p99 %v",
		adaptive, m.senderPauses, m.hostPauses, m.dead, used, quantile(m.queued, 0.5), quantile(m.queued, 0.99), quantile(m.times, 0.5), quantile(m.times, 0.9), quantile(m.times, 0.99))
	return used
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Round(time.Millisecond)
}

// The load: uploads arrive faster than the link of a vault host carries them, from daemons that are
// paused at times. The link must carry nearly what it can, so that few uploads are rejected, and a small
// call must wait for less than a tenth of an objective of 800 ms. Before the window, two parts were in
// flight whether they were late or not.
func TestWindow_KeepsTheLinkBusy(t *testing.T) {
	for _, test := range []struct {
		senderPauses, hostPauses, dead float64
		atLeast                        float64
	}{
		{atLeast: 0.95},
		{senderPauses: 0.3, atLeast: 0.9},
		{senderPauses: 0.6, atLeast: 0.9},
		{senderPauses: 0.3, dead: 0.05, atLeast: 0.9},
		// While its own daemon is paused, the link carries only what has been requested before.
		{senderPauses: 0.3, hostPauses: 0.3, atLeast: 0.85},
		{senderPauses: 0.6, hostPauses: 0.6, atLeast: 0.85},
	} {
		model := func() *linkModel {
			return &linkModel{offered: 1.2, senderPauses: test.senderPauses, hostPauses: test.hostPauses, dead: test.dead}
		}
		model().run(t, false)
		m := model()
		must.GreaterEq(t, test.atLeast, m.run(t, true))
		must.Less(t, 80*time.Millisecond, quantile(m.queued, 0.99))
	}
}

// At 0.7 of the capacity nothing is rejected, and a body must not take longer than without the window.
func TestWindow_BodiesAreNotDelayedBelowCapacity(t *testing.T) {
	before, now := &linkModel{offered: 0.7, senderPauses: 0.3}, &linkModel{offered: 0.7, senderPauses: 0.3}
	before.run(t, false)
	now.run(t, true)
	must.LessEq(t, quantile(before.times, 0.5), quantile(now.times, 0.5))
	must.LessEq(t, quantile(before.times, 0.99), quantile(now.times, 0.99))
}
