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

// admitAsync admits in the background and tells when it was let in.
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

// All slots are taken and callers' requests wait. A service calls for a request that it has
// worked on for 100 ms. Behind the others it would come too late for its parent, whose work
// is lost then; it goes first, however urgent the others are.
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

// A service calls itself. Requests of callers take all slots, and each then needs one for
// the call that it makes: they wait for each other until their time is up, and all fail.
// With a slot kept for nested calls each gets its turn.
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

// Quick requests of one route come now and then, long ones of another all the time. What
// the gate keeps free for customers with quick calls would leave a sixth of the slots
// unused here: routes are ranked by their priorities, and use all.
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

// Two requests may wait 100 ms, and will have to wait 40 and 80. Others come that have less
// patience left, and go before them. Each of these may only as long as the two are served
// within their patience and a quarter of it: they would leave after a wait in vain, and
// begin anew elsewhere.
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
		// An early deadline is no reason to go before those that came first.
		hurried := lookup(100 * time.Millisecond)
		hurried.Remaining = 200 * time.Millisecond
		must.Eq(t, errkind.Overloaded, errkind.Of(<-admitAsync(t, g, hurried, 0)))
		time.Sleep(40 * time.Millisecond)
		running.Done(gate.Answered)
		for _, s := range served {
			must.NoError(t, <-s)
		}
		time.Sleep(time.Second)
	})
}

// Senders pass a gate over whose queue is too long for a call. What it tells counts the
// calls that wait by the time that each of them takes, and the slots kept for nested calls.
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
