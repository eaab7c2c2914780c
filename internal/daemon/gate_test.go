package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/snapshot"
)

// Guards against load settings that the gate does not get, and against gates that reserve slots or
// know accounts although the settings are off.
func TestNewGate_LoadSettings(t *testing.T) {
	for _, value := range []string{settings.Off, settings.On} {
		d := &Daemon{settings: &settings.Settings{Load: settings.LoadManagement{UrgentSlots: value, AccountShares: value}}}
		g := d.newGate()
		g.SetSlots(4)
		admit := func(c gate.Call) {
			_, err := g.Admit(t.Context(), c)
			must.NoError(t, err)
		}
		urgent := gate.Call{Route: "a", Remaining: time.Second, MaxWait: 30 * time.Millisecond, ObjectiveLeft: 250 * time.Millisecond}
		patient := gate.Call{Route: "b", Account: "x", Priority: 4, Remaining: 10 * time.Second, ObjectiveLeft: 10 * time.Second}
		admit(patient)
		admit(urgent)
		must.Eq(t, value == settings.On, g.Load().ReservedSlots > 0)
		for g.Load().InUse < 4 {
			admit(urgent)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := g.Admit(ctx, patient)
			ended <- err
		}()
		for g.Load().Queued == 0 && len(ended) == 0 {
			time.Sleep(time.Millisecond)
		}
		must.Eq(t, value == settings.On, g.Load().WaitingAccounts > 0)
		cancel()
		must.Error(t, <-ended)
	}
}

// Guards against gates that do not get the limits in force, or that get them although the setting is
// off, and against an allocation for each call. Without a configuration, no limit is known.
func TestAccountWeight(t *testing.T) {
	d := &Daemon{settings: &settings.Settings{Load: settings.LoadManagement{AccountShares: settings.Off}}, board: &blackboard.Board{}}
	must.Nil(t, d.accountWeight())
	d.settings.Load.AccountShares = settings.On
	weight := d.accountWeight()
	must.Eq(t, 0, weight("a"))
	state := fold.Empty()
	for _, rate := range []float64{40, 80} {
		contract := &configpb.Contract{Customer: "a", RatePerSecond: rate, MaxWaitMs: 1000}
		change := &configpb.Change{Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: contract}}, Replaces: state.Offset}
		record, err := fold.EncodeRecord(&configpb.Bundle{PublishId: fmt.Sprint(rate), Changes: []*configpb.Change{change}})
		must.NoError(t, err)
		next, verdict, err := fold.Apply(state, state.Offset+1, record)
		must.NoError(t, err)
		must.True(t, verdict.Accepted, must.Sprint(verdict.Reasons))
		state = next
		d.board.Snapshot.Store(snapshot.Build(d.board.Snapshot.Load(), state, backend.NewSet(nil)))
		must.Eq(t, rate, weight("a"))
		must.Eq(t, 0, weight("b"))
	}
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { weight("a") }))
}
