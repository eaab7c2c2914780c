package inbound

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
)

const testPart = 23_437

func newTestWindow() *partWindow { return newPacer(15, true).window }

func acquireNow(t *testing.T, b *transfer) *part {
	t.Helper()
	begun := time.Now()
	p, err := b.acquire(t.Context(), testPart)
	must.NoError(t, err)
	must.Eq(t, 0, time.Since(begun))
	return p
}

// Guards against bodies that share the link: when a part is received, the body that began first goes on.
func TestWindow_OrderOfBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWindow()
		first, second, third := w.begin(), w.begin(), w.begin()
		inFlight := []*part{acquireNow(t, first), acquireNow(t, second)}
		var order []*transfer
		for _, b := range []*transfer{third, second, first} {
			go func() {
				p, err := b.acquire(t.Context(), testPart)
				must.NoError(t, err)
				order = append(order, b)
				time.Sleep(time.Millisecond)
				p.done(true)
			}()
			synctest.Wait()
		}
		inFlight[0].done(true)
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, []uint64{1, 3, 2}, []uint64{order[0].seq, order[1].seq, order[2].seq}, must.Sprint(
			"the second body has a part outstanding, and its sender may be slow"))
		inFlight[1].done(true)
	})
}

// The sender of one part is slow. A part requested after it has been received, so that the link has
// capacity for another one.
func TestWindow_OvertakenPartIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWindow()
		slow := acquireNow(t, w.begin())
		time.Sleep(time.Millisecond)
		acquireNow(t, w.begin()).done(true)
		acquireNow(t, w.begin())
		acquireNow(t, w.begin())
		must.True(t, slow.late)
	})
}

// The senders of all parts in flight are slow. Others must not wait for them longer than idleTimeout.
// The parts outstanding stay bounded, so that small calls do not wait long once all of them arrive, and
// stalled senders do not keep the others waiting for good.
func TestWindow_SlowSenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWindow()
		begun := time.Now()
		var waits []time.Duration
		for range maxOutstanding + 1 {
			_, err := w.begin().acquire(t.Context(), testPart)
			must.NoError(t, err)
			waits = append(waits, time.Since(begun))
			w.mu.Lock()
			must.LessEq(t, maxOutstanding, len(w.outstanding))
			w.mu.Unlock()
		}
		must.Eq(t, []time.Duration{0, 0, idleTimeout, idleTimeout, 2 * idleTimeout, latePartTimeout}, waits)
		w.timer.Stop()
	})
}

// A call ends while its body waits for the window, or at the same moment gets a part. Neither may keep
// a place.
func TestWindow_CanceledTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWindow()
		held := []*part{acquireNow(t, w.begin()), acquireNow(t, w.begin())}
		ctx, cancel := context.WithCancel(t.Context())
		errs := make(chan error)
		go func() {
			_, err := w.begin().acquire(ctx, testPart)
			errs <- err
		}()
		synctest.Wait()
		cancel()
		must.Eq(t, errkind.DeadlineNotRun, errkind.Of(<-errs))
		w.mu.Lock()
		must.Eq(t, 0, len(w.waiting))
		w.mu.Unlock()
		for _, p := range held {
			p.done(false)
		}
		must.Eq(t, 0, len(w.outstanding))
	})
}

// A body is read with an error in the middle. All its places must be released, and nothing may stay
// pending.
func TestPacer_FailedBodyReleasesItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(15, true)
		reads := 0
		err := p.receive(t.Context(), make([]byte, 300_000), transport{
			request: func(int) error { return nil },
			read: func([]byte) error {
				time.Sleep(10 * time.Millisecond)
				if reads++; reads == 3 {
					return context.DeadlineExceeded
				}
				return nil
			},
		})
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, 0, p.pendingBytes.Load())
		must.Eq(t, 0, len(p.window.outstanding))
		must.Eq(t, 0, len(p.window.waiting))
	})
}
