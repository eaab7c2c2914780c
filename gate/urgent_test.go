package gate_test

import (
	"context"
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

// signature is a call that accepts a short wait, audit one that can wait for several of its own
// service times.
func signature() gate.Call {
	return gate.Call{Route: "signature", Remaining: 800 * ms, MaxWait: 31 * ms, ObjectiveLeft: 250 * ms}
}

func audit() gate.Call {
	return gate.Call{Route: "audit", Priority: 4, Remaining: 2500 * ms, MaxWait: 375 * ms, ObjectiveLeft: 3 * time.Second}
}

const (
	signatureWork = 86 * ms
	auditWork     = 490 * ms
)

func newUrgentGate(slots int, on bool) *gate.Gate {
	opts := gate.DefaultOptions()
	opts.Slots, opts.FixedSlots, opts.UrgentSlots = slots, true, on
	return gate.New(opts)
}

// flood keeps n calls waiting or running until the function it returns is called or the test ends.
func flood(t *testing.T, g *gate.Gate, c gate.Call, work time.Duration, n int) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second)
	})
	for i := range n {
		go func() {
			// The calls end one after the other.
			time.Sleep(time.Duration(i) * work / time.Duration(n))
			for ctx.Err() == nil {
				if ticket, err := g.Admit(ctx, c); err == nil {
					time.Sleep(work)
					ticket.Done(gate.Answered)
				} else {
					time.Sleep(10 * ms)
				}
			}
		}()
	}
	return cancel
}

// serve makes n calls, one after the other with a pause, and returns how many were admitted and the
// longest wait of one.
func serve(t *testing.T, g *gate.Gate, c gate.Call, work, pause time.Duration, n int) (admitted int, longest time.Duration) {
	t.Helper()
	for range n {
		start := time.Now()
		if ticket, err := g.Admit(t.Context(), c); err == nil {
			longest = max(longest, time.Since(start))
			admitted++
			time.Sleep(work)
			ticket.Done(gate.Answered)
		}
		time.Sleep(pause)
	}
	return admitted, longest
}

// Audits hold all slots and release one each 54 ms; a signature accepts a wait of 31 ms. Guards
// against the rejection of urgent calls by a gate that is full of calls that can wait. Without the
// setting, most are rejected.
func TestUrgentCallsFindReservedSlot(t *testing.T) {
	for _, on := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := newUrgentGate(9, on)
			flood(t, g, audit(), auditWork, 14)
			time.Sleep(2 * time.Second)
			// The first signatures arrive before an audit has released its slot.
			serve(t, g, signature(), signatureWork, 50*ms, 20)
			admitted, longest := serve(t, g, signature(), signatureWork, 50*ms, 50)
			t.Logf("reservation %v: %d of 50 admitted, longest wait %v, load %+v", on, admitted, longest, g.Load())
			if on {
				must.Eq(t, 50, admitted)
				must.Eq(t, 0, longest)
				must.Between(t, 2, g.Load().ReservedSlots, 4)
			} else {
				must.Less(t, 30, admitted)
				must.Eq(t, 0, g.Load().ReservedSlots)
			}
		})
	}
}

// Guards against slots that stay reserved after the urgent route has disappeared, and against a
// reservation before any urgent call was seen.
func TestReservationEndsWithUrgentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		flood(t, g, audit(), auditWork, 14)
		time.Sleep(5 * time.Second)
		must.Eq(t, 9, g.Load().InUse)
		must.Eq(t, 0, g.Load().ReservedSlots)
		serve(t, g, signature(), signatureWork, 50*ms, 20)
		must.Positive(t, g.Load().ReservedSlots)
		must.Less(t, 9, g.Load().InUse)
		time.Sleep(13 * time.Second)
		must.Eq(t, 0, g.Load().ReservedSlots)
		must.Eq(t, 9, g.Load().InUse)
	})
}

// Guards against a reservation where it gains nothing: signatures can wait until one of the short
// calls of a later rank releases its slot.
func TestNoReservationWhereUrgentCallsCanWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		short := audit()
		flood(t, g, short, 100*ms, 14)
		time.Sleep(2 * time.Second)
		admitted, _ := serve(t, g, signature(), signatureWork, 50*ms, 50)
		must.Eq(t, 50, admitted)
		must.Eq(t, 0, g.Load().ReservedSlots)
		must.Eq(t, 9, g.Load().InUse)
	})
}

// Guards against slots that long calls occupy right after the start of a gate, before the service
// time of any call is known: the first signature arrives with the first audits.
func TestReservationRightAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		first, err := g.Admit(t.Context(), audit())
		must.NoError(t, err)
		second, err := g.Admit(t.Context(), signature())
		must.NoError(t, err)
		for range 14 {
			admitAsync(t, g, audit(), auditWork)
		}
		must.Less(t, 9, g.Load().InUse)
		must.Positive(t, g.Load().Queued)
		third, err := g.Admit(t.Context(), signature())
		must.NoError(t, err)
		for _, ticket := range []*gate.Ticket{first, second, third} {
			ticket.Done(gate.Answered)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against promises of reserved slots: while only these are free, an audit must be told the
// wait for one of the other slots and a signature none, on arrival as well as in load reports.
func TestForecastsIncludeReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		flood(t, g, audit(), auditWork, 14)
		time.Sleep(2 * time.Second)
		serve(t, g, signature(), signatureWork, 50*ms, 20)
		l := g.Load()
		must.Less(t, 9, l.InUse)
		must.Positive(t, l.Wait)
		must.Eq(t, 0, g.LoadFor(signature()).Wait)
		must.NoError(t, g.Check(signature()))
		// The calls in the queue start in the slots that are not reserved.
		usable := time.Duration(9 - l.ReservedSlots)
		forecast := g.LoadFor(audit()).Wait
		t.Logf("load %+v, wait of an audit %v", l, forecast)
		must.GreaterEq(t, auditWork*time.Duration(l.Queued)/usable, forecast)
		impatient := audit()
		impatient.Remaining = auditWork + 20*ms
		must.Eq(t, errkind.Overloaded, errkind.Of(g.Check(impatient)))
	})
}

