// Package rollouts brings the gate beside the backend server to what a rollout permits,
// and decides about the rollouts that other daemons report to this one.
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
	// followInterval is how often the server's role is looked at beside changes while a
	// rollout concerns it: permits lapse and waits end by time alone.
	followInterval = 100 * time.Millisecond
	// reportInterval is the time between the reports of a gate whose permit has to be
	// renewed, idleInterval that of one whose calls are only counted.
	reportInterval = 250 * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	// confirmAfter is when a gate reports again that has been opened or closed: the next step
	// of a move waits for that.
	confirmAfter = 20 * time.Millisecond
	// moveTime is how long before the end of an order all gates report often.
	moveTime = 4 * time.Second
	// reportTimeout bounds one report: a permit that comes later has lapsed.
	reportTimeout = 500 * time.Millisecond
	// taskInterval is how often a decider's tasks are looked after, taskPause about the wait
	// after one that failed, and taskTimeout bounds one.
	taskInterval = 100 * time.Millisecond
	taskPause    = 500 * time.Millisecond
	taskTimeout  = 2 * time.Second
	// wideLink is the part of the widest link that a host has which decides: reports of a
	// whole service come in there.
	wideLink = 0.5
	// keyPrefix is that of outcomes in the directory, whose other keys are hosts' names.
	keyPrefix = "rollout/"
)

// Peers carries reports to the daemon that decides.
type Peers interface {
	Report(ctx context.Context, to *membership.Member, r *rolloutpb.Report) (*rolloutpb.Permit, error)
}

// StatusReporter tells the operator how a rollout stands.
type StatusReporter interface {
	ReportStatus(ctx context.Context, o rollout.Order, outcome rollout.Outcome) error
}

// Options holds what a Controller works with.
type Options struct {
	Board   *blackboard.Board
	Gate    *rollout.Gate
	Decider *rollout.Decider
	Peers   Peers
	// Directory keeps outcomes through a loss of power everywhere.
	Directory eventlog.Directory
	// StatusReporter may be nil, where nobody is to be told.
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
	// tracker is that of the server beside this daemon, nil where no rollout concerns it.
	tracker *rollout.Tracker
	// done is set once nobody needs its reports any more.
	done bool
	role rollout.Role
	// known is when this daemon learned of the latest order for the server's service.
	known orderSeen
	// ended holds outcomes by the offset of their order.
	ended map[uint64]endedAt
	// entries are the latest outcomes found in the directory, by service.
	entries map[string]rollout.RecordedOutcome
	// recorded is what this daemon has recorded and told last, by service.
	recorded map[string]rollout.Task
	// restored is set while that has to be done again.
	restored atomic.Bool
	// tracked and asked wake what has nothing to do without a tracker, or without reports of
	// others.
	tracked, asked loop.Trigger
	// unproven is the server whose version an earlier order was not finished for.
	unproven rollout.ServerID
}

// orderSeen is an order with the time at which it was first seen.
type orderSeen struct {
	offset uint64
	at     time.Time
}

type endedAt struct {
	outcome rollout.Outcome
	at      time.Time
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, ended: make(map[uint64]endedAt), entries: make(map[string]rollout.RecordedOutcome),
		recorded: make(map[string]rollout.Task), tracked: loop.NewTrigger(), asked: loop.NewTrigger(),
	}
}

// Run reconciles until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.follow, c.report, c.work, c.watchRestores)
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

