package rollouts

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/platform"
	"github.com/crocuscross/crocuscross/platform/storetest"
	"github.com/crocuscross/crocuscross/rollout"
)

// newDeciders returns the controllers of two daemons that have the same order, and their store.
func newDeciders(t *testing.T) (a, b *Controller, o rollout.Order, s *storetest.Server) {
	s = storetest.New()
	t.Cleanup(s.Close)
	data, err := fold.EncodeRollout(&configpb.Rollout{Service: "signs", ToVersion: "v2", DurationMs: 10_000})
	must.NoError(t, err)
	st, verdict, err := fold.Apply(fold.Empty(), 1, data)
	must.NoError(t, err)
	must.SliceEmpty(t, verdict.Reasons)
	var list []*Controller
	for _, host := range []string{"a", "b"} {
		adapter := platform.New(s.Address(), slog.New(slog.DiscardHandler), platform.NoMeter{})
		board := &blackboard.Board{}
		board.State.Store(st)
		list = append(list, New(Options{
			Board: board, Gate: rollout.NewGate(time.Now), Decider: rollout.NewDecider(rollout.DefaultOptions()), Directory: adapter.Contacts,
			StatusReporter: adapter.Rollouts, Host: host, Boot: 1, Logger: slog.New(slog.DiscardHandler), Now: time.Now,
		}))
	}
	return list[0], list[1], *list[0].order("signs"), s
}

// Guards against the loss of an outcome that the operator has acted on: a second daemon decides on the
// same order and records another outcome later.
func TestController_FirstRecordedOutcomeIsFinal(t *testing.T) {
	first, second, o, s := newDeciders(t)
	report := rollout.Report{Server: rollout.ServerID{Host: "c", Boot: 1}, NewVersion: true, Outcome: rollout.RolledBack}
	second.opts.Decider.Report(o, report, time.Now())
	must.NoError(t, first.runTask(t.Context(), rollout.Task{Order: o, Outcome: rollout.Succeeded}))
	must.NoError(t, second.runTask(t.Context(), rollout.Task{Order: o, Outcome: rollout.RolledBack}))
	must.Eq(t, `{"state":"succeeded","to_version":"v2"}`, s.RolloutStatus("signs"))
	values, err := first.opts.Directory.List(t.Context())
	must.NoError(t, err)
	recorded, _ := recordedOutcome(values, o)
	must.Eq(t, rollout.Succeeded, recorded)
	p := second.opts.Decider.Report(o, report, time.Now())
	must.Eq(t, rollout.Permit{Mode: rollout.Open, Lease: p.Lease, Outcome: rollout.Succeeded, Recorded: true}, p)
}

// Guards against a finished rollout that the operator sees as running for good: a daemon that was paused
// before it reported the start writes that after the end.
func TestController_FinishedRolloutIsNotReportedAsRunning(t *testing.T) {
	first, second, o, s := newDeciders(t)
	must.NoError(t, first.runTask(t.Context(), rollout.Task{Order: o, Outcome: rollout.RolledBack}))
	must.NoError(t, second.runTask(t.Context(), rollout.Task{Order: o}))
	must.Eq(t, `{"state":"rolled_back","to_version":"v2"}`, s.RolloutStatus("signs"))
}

// Guards against a server of the new version that stays closed after its version has succeeded, because
// its gate got another outcome from a second decider first.
func TestTracker_RecordedOutcomeReplacesAnother(t *testing.T) {
	tracker := &rollout.Tracker{Order: rollout.Order{Offset: 1}, NewVersion: true}
	tracker.SetPermit(rollout.Permit{Mode: rollout.Closed, Outcome: rollout.RolledBack}, time.Now())
	must.Eq(t, rollout.Closed, tracker.Mode(time.Now()))
	tracker.SetPermit(rollout.Permit{Mode: rollout.Open, Outcome: rollout.Succeeded, Recorded: true}, time.Now())
	must.Eq(t, rollout.Open, tracker.Mode(time.Now()))
	tracker.SetPermit(rollout.Permit{Mode: rollout.Closed, Outcome: rollout.RolledBack}, time.Now())
	must.Eq(t, rollout.Open, tracker.Mode(time.Now()))
}

// Guards against a bad version that gets calls through a host which is cut off: its daemon was restarted,
// knows itself only, and decides on its own gate.
func TestController_CutOffDaemonDoesNotDecide(t *testing.T) {
	c, _, o, _ := newDeciders(t)
	self := &membership.Member{Host: "a", Boot: 1, Liveness: membership.Alive}
	report := rollout.Report{Server: rollout.ServerID{Host: "a", Boot: 1}, NewVersion: true}
	for missing, want := range []error{nil, nil, errCutOff} {
		c.opts.Board.Members.Store(&membership.View{Self: self, Members: []*membership.Member{self}, Missing: missing})
		_, err := c.decide(rollout.EncodeReport(o, report))
		must.ErrorIs(t, err, want)
	}
}