// Guards against the starvation of the later rank: urgent calls that use most of the slots leave
// half of them to calls that can wait, if these were free.
func TestReservationLeavesHalfOfTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		flood(t, g, audit(), auditWork, 14)
		time.Sleep(2 * time.Second)
		stop := flood(t, g, signature(), signatureWork, 8)
		time.Sleep(5 * time.Second)
		must.Eq(t, 4, g.Load().ReservedSlots)
		stop()
		time.Sleep(time.Second)
		must.Eq(t, 5, g.Load().InUse)
	})
}

// Guards against a reservation that deadlocks a gate with one slot.
func TestNoReservationOfTheOnlySlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(1, true)
		flood(t, g, audit(), auditWork, 3)
		time.Sleep(2 * time.Second)
		serve(t, g, signature(), signatureWork, 50*ms, 20)
		must.Eq(t, 0, g.Load().ReservedSlots)
		must.Eq(t, 1, g.Load().InUse)
	})
}

// Guards against a reservation for calls that gain nothing by it: their own work takes longer than
// their objective, so that they are late after any wait.
func TestNoReservationForCallsThatAreLateAnyway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		flood(t, g, audit(), auditWork, 14)
		flood(t, g, signature(), 400*ms, 2)
		time.Sleep(10 * time.Second)
		must.Eq(t, 0, g.Load().ReservedSlots)
	})
}

// Senders of an older version state no objective. Guards against calls that are then neither urgent
// nor able to wait: the maximum wait and the deadline must suffice.
func TestReservationWithoutObjectives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		urgent, patient := signature(), audit()
		urgent.ObjectiveLeft, patient.ObjectiveLeft = 0, 0
		flood(t, g, patient, auditWork, 14)
		time.Sleep(2 * time.Second)
		serve(t, g, urgent, signatureWork, 50*ms, 20)
		admitted, _ := serve(t, g, urgent, signatureWork, 50*ms, 50)
		must.Eq(t, 50, admitted)
	})
}

// Guards against a reservation by outdated observations: the calls that held the slots become short,
// so that one is free soon enough, and the gate must notice it by itself.
func TestReservationFollowsServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUrgentGate(9, true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				serve(t, g, signature(), signatureWork, 50*ms, 1)
			}
		}()
		stop := flood(t, g, audit(), auditWork, 14)
		time.Sleep(3 * time.Second)
		must.Positive(t, g.Load().ReservedSlots)
		stop()
		time.Sleep(time.Second)
		flood(t, g, audit(), 20*ms, 14)
		time.Sleep(5 * time.Second)
		must.Eq(t, 0, g.Load().ReservedSlots)
		cancel()
		time.Sleep(time.Second)
	})
}

// Calls of urgent, patient and nested routes arrive, wait, give up and end in any order while the
// number of slots changes. Guards against running calls that are counted twice or never uncounted
// when a route becomes urgent or yields: the slots would stay reserved or be given away twice.
func TestReservationCountsAreBalanced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(rt, "slots")
		calls := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 20, 200).Draw(rt, "calls")
		synctest.Test(t, func(t *testing.T) {
			g := newUrgentGate(slots, true)
			var running, most atomic.Int64
			var group sync.WaitGroup
			for _, n := range calls {
				time.Sleep(time.Duration(n%97) * ms)
				group.Go(func() {
					c := []gate.Call{signature(), audit(), nestedCall(), lookup(0)}[n%4]
					work := []time.Duration{signatureWork, auditWork, 31 * ms, 100 * ms}[n%4]
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%1013+1)*ms)
					defer cancel()
					ticket, err := g.Admit(ctx, c)
					if err != nil {
						return
					}
					most.Store(max(most.Load(), running.Add(1)))
					time.Sleep(work * time.Duration(n%7+1) / 4)
					running.Add(-1)
					ticket.Done(gate.Outcome(n%3 + 1))
				})
			}
			group.Wait()
			must.LessEq(t, int64(slots), most.Load())
			must.Eq(t, 0, g.Load().InUse)
			must.Eq(t, 0, g.Load().Queued)
			// Without urgent calls, audits get all slots again.
			time.Sleep(12 * time.Second)
			for range slots + 2 {
				admitAsync(t, g, audit(), auditWork)
			}
			must.Eq(t, slots, g.Load().InUse)
			time.Sleep(10 * time.Second)
			must.Eq(t, 0, g.Load().InUse)
		})
	})
}
