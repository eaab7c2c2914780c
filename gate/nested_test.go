package gate_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

func lookup(maxWait time.Duration) gate.Call {
	return gate.Call{Route: "lookup", Priority: 2, Remaining: time.Second, MaxWait: maxWait}
}

func nestedCall() gate.Call { return gate.Call{Route: "check", Nested: true, Remaining: time.Second} }

// admitAsync calls Admit in the background and holds the slot for the given time. The channel
// receives the error of Admit.
func admitAsync(t *testing.T, g *gate.Gate, c gate.Call, hold time.Duration) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		ticket, err := g.Admit(t.Context(), c)
		done <- err
		if err == nil {
			time.Sleep(hold)
			ticket.Done(gate.Answered)
		}
	}()
	synctest.Wait()
	return done
}

// All slots are in use, and callers' requests wait. A service makes a nested call for a request
// on which it has worked for 100 ms. Behind the other calls it would be too late, and the work on
// the request would be lost, so it must start first, however urgent the others are.
func TestNestedCallsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		running := mustEnter(t, g, "")
		first := admitAsync(t, g, gate.Call{Route: "booking", Remaining: time.Second}, 0)
		nested := admitAsync(t, g, nestedCall(), 100*time.Millisecond)
		running.Done(gate.Answered)
		must.NoError(t, <-nested)
		synctest.Wait()
		must.Eq(t, 0, len(first))
		must.Eq(t, 1, g.Load().Queued)
		must.NoError(t, <-first)
	})
}

// A service calls itself. Callers' requests take all slots, and each then needs another slot for
// its nested call: all of them wait for each other until their deadlines and fail. With a slot
// reserved for nested calls, every request is answered.
func TestNestedCallCycleDoesNotDeadlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(2, 100)
		g.ReserveNestedSlot()
		var answered atomic.Int64
		for range 8 {
			go func() {
				parent, err := g.Admit(t.Context(), lookup(0))
				must.NoError(t, err)
				defer parent.Done(gate.Answered)
				time.Sleep(10 * time.Millisecond)
				call, err := g.Admit(t.Context(), nestedCall())
				must.NoError(t, err)
				time.Sleep(10 * time.Millisecond)
				call.Done(gate.Answered)
				answered.Add(1)
			}()
		}
		time.Sleep(time.Second)
		must.Eq(t, 8, answered.Load())
	})
}

// Short requests of one route arrive occasionally, long requests of another route constantly.
// Slots are reserved for customers with short calls, but must not be for routes, which have
// priorities: a sixth of the slots would stay unused.
func TestRoutesUseAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(6, 100)
		quick := gate.Call{Route: "probe", Remaining: time.Second}
		for range 20 {
			ticket, err := g.Admit(t.Context(), quick)
			must.NoError(t, err)
			time.Sleep(time.Millisecond)
			ticket.Done(gate.Answered)
		}
		for range 3 {
			for range 6 {
				admitAsync(t, g, lookup(0), 200*time.Millisecond)
			}
			must.Eq(t, 6, g.Load().InUse)
			time.Sleep(time.Second)
		}
	})
}

// Two requests with a maximum wait of 100 ms are expected to wait 40 and 80 ms. New requests with
// a shorter maximum wait overtake them. Each may do so only as long as the two still start within
// their maximum wait and a quarter of it. Otherwise they would leave the queue after waiting in
// vain, and start over at another gate.
func TestNewcomersRespectMaxWaitOfQueuedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := gate.DefaultOptions()
		opts.Slots, opts.ServiceTime = 1, 40*time.Millisecond
		g := gate.New(opts)
		running, err := g.Admit(t.Context(), lookup(0))
		must.NoError(t, err)
		var served []<-chan error
		for range 2 {
			served = append(served, admitAsync(t, g, lookup(100*time.Millisecond), 40*time.Millisecond))
		}
		served = append(served, admitAsync(t, g, lookup(50*time.Millisecond), 40*time.Millisecond))
		for _, patience := range []time.Duration{48, 46, 44} {
			must.Eq(t, errkind.Overloaded, errkind.Of(<-admitAsync(t, g, lookup(patience*time.Millisecond), 0)))
		}
		// A call with an early deadline but the same maximum wait does not overtake the earlier
		// calls.
		earlyDeadline := lookup(100 * time.Millisecond)
		earlyDeadline.Remaining = 200 * time.Millisecond
		must.Eq(t, errkind.Overloaded, errkind.Of(<-admitAsync(t, g, earlyDeadline, 0)))
		time.Sleep(40 * time.Millisecond)
		running.Done(gate.Answered)
		for _, s := range served {
			must.NoError(t, <-s)
		}
		time.Sleep(time.Second)
	})
}

// Senders skip a gate whose expected wait is too long for a call. The expected wait must use the
// service time of each waiting call's share, not the mean over all shares, and counts a slot
// reserved for nested calls as in use.
func TestExpectedWaitUsesServiceTimesOfQueuedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, 10)
		for range 40 {
			ticket, err := g.Admit(t.Context(), lookup(0))
			must.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			ticket.Done(gate.Answered)
			ticket, err = g.Admit(t.Context(), gate.Call{Route: "check", Remaining: time.Second})
			must.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
			ticket.Done(gate.Answered)
		}
		must.Eq(t, 0, g.Load().Wait)
		running := mustEnter(t, g, "")
		admitAsync(t, g, lookup(0), 0)
		admitAsync(t, g, lookup(0), 0)
		must.Between(t, 200*time.Millisecond, g.Load().Wait, 300*time.Millisecond)
		running.Done(gate.Answered)
		synctest.Wait()
	})
}
