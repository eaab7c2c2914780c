package gate_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

func newGate(slots, maxQueue int) *gate.Gate {
	opts := gate.DefaultOptions()
	opts.Slots, opts.MaxQueue = slots, maxQueue
	return gate.New(opts)
}

func mustEnter(t *testing.T, g *gate.Gate, customer string) *gate.Ticket {
	t.Helper()
	ticket, err := g.Enter(t.Context(), customer, time.Hour)
	must.NoError(t, err)
	return ticket
}

// enterAsync calls Enter in the background. The channel receives the kind of the error.
func enterAsync(ctx context.Context, g *gate.Gate, customer string) <-chan errkind.Kind {
	kind := make(chan errkind.Kind, 1)
	go func() {
		ticket, err := g.Enter(ctx, customer, time.Hour)
		if err == nil {
			ticket.Done(gate.Answered)
		}
		kind <- errkind.Of(err)
	}()
	synctest.Wait()
	return kind
}

func TestRejectsOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		start := time.Now()
		_, err := g.Enter(t.Context(), "a", 0)
		must.Eq(t, errkind.DeadlineNotRun, errkind.Of(err))
		running := mustEnter(t, g, "a")
		_, err = g.Enter(t.Context(), "a", time.Millisecond)
		must.Eq(t, errkind.DeadlineNotRun, errkind.Of(err))
		_, err = g.Enter(t.Context(), "a", 7*time.Millisecond)
		must.Eq(t, errkind.Overloaded, errkind.Of(err))
		must.Positive(t, errkind.RetryAfterOf(err))
		must.Eq(t, start, time.Now())
		running.Done(gate.Answered)
	})
}

// Check is called before a large body is requested from the sender. It must return the same kind
// of error as Admit and must acquire no slot.
func TestCheckMatchesAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		must.Eq(t, errkind.DeadlineNotRun, errkind.Of(g.Check(gate.Call{Customer: "a"})))
		must.NoError(t, g.Check(gate.Call{Customer: "a", Remaining: time.Second}))
		must.Eq(t, 0, g.Load().InUse)
		running := mustEnter(t, g, "a")
		call := gate.Call{Customer: "a", Remaining: 7 * time.Millisecond}
		_, err := g.Admit(t.Context(), call)
		must.Eq(t, errkind.Of(err), errkind.Of(g.Check(call)))
		must.Eq(t, 0, g.Load().Queued)
		g.Drain()
		must.Eq(t, errkind.Draining, errkind.Of(g.Check(gate.Call{Customer: "a", Remaining: time.Second})))
		running.Done(gate.Answered)
	})
}

// The caller of a waiting call cancels at the moment at which the slot is released, or before it.
// The slot must be neither lost nor assigned twice.
func TestCanceledWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		running := mustEnter(t, g, "a")
		ctx, cancel := context.WithCancel(t.Context())
		kind := enterAsync(ctx, g, "a")
		must.Eq(t, 1, g.Load().Queued)
		cancel()
		must.Eq(t, errkind.Canceled, <-kind)
		must.Eq(t, gate.Load{InUse: 1, Slots: 1, ServiceTime: 5 * time.Millisecond, Wait: 5 * time.Millisecond}, g.Load())
		running.Done(gate.Answered)
		running.Done(gate.Answered)
		must.Eq(t, 0, g.Load().InUse)
		for range 100 {
			ctx, cancel := context.WithCancel(t.Context())
			running := mustEnter(t, g, "a")
			kind := enterAsync(ctx, g, "a")
			cancel()
			running.Done(gate.Answered)
			<-kind
			must.Eq(t, 0, g.Load().InUse)
		}
	})
}