// follow keeps the gate at the role of the server beside it.
func (c *Controller) follow(ctx context.Context) error {
	for {
		_, stateChanged := c.opts.Board.State.Watch()
		_, localChanged := c.opts.Board.Local.Watch()
		_, membersChanged := c.opts.Board.Members.Watch()
		var soon <-chan time.Time
		if c.reconcile(c.opts.Now()) {
			soon = time.After(followInterval)
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

// reconcile decides the role of the server beside this daemon anew, and reports whether a
// rollout concerns it.
func (c *Controller) reconcile(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	local := c.opts.Board.Local.Load()
	if local == nil || local.Service == "" {
		c.setRole(rollout.Unaffected, nil, now)
		return false
	}
	o := c.order(local.Service)
	l := rollout.LocalServer{Version: local.Version, FirstSeen: local.FirstSeen, Peers: func() rollout.PeerCounts { return c.peers(local, o) }}
	var outcome rollout.Outcome
	if o != nil {
		if c.known.offset != o.Offset {
			c.known = orderSeen{o.Offset, now}
		}
		c.learnOutcome(o, now)
		l.Unproven = c.isUnproven(o, local)
		l.OrderKnownAt, l.OutcomeKnownAt, outcome = c.known.at, c.ended[o.Offset].at, c.ended[o.Offset].outcome
	}
	role := rollout.RoleOf(o, outcome, l, now)
	c.setRole(role, c.trackerFor(role, o, local, outcome, now), now)
	return role != rollout.Unaffected
}

// learnOutcome takes over what the directory holds and what the decider has told the gate.
func (c *Controller) learnOutcome(o *rollout.Order, now time.Time) {
	c.recall(*o, now)
	if c.tracker == nil || c.tracker.Order.Offset != o.Offset || c.tracker.Outcome() == rollout.Undecided {
		return
	}
	if c.ended[o.Offset].outcome == rollout.Undecided {
		c.ended[o.Offset] = endedAt{c.tracker.Outcome(), now}
	}
}

// isUnproven reports whether the server came with an earlier order that has not succeeded.
func (c *Controller) isUnproven(o *rollout.Order, local *blackboard.LocalBackend) bool {
	if w := c.tracker; c.role == rollout.Canary && w.Order.Offset < o.Offset && w.Outcome() != rollout.Succeeded {
		c.unproven = w.Server
	}
	return c.unproven == c.serverID(local)
}

func (c *Controller) serverID(local *blackboard.LocalBackend) rollout.ServerID {
	return rollout.ServerID{Host: c.opts.Host, Boot: c.opts.Boot, Instance: members.InstanceDigest(local)}
}

// trackerFor returns the tracker for a role, the present one where it is that.
func (c *Controller) trackerFor(role rollout.Role, o *rollout.Order, local *blackboard.LocalBackend, outcome rollout.Outcome, now time.Time) *rollout.Tracker {
	if role == rollout.Unaffected {
		return nil
	}
	var order rollout.Order
	known, server := now, c.serverID(local)
	if o != nil && role != rollout.Pending {
		order, known = *o, c.known.at
	}
	if w := c.tracker; w != nil && c.role == role && w.Order == order && w.Server == server {
		return w
	}
	w := &rollout.Tracker{Order: order, Server: server, NewVersion: role != rollout.Stable, OrderKnownAt: known}
	if role != rollout.Pending {
		w.SetPermit(rollout.Permit{Outcome: outcome}, time.Time{})
	}
	return w
}

// setRole puts a role with its tracker into force.
func (c *Controller) setRole(role rollout.Role, w *rollout.Tracker, now time.Time) {
	if c.role != role || c.tracker != w {
		c.logRole(role, w)
	}
	if c.tracker != w {
		c.done = false
		c.opts.Gate.SetTracker(w)
		c.tracked.Set()
	}
	c.role, c.tracker = role, w
	withheld := w != nil && w.Mode(now) == rollout.Closed
	if old := c.opts.Board.Withheld.Load(); old == nil && withheld || old != nil && *old != withheld {
		c.opts.Board.Withheld.Store(&withheld)
	}
}

func (c *Controller) logRole(role rollout.Role, w *rollout.Tracker) {
	if w == nil {
		c.opts.Logger.Info("rollout: the backend server takes calls as usual")
		return
	}
	c.opts.Logger.Info("rollout: the backend server has a role", "role", role.String(), "service", w.Order.Service,
		"to_version", w.Order.ToVersion, "order", w.Order.Offset, "outcome", w.Outcome().String())
}

// peers counts the other servers of the service by version. The order may be nil.
func (c *Controller) peers(local *blackboard.LocalBackend, o *rollout.Order) rollout.PeerCounts {
	var p rollout.PeerCounts
	view := c.opts.Board.Members.Load()
	if view == nil {
		return p
	}
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
