package gate_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

func newGate(slots int) *gate.Gate {
	opts := gate.DefaultOptions()
	opts.Slots = slots
	return gate.New(opts)
}

func TestEnterQueuesAndRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		first, err := g.Enter(t.Context(), "a", time.Second)
		must.NoError(t, err)

		_, err = g.Enter(t.Context(), "a", time.Millisecond)
		must.Eq(t, errkind.DeadlineNotRun, errkind.Of(err))

		go func() {
			time.Sleep(10 * time.Millisecond)
			first.Done(gate.Answered)
			first.Done(gate.Answered)
		}()
		second, err := g.Enter(t.Context(), "a", time.Second)
		must.NoError(t, err)
		must.Eq(t, 1, g.Load().InUse)

		g.Drain()
		_, err = g.Enter(t.Context(), "a", time.Second)
		must.Eq(t, errkind.Draining, errkind.Of(err))
		second.Done(gate.Answered)
		<-g.Idle()
	})
}

func TestCanceledWaiterLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		first, err := g.Enter(t.Context(), "a", time.Second)
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = g.Enter(ctx, "a", time.Second)
		must.Eq(t, errkind.Canceled, errkind.Of(err))
		must.Eq(t, 0, g.Load().Queued)
		first.Done(gate.Answered)
		must.Eq(t, 0, g.Load().InUse)
	})
}
