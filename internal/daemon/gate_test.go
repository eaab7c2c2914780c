package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/settings"
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
