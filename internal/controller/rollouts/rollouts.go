// Package rollouts sets the gate of the local backend server to what a rollout permits, and
// decides on the rollouts that other daemons report to this one.
package rollouts

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/controller/members"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/rollout"
	"github.com/crocuscross/crocuscross/rollout/rolloutpb"
)

const (
	// roleCheckInterval is how often the server's role is checked while a rollout concerns it,
	// in addition to each change: permits lapse and waits end without one.
	roleCheckInterval = 100 * time.Millisecond
	// reportInterval is the time between the reports of a gate whose permit must be renewed,
	// idleInterval that of a gate whose calls are only counted.
	reportInterval = 250 * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	// confirmDelay is how long after it was opened or closed a gate reports again: the next step
	// of a traffic shift waits for that report.
	confirmDelay = 20 * time.Millisecond
	// trafficShiftTime is how long before the end of an order all gates report often.
	trafficShiftTime = 4 * time.Second
	// reportTimeout bounds one report: a permit that arrives later has lapsed.
	reportTimeout = 500 * time.Millisecond
	// taskInterval is how often the decider's tasks are executed, taskRetryInterval the wait
	// after one that failed. taskTimeout bounds one task.
	taskInterval      = 100 * time.Millisecond
	taskRetryInterval = 500 * time.Millisecond
	taskTimeout       = 2 * time.Second
	// minLinkShare is the share of the widest link in the fleet that a daemon's link must have
	// for the daemon to decide: it receives the reports of a whole service.
	minLinkShare = 0.5
	// keyPrefix is the prefix of the outcomes' keys in the directory, whose other keys are host
	// names.
	keyPrefix = "rollout/"
)

// Peers sends reports to the daemon that decides.
type Peers interface {
	Report(ctx context.Context, to *membership.Member, r *rolloutpb.Report) (*rolloutpb.Permit, error)
}

// StatusReporter reports the state of a rollout to the operator.
type StatusReporter interface {
	// ReportStatus reports the outcome of the rollout of an order that outcome returns,
	// rollout.Undecided while it is in progress. It has no effect if another status was written
	// after outcome was called, however late it is executed, and then calls outcome again.
	ReportStatus(ctx context.Context, o rollout.Order, outcome func(context.Context) (rollout.Outcome, error)) error
}

// Options configures a Controller.
type Options struct {
	Board   *blackboard.Board
	Gate    *rollout.Gate
	Decider *rollout.Decider
	Peers   Peers
	// Directory stores outcomes, which thereby survive a power loss of the whole fleet.
	Directory eventlog.Directory
	// StatusReporter is nil if no operator is to be notified.
	StatusReporter StatusReporter
	Host           string
	Boot           uint64
	Logger         *slog.Logger
	Now            func() time.Time
}

// Controller owns the Withheld cell.
type Controller struct {
	opts Options

	mu sync.Mutex
	// tracker is the tracker of the local server, nil if no rollout concerns it.
	tracker *rollout.Tracker
	// reportingDone is set once the decider no longer needs the tracker's reports.
	reportingDone bool
	role          rollout.Role
	// latestOrder is the latest order for the local server's service and when this daemon first
	// saw it.
	latestOrder observedOrder
	// outcomes holds the known outcomes by the offset of their order.
	outcomes map[uint64]observedOutcome
	// directoryOutcomes holds the latest outcomes found in the directory, by service.
	directoryOutcomes map[string]rollout.RecordedOutcome
	// recorded holds the latest task that this daemon has completed, by service.
	recorded map[string]rollout.Task
	// recordAgain is set while these tasks must be executed again.
	recordAgain atomic.Bool
	// trackerSet wakes report, which has nothing to do without a tracker. reportReceived wakes
	// runTasks, which has nothing to do without reports of other daemons.
	trackerSet, reportReceived loop.Trigger
	// unproven is the server that was the canary of an earlier order that has not succeeded.
	unproven rollout.ServerID
}

// observedOrder is the offset of an order and when this daemon first saw it.
type observedOrder struct {
	offset uint64
	at     time.Time
}

// observedOutcome is the outcome of an order and when this daemon first knew it.
type observedOutcome struct {
	outcome rollout.Outcome
	at      time.Time
}

// New returns a controller without a tracker.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, outcomes: make(map[uint64]observedOutcome), directoryOutcomes: make(map[string]rollout.RecordedOutcome),
		recorded: make(map[string]rollout.Task), trackerSet: loop.NewTrigger(), reportReceived: loop.NewTrigger(),
	}
}

// Run reconciles until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.watchRole, c.report, c.runTasks, c.watchRestores)
}

// order returns the latest order for a service, nil if there is none.
func (c *Controller) order(service string) *rollout.Order {
	state := c.opts.Board.State.Load()
	if state == nil {
		return nil
	}
	o := state.Rollout(service)
	if o == nil {
		return nil
	}
	return &rollout.Order{
		Service: service, ToVersion: o.GetRollout().GetToVersion(), Offset: o.GetOffset(),
		Duration: time.Duration(o.GetRollout().GetDurationMs()) * time.Millisecond,
	}
}

