package rollouts

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/rollout"
	"github.com/crocuscross/crocuscross/rollout/rolloutpb"
)

// Serve answers a report of another daemon's gate with a permit.
func (c *Controller) Serve(m *rolloutpb.Report) (*rolloutpb.Permit, error) {
	p, err := c.decide(m)
	if err != nil {
		return nil, err
	}
	return rollout.EncodePermit(p), nil
}

// Status returns the status of the rollouts that this daemon decides on.
func (c *Controller) Status() []rollout.Status { return c.opts.Decider.Status(c.opts.Now()) }

// errUnknownOrder means that this daemon has not received an order yet. The gate keeps its
// permit until that lapses.
var errUnknownOrder = errors.New("the order of the rollout is not known to this daemon")

// errCutOff means that this daemon reaches less than half of the fleet. Another daemon decides on the other
// side, and what both grant would add up.
var errCutOff = errors.New("this daemon does not reach half of the fleet")

// decide returns the permit that answers a report.
func (c *Controller) decide(m *rolloutpb.Report) (rollout.Permit, error) {
	r, err := rollout.DecodeReport(m)
	if err != nil {
		return rollout.Permit{}, err
	}
	o := c.order(m.GetService())
	if o == nil || o.Offset < m.GetOrder() {
		return rollout.Permit{}, errUnknownOrder
	}
	if o.Offset > m.GetOrder() {
		return rollout.SupersededPermit(r), nil
	}
	if view := c.opts.Board.Members.Load(); view != nil && !view.ReachesHalf() {
		return rollout.Permit{}, errCutOff
	}
	p := c.opts.Decider.Report(*o, r, c.opts.Now())
	c.reportReceived.Set()
	return p, nil
}

// runTasks executes the decider's tasks until ctx is done.
func (c *Controller) runTasks(ctx context.Context) error {
	for {
		if c.opts.Decider.Idle() && !c.recordAgain.Load() && !c.reportReceived.Wait(ctx) {
			return nil
		}
		pause := taskInterval
		again := c.recordAgain.Swap(false)
		for _, t := range c.pendingTasks(again) {
			if err := c.runTask(ctx, t); err != nil {
				c.recordAgain.CompareAndSwap(false, again)
				c.opts.Logger.Info("rollout: not recorded yet", "service", t.Order.Service, "order", t.Order.Offset, "load", t.Load, "error", err)
				pause = taskRetryInterval
			}
		}
		if !loop.Sleep(ctx, pause) {
			return nil
		}
	}
}

// runTask loads an outcome, or records one and reports it to the operator.
func (c *Controller) runTask(ctx context.Context, t rollout.Task) error {
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	if t.Load {
		return c.load(ctx, t.Order)
	}
	outcome, err := c.record(ctx, t)
	if err == nil && c.opts.StatusReporter != nil {
		outcome, err = c.reportStatus(ctx, t.Order, outcome)
	}
	switch {
	case errors.Is(err, errSuperseded):
		c.opts.Logger.Info("rollout: superseded by a later order", "service", t.Order.Service, "order", t.Order.Offset)
		c.opts.Decider.Recorded(t.Order, t.Outcome)
		return nil
	case err != nil:
		return err
	}
	c.opts.Logger.Info("rollout: status reported", "service", t.Order.Service, "order", t.Order.Offset, "outcome", outcome.String(),
		"own_outcome", t.Outcome.String())
	c.opts.Decider.Recorded(t.Order, outcome)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded[t.Order.Service] = rollout.Task{Order: t.Order, Outcome: outcome}
	return nil
}

// errSuperseded means that the outcome of a later order for the service is recorded.
var errSuperseded = errors.New("a later order has replaced this one")

// record stores the outcome of a task, unless it is Undecided, and returns the stored one. The first
// outcome that is stored for an order is final: another daemon may have decided at the same time, or this
// one may have been paused before the write, and gates and the operator have acted on the other outcome.
func (c *Controller) record(ctx context.Context, t rollout.Task) (rollout.Outcome, error) {
	if t.Outcome == rollout.Undecided {
		return rollout.Undecided, nil
	}
	value, err := rollout.EncodeEntry(rollout.RecordedOutcome{Order: t.Order, Outcome: t.Outcome})
	if err != nil {
		return rollout.Undecided, err
	}
	var outcome rollout.Outcome
	var superseded bool
	err = c.opts.Directory.Update(ctx, keyPrefix+t.Order.Service, func(values [][]byte) ([]byte, bool) {
		outcome, superseded = recordedOutcome(values, t.Order)
		if outcome != rollout.Undecided || superseded {
			return nil, false
		}
		outcome = t.Outcome
		return value, true
	})
	if err == nil && superseded {
		err = errSuperseded
	}
	return outcome, err
}

