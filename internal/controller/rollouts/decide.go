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

// Serve answers the report of another daemon's gate.
func (c *Controller) Serve(m *rolloutpb.Report) (*rolloutpb.Permit, error) {
	p, err := c.decide(m)
	if err != nil {
		return nil, err
	}
	return rollout.EncodePermit(p), nil
}

// Status returns how the rollouts stand that this daemon decides about.
func (c *Controller) Status() []rollout.Status { return c.opts.Decider.Status(c.opts.Now()) }

// errUnknownOrder means that this daemon has not heard of an order yet. The gate keeps its
// permit until that lapses.
var errUnknownOrder = errors.New("the order of the rollout is not known here")

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
	p := c.opts.Decider.Report(*o, r, c.opts.Now())
	c.asked.Set()
	return p, nil
}

// work does what the decider asks for, until ctx is done.
func (c *Controller) work(ctx context.Context) error {
	for {
		if c.opts.Decider.Idle() && !c.restored.Load() && !c.asked.Wait(ctx) {
			return nil
		}
		pause := taskInterval
		again := c.restored.Swap(false)
		for _, t := range c.tasks(again) {
			if err := c.do(ctx, t); err != nil {
				c.restored.CompareAndSwap(false, again)
				c.opts.Logger.Info("rollout: not recorded yet", "service", t.Order.Service, "order", t.Order.Offset, "load", t.Load, "error", err)
				pause = taskPause
			}
		}
		if !loop.Sleep(ctx, pause) {
			return nil
		}
	}
}

func (c *Controller) do(ctx context.Context, t rollout.Task) error {
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	if t.Load {
		return c.load(ctx, t.Order)
	}
	if t.Outcome != rollout.Undecided {
		value, err := rollout.EncodeEntry(rollout.RecordedOutcome{Order: t.Order, Outcome: t.Outcome})
		if err != nil {
			return err
		}
		if err := c.opts.Directory.Put(ctx, keyPrefix+t.Order.Service, value); err != nil {
			return err
		}
	}
	if c.opts.StatusReporter != nil {
		if err := c.opts.StatusReporter.ReportStatus(ctx, t.Order, t.Outcome); err != nil {
			return err
		}
	}
	c.opts.Logger.Info("rollout: told", "service", t.Order.Service, "order", t.Order.Offset, "outcome", t.Outcome.String())
	c.opts.Decider.Recorded(t.Order, t.Outcome)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded[t.Order.Service] = t
	return nil
}

// watchRestores has everything recorded again that the platform's directory may have lost,
// as it has come back from an older copy: the operator would see an older outcome, and a
// fleet that lost power would begin the rollout anew.
func (c *Controller) watchRestores(ctx context.Context) error {
	for restores := blackboard.NewRestoreWatcher(c.opts.Board); restores.Wait(ctx); {
		c.restored.Store(true)
		c.asked.Set()
	}
	return nil
}

// tasks returns what is to be done now, what has been done before a restore first.
func (c *Controller) tasks(again bool) []rollout.Task {
	tasks := c.opts.Decider.Tasks(c.opts.Now())
	if !again {
		return tasks
	}
	recorded := slices.DeleteFunc(c.lastRecorded(), func(t rollout.Task) bool { return !c.isLatest(t.Order) })
	return append(recorded, tasks...)
}

func (c *Controller) lastRecorded() []rollout.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.recorded))
}

// isLatest reports whether no other order has taken the place of one.
func (c *Controller) isLatest(o rollout.Order) bool {
	latest := c.order(o.Service)
	return latest != nil && latest.Offset == o.Offset
}

// load looks in the directory for the outcome of an order.
func (c *Controller) load(ctx context.Context, o rollout.Order) error {
	values, err := c.opts.Directory.List(ctx)
	if err != nil {
		return err
	}
	c.AddEntries(values)
	c.mu.Lock()
	c.recall(o, c.opts.Now())
	outcome := c.ended[o.Offset].outcome
	c.mu.Unlock()
	c.opts.Decider.Loaded(o, outcome)
	return nil
}

// AddEntries takes in the outcomes among the entries of the directory.
func (c *Controller) AddEntries(values [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, value := range values {
		if e, ok := rollout.DecodeEntry(value); ok {
			c.entries[e.Order.Service] = e
		}
	}
}

// recall takes over the outcome of an order from the directory's entries. The caller holds mu.
func (c *Controller) recall(o rollout.Order, now time.Time) {
	e, ok := c.entries[o.Service]
	if ok && e.Matches(o) && c.ended[o.Offset].outcome == rollout.Undecided {
		c.ended[o.Offset] = endedAt{e.Outcome, now}
	}
}