// watchRole keeps the gate in line with the role of the local server.
func (c *Controller) watchRole(ctx context.Context) error {
	for {
		_, stateChanged := c.opts.Board.State.Watch()
		_, localChanged := c.opts.Board.Local.Watch()
		_, membersChanged := c.opts.Board.Members.Watch()
		var soon <-chan time.Time
		if c.reconcile(c.opts.Now()) {
			soon = time.After(roleCheckInterval)
		}
		select {
		case <-stateChanged:
		case <-localChanged:
		case <-membersChanged:
		case <-soon:
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile updates the role of the local server and reports whether a rollout concerns it.
func (c *Controller) reconcile(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	local := c.opts.Board.Local.Load()
	if local == nil || local.Service == "" {
		c.setRole(rollout.Unaffected, nil, now)
		return false
	}
	o := c.order(local.Service)
	l := rollout.LocalServer{Version: local.Version, FirstSeen: local.FirstSeen, Peers: func() rollout.PeerCounts { return c.countPeers(local, o) }}
	var outcome rollout.Outcome
	if o != nil {
		if c.latestOrder.offset != o.Offset {
			c.latestOrder = observedOrder{o.Offset, now}
		}
		c.updateOutcome(o, now)
		l.Unproven = c.isUnproven(o, local)
		l.OrderKnownAt, l.OutcomeKnownAt, outcome = c.latestOrder.at, c.outcomes[o.Offset].at, c.outcomes[o.Offset].outcome
	}
	role := rollout.RoleOf(o, outcome, l, now)
	c.setRole(role, c.trackerFor(role, o, local, outcome, now), now)
	return role != rollout.Unaffected
}

// updateOutcome adopts the outcome of an order from the directory or from the tracker, which has
// it from a permit. A recorded outcome replaces one that was not recorded. The caller holds mu.
func (c *Controller) updateOutcome(o *rollout.Order, now time.Time) {
	c.adoptRecordedOutcome(*o, now)
	if c.tracker == nil || c.tracker.Order.Offset != o.Offset || c.tracker.Outcome() == rollout.Undecided {
		return
	}
	known := c.outcomes[o.Offset].outcome
	if known == rollout.Undecided || known != c.tracker.Outcome() && c.tracker.OutcomeRecorded() {
		c.outcomes[o.Offset] = observedOutcome{c.tracker.Outcome(), now}
	}
}

// isUnproven reports whether the server was the canary of an earlier order that has not
// succeeded. The caller holds mu.
func (c *Controller) isUnproven(o *rollout.Order, local *blackboard.LocalBackend) bool {
	if tracker := c.tracker; c.role == rollout.Canary && tracker.Order.Offset < o.Offset && tracker.Outcome() != rollout.Succeeded {
		c.unproven = tracker.Server
	}
	return c.unproven == c.serverID(local)
}

// serverID identifies the current instance of the local server.
func (c *Controller) serverID(local *blackboard.LocalBackend) rollout.ServerID {
	return rollout.ServerID{Host: c.opts.Host, Boot: c.opts.Boot, Instance: members.InstanceDigest(local)}
}

// trackerFor returns the tracker for a role. It is the present one if that has the same role,
// order and server.
func (c *Controller) trackerFor(role rollout.Role, o *rollout.Order, local *blackboard.LocalBackend, outcome rollout.Outcome, now time.Time) *rollout.Tracker {
	if role == rollout.Unaffected {
		return nil
	}
	var order rollout.Order
	known, server := now, c.serverID(local)
	if o != nil && role != rollout.Pending {
		order, known = *o, c.latestOrder.at
	}
	if tracker := c.tracker; tracker != nil && c.role == role && tracker.Order == order && tracker.Server == server {
		return tracker
	}
	tracker := &rollout.Tracker{Order: order, Server: server, NewVersion: role != rollout.Stable, OrderKnownAt: known}
	if role != rollout.Pending {
		tracker.SetPermit(rollout.Permit{Outcome: outcome}, time.Time{})
	}
	return tracker
}

// setRole applies a role and its tracker. The caller holds mu.
func (c *Controller) setRole(role rollout.Role, tracker *rollout.Tracker, now time.Time) {
	if c.role != role || c.tracker != tracker {
		c.logRole(role, tracker)
	}
	if c.tracker != tracker {
		c.reportingDone = false
		c.opts.Gate.SetTracker(tracker)
		c.trackerSet.Set()
	}
	c.role, c.tracker = role, tracker
	withheld := tracker != nil && tracker.Mode(now) == rollout.Closed
	if old := c.opts.Board.Withheld.Load(); old == nil && withheld || old != nil && *old != withheld {
		c.opts.Board.Withheld.Store(&withheld)
	}
}

func (c *Controller) logRole(role rollout.Role, tracker *rollout.Tracker) {
	if tracker == nil {
		c.opts.Logger.Info("rollout: no rollout affects the backend server")
		return
	}
	c.opts.Logger.Info("rollout: the backend server has a role", "role", role.String(), "service", tracker.Order.Service,
		"to_version", tracker.Order.ToVersion, "order", tracker.Order.Offset, "outcome", tracker.Outcome().String())
}

// countPeers counts the other servers of the service by version. The order may be nil.
func (c *Controller) countPeers(local *blackboard.LocalBackend, o *rollout.Order) rollout.PeerCounts {
	var p rollout.PeerCounts
	view := c.opts.Board.Members.Load()
	if view == nil {
		return p
	}
	p.Incomplete = view.Missing > 0
	own, target := members.VersionDigest(local.Version), uint32(0)
	if o != nil {
		target = members.VersionDigest(o.ToVersion)
	}
	for _, m := range view.Live() {
		if m.Host == c.opts.Host {
			continue
		}
		for _, a := range m.Announcements {
			if a.Service != local.Service || a.Version == 0 {
				continue
			}
			if a.Version == target {
				p.Target++
			}
			if a.Version == own {
				p.Same++
			} else {
				p.Other++
			}
		}
	}
	return p
}