// reportStatus reports an outcome to the operator and returns the reported one. A rollout is reported as
// in progress only while no outcome is recorded.
func (c *Controller) reportStatus(ctx context.Context, o rollout.Order, outcome rollout.Outcome) (rollout.Outcome, error) {
	err := c.opts.StatusReporter.ReportStatus(ctx, o, func(ctx context.Context) (rollout.Outcome, error) {
		values, err := c.opts.Directory.List(ctx)
		if err != nil {
			return rollout.Undecided, err
		}
		recorded, superseded := recordedOutcome(values, o)
		if superseded || !c.isLatest(o) {
			return rollout.Undecided, errSuperseded
		}
		if recorded != rollout.Undecided {
			outcome = recorded
		}
		return outcome, nil
	})
	return outcome, err
}

// recordedOutcome returns the outcome of an order among the directory's entries, rollout.Undecided if
// there is none, and whether that of a later order for the service is there.
func recordedOutcome(values [][]byte, o rollout.Order) (outcome rollout.Outcome, superseded bool) {
	for _, value := range values {
		e, ok := rollout.DecodeEntry(value)
		switch {
		case !ok || e.Order.Service != o.Service:
		case e.Matches(o):
			outcome = e.Outcome
		case e.Order.Offset > o.Offset:
			superseded = true
		}
	}
	return outcome, superseded
}

// watchRestores makes runTasks record everything again that the platform's directory may have
// lost when it was restored from an older copy. Otherwise the operator would see an older
// outcome, and a fleet that lost power would start the rollout over.
func (c *Controller) watchRestores(ctx context.Context) error {
	for restores := blackboard.NewRestoreWatcher(c.opts.Board); restores.Wait(ctx); {
		c.recordAgain.Store(true)
		c.reportReceived.Set()
	}
	return nil
}

// pendingTasks returns the tasks to execute now. If again is set, they begin with those that
// were completed before a restore.
func (c *Controller) pendingTasks(again bool) []rollout.Task {
	tasks := c.opts.Decider.Tasks(c.opts.Now())
	if !again {
		return tasks
	}
	recorded := slices.DeleteFunc(c.recordedTasks(), func(t rollout.Task) bool { return !c.isLatest(t.Order) })
	return append(recorded, tasks...)
}

// recordedTasks returns the latest completed task of each service.
func (c *Controller) recordedTasks() []rollout.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.recorded))
}

// isLatest reports whether no other order has replaced o.
func (c *Controller) isLatest(o rollout.Order) bool {
	latest := c.order(o.Service)
	return latest != nil && latest.Offset == o.Offset
}

// load looks up the outcome of an order in the directory and passes it to the decider.
func (c *Controller) load(ctx context.Context, o rollout.Order) error {
	values, err := c.opts.Directory.List(ctx)
	if err != nil {
		return err
	}
	c.AddEntries(values)
	c.mu.Lock()
	c.adoptRecordedOutcome(o, c.opts.Now())
	outcome := c.outcomes[o.Offset].outcome
	c.mu.Unlock()
	c.opts.Decider.Loaded(o, outcome)
	return nil
}

// Entries returns the known outcomes as entries of the directory, the latest of each service.
func (c *Controller) Entries() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := maps.Clone(c.directoryOutcomes)
	for service, t := range c.recorded {
		if t.Outcome == rollout.Undecided {
			continue
		}
		latest[service] = rollout.RecordedOutcome{Order: t.Order, Outcome: t.Outcome}
	}
	var values [][]byte
	for _, e := range latest {
		if value, err := rollout.EncodeEntry(e); err == nil {
			values = append(values, value)
		}
	}
	return values
}

// AddEntries adds the outcomes among the directory's entries.
func (c *Controller) AddEntries(values [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, value := range values {
		if e, ok := rollout.DecodeEntry(value); ok {
			c.directoryOutcomes[e.Order.Service] = e
		}
	}
}

// adoptRecordedOutcome adopts the outcome of an order from the directory's entries. The caller holds
// mu.
func (c *Controller) adoptRecordedOutcome(o rollout.Order, now time.Time) {
	e, ok := c.directoryOutcomes[o.Service]
	if ok && e.Matches(o) && c.outcomes[o.Offset].outcome != e.Outcome {
		c.outcomes[o.Offset] = observedOutcome{e.Outcome, now}
	}
}