// The backend server becomes slow while a call waits. The call's remaining time suffices by the
// old service time estimate but not by the new one, so the call must be rejected: it would hold
// the slot in vain.
func TestRejectsQueuedCallWithTooLittleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		running := mustEnter(t, g, "a")
		time.AfterFunc(90*time.Millisecond, func() { running.Done(gate.Answered) })
		_, err := g.Enter(t.Context(), "a", 100*time.Millisecond)
		must.Eq(t, errkind.DeadlineNotRun, errkind.Of(err))
		must.Eq(t, 0, g.Load().InUse)
	})
}

// The gate drains while calls run and wait. New calls are rejected, the other calls end normally,
// and the gate is idle only after they have ended.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		running := mustEnter(t, g, "a")
		waiting := enterAsync(t.Context(), g, "a")
		g.Drain()
		must.Eq(t, errkind.Draining, <-enterAsync(t.Context(), g, "b"))
		select {
		case <-g.Idle():
			t.Fatal("idle while a call runs")
		default:
		}
		running.Done(gate.Answered)
		must.Eq(t, errkind.None, <-waiting)
		<-g.Idle()
	})
}

// One customer fills the queue before a call of another customer arrives. The newest call of the
// first customer must be displaced, and the call of the second customer must be queued.
func TestFullQueueDisplacesLongestCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 3)
		running := mustEnter(t, g, "a")
		var a []<-chan errkind.Kind
		for range 3 {
			a = append(a, enterAsync(t.Context(), g, "a"))
		}
		must.Eq(t, errkind.Overloaded, <-enterAsync(t.Context(), g, "a"))
		b := enterAsync(t.Context(), g, "b")
		must.Eq(t, errkind.Overloaded, <-a[2])
		running.Done(gate.Answered)
		must.Eq(t, errkind.None, <-b)
		must.Eq(t, errkind.None, <-a[0])
		must.Eq(t, errkind.None, <-a[1])
	})
}

// A customer's calls were slow once, and other customers have used the slots since. Its calls are
// rejected for the old service time estimate, which must not last forever.
func TestServiceTimeEstimateRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		slow := mustEnter(t, g, "a")
		time.Sleep(time.Second)
		slow.Done(gate.Answered)
		taken := mustEnter(t, g, "b")
		enter := func() errkind.Kind {
			_, err := g.Enter(t.Context(), "a", 50*time.Millisecond)
			return errkind.Of(err)
		}
		must.Eq(t, errkind.DeadlineNotRun, enter())
		start := time.Now()
		for range 200 {
			if enter(); time.Since(start) > 0 {
				taken.Done(gate.Answered)
				return
			}
		}
		t.Fatal("never let in to wait")
	})
}

// A customer's call has run for an hour when other customers start to wait for the slot. The
// customer's next call must wait for some of their calls, not for an hour's worth of them.
func TestDebtIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 100)
		long := mustEnter(t, g, "a")
		time.Sleep(time.Hour)
		for range 30 {
			go func() {
				ticket, err := g.Enter(context.Background(), "b", time.Hour)
				must.NoError(t, err)
				time.Sleep(time.Second)
				ticket.Done(gate.Answered)
			}()
		}
		a := enterAsync(t.Context(), g, "a")
		start := time.Now()
		long.Done(gate.Answered)
		must.Eq(t, errkind.None, <-a)
		must.Less(t, 15*time.Second, time.Since(start))
		g.Drain()
		<-g.Idle()
	})
}

func TestSlotsGrowAndShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		running := mustEnter(t, g, "a")
		waiting := enterAsync(t.Context(), g, "a")
		g.SetSlots(2)
		must.Eq(t, errkind.None, <-waiting)
		g.SetSlots(1)
		waiting = enterAsync(t.Context(), g, "a")
		must.Eq(t, 1, g.Load().Queued)
		running.Done(gate.Answered)
		must.Eq(t, errkind.None, <-waiting)
	})
}

// Calls of several customers arrive, wait, give up and end in any order. The calls in flight must
// never exceed the slots, and no call or slot must be left over at the end.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		calls := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 60).Draw(rt, "calls")
		g := newGate(slots, rapid.IntRange(1, 8).Draw(rt, "maxQueue"))
		synctest.Test(t, func(t *testing.T) {
			var running, most atomic.Int64
			var group sync.WaitGroup
			for _, c := range calls {
				time.Sleep(time.Duration(c%5) * time.Millisecond)
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(c%29+1)*time.Millisecond)
					defer cancel()
					ticket, err := g.Enter(ctx, fmt.Sprint(c%3), time.Duration(c%37+1)*time.Millisecond)
					if err != nil {
						return
					}
					most.Store(max(most.Load(), running.Add(1)))
					time.Sleep(time.Duration(c%23) * time.Millisecond)
					running.Add(-1)
					ticket.Done(gate.Outcome(c%4 + 1))
				})
			}
			group.Wait()
			must.LessEq(t, int64(slots), most.Load())
		})
		must.Eq(t, 0, g.Load().InUse)
		must.Eq(t, 0, g.Load().Queued)
	})
}

func TestEnterAllocates(t *testing.T) {
	g := newGate(10, 10)
	ctx := context.Background()
	must.LessEq(t, 1, testing.AllocsPerRun(1000, func() {
		ticket, _ := g.Enter(ctx, "a", time.Second)
		ticket.Done(gate.Answered)
	}))
}

func BenchmarkEnter(b *testing.B) {
	g := newGate(64, 1024)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ctx := context.Background()
		for pb.Next() {
			if ticket, err := g.Enter(ctx, "a", time.Second); err == nil {
				ticket.Done(gate.Answered)
			}
		}
	})
}

// BenchmarkReject measures rejections with all slots in use and a full queue of one customer.
func BenchmarkReject(b *testing.B) {
	for _, queued := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			g := newGate(1, queued)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if _, err := g.Enter(ctx, "a", time.Hour); err != nil {
				b.Fatal(err)
			}
			for range queued {
				go func() { _, _ = g.Enter(ctx, "a", time.Hour) }()
			}
			for g.Load().Queued < queued {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = g.Enter(ctx, "a", 2*time.Hour)
			}
		})
	}
}

// A backend server sheds half of its calls at any load. If each shed call reduced the slots, a
// single slot would be left after a few calls, and callers would be rejected although the server
// can run the other half.
func TestFixedSlotsIgnoreSheds(t *testing.T) {
	for _, trusted := range []bool{false, true} {
		opts := gate.DefaultOptions()
		opts.Slots, opts.FixedSlots = 9, trusted
		g := gate.New(opts)
		for range 20 {
			ticket, err := g.Enter(t.Context(), "a", time.Hour)
			must.NoError(t, err)
			ticket.Done(gate.Shed)
		}
		must.Eq(t, trusted, g.Load().Slots == 9)
	}
}

// All slots are in use by calls of 100 ms. A call with 150 ms left until its objective must not
// wait for one: it would be late, and so would the calls behind it. A call with more time left
// may wait.
func TestWaitIsBoundedByTheObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := gate.DefaultOptions()
		opts.Slots, opts.ServiceTime = 1, 100*time.Millisecond
		g := gate.New(opts)
		first, err := g.Enter(t.Context(), "a", time.Hour)
		must.NoError(t, err)
		c := gate.Call{Customer: "a", Remaining: time.Hour, MaxWait: 300 * time.Millisecond, ObjectiveLeft: 150 * time.Millisecond}
		_, err = g.Admit(t.Context(), c)
		must.Eq(t, errkind.Overloaded, errkind.Of(err))
		c.ObjectiveLeft = 400 * time.Millisecond
		entered := make(chan error, 1)
		go func() {
			_, err := g.Admit(t.Context(), c)
			entered <- err
		}()
		synctest.Wait()
		must.Eq(t, 1, g.Load().Queued)
		first.Done(gate.Answered)
		must.NoError(t, <-entered)
	})
}
