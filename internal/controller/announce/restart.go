package announce

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
)

// A daemon acknowledges that its backend server leaves, and is restarted. An announcement that the server
// sent before may then arrive late. If the new process took it for that of a new server, calls would reach a
// server that exits soon, although it was told that it gets none. The earlier process has distributed
// which servers have ended with its member record; that may have reached nobody, so that announcements of
// servers which are not known yet are also checked against the server's health check.

const (
	// memoryTime is how long after the start of the process announcements are checked that an earlier
	// process may have had reason to ignore. Announcements arrive late by a few seconds.
	memoryTime = 10 * time.Second
	// holdTime is how long an instance must have announced itself to be accepted although its health
	// check fails. A server that leaves no longer announces itself as ready, and a health check that is
	// wrong must not keep a server out of service.
	holdTime = 5 * time.Second
	// askTime is how long an instance is held because other daemons have not been asked yet, if servers have
	// no health check. A join takes less, unless no other daemon can be reached.
	askTime = time.Second
)

// ErrNoHealthCheck means that the backend server of this host has no health check.
var ErrNoHealthCheck = errors.New("the service has no health check")

// ErrNoDocument means that it is not known yet whether the backend server has a health check.
var ErrNoDocument = errors.New("no document is in force")

// Predecessors knows what became of earlier processes of this daemon, and informs later ones.
type Predecessors interface {
	// Asked reports whether other daemons have been asked for the state of earlier processes, or there
	// are none to ask.
	Asked() bool
	// EndedBefore returns the servers that ended beside earlier processes.
	EndedBefore() []membership.EndedServer
	// SetEndedServers distributes the servers that have ended, the latest last.
	SetEndedServers([]membership.EndedServer)
}

// heldAnnouncements holds the latest announcement of each instance that is not accepted yet.
type heldAnnouncements struct {
	mu   sync.Mutex
	list map[instance]*heldAnnouncement
}

type heldAnnouncement struct {
	announcement ServerAnnouncement
	// firstAt and latestAt are when the first announcement and the latest newer one have arrived.
	firstAt, latestAt time.Time
}

// add stores an announcement, unless it is older than the one that is held.
func (h *heldAnnouncements) add(i instance, a ServerAnnouncement, now time.Time) *heldAnnouncement {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.list[i]
	if e == nil {
		if h.list == nil {
			h.list = make(map[instance]*heldAnnouncement)
		}
		e = &heldAnnouncement{announcement: a, firstAt: now, latestAt: now}
		h.list[i] = e
	}
	if *a.Sequence > *e.announcement.Sequence {
		e.announcement, e.latestAt = a, now
	}
	copied := *e
	return &copied
}

// remove forgets an instance.
func (h *heldAnnouncements) remove(i instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.list, i)
}

// all returns copies of what is held.
func (h *heldAnnouncements) all() map[instance]heldAnnouncement {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[instance]heldAnnouncement, len(h.list))
	for i, e := range h.list {
		all[i] = *e
	}
	return all
}

// serverCheck is what is known about an instance that has announced itself.
type serverCheck struct {
	// asked is whether other daemons have been asked for the instances that have ended.
	asked bool
	// hasHealthCheck is whether servers have a health check. healthy is whether the server is known to be
	// healthy and not shutting down, and sameID whether its ID is that of the instance.
	hasHealthCheck, healthy, sameID bool
	// noDocument is whether no document is in force, so that it is not known if there is a health check.
	noDocument bool
	// announcedFor is the time between the first and the latest announcement of the instance, heldFor the
	// time since the first one.
	announcedFor, heldFor time.Duration
}

// verdict is what to do with the announcement of an instance.
type verdict uint8

const (
	// hold keeps the announcement until the instance can be accepted.
	hold verdict = iota
	accept
	// acceptForNow makes the server known, and checks it again once a document is in force. All servers
	// would otherwise become known later after a power loss of the fleet.
	acceptForNow
)

// verdict decides on the instance.
func (s serverCheck) verdict() verdict {
	switch {
	case s.noDocument:
		return acceptForNow
	case s.hasHealthCheck && s.healthy && !s.sameID:
		return hold
	case s.hasHealthCheck && s.healthy, s.announcedFor >= holdTime:
		return accept
	case !s.hasHealthCheck && (s.asked || s.heldFor >= askTime):
		return accept
	}
	return hold
}

// admit reports whether an announcement can be applied. One that cannot is held.
func (c *Controller) admit(ctx context.Context, id string, a ServerAnnouncement) bool {
	i := instance{id, a.StartUnixMs}
	if !c.needsCheck(i, a) {
		return true
	}
	e := c.held.add(i, a, c.Now())
	switch c.check(ctx, i, *e) {
	case accept:
		c.held.remove(i)
		return true
	case acceptForNow:
		return true
	}
	c.Logger.Info("announce: announcement held", "id", id, "born", a.StartUnixMs, "sequence", *a.Sequence, "state", a.State,
		"since", c.Now().Sub(e.firstAt))
	return false
}

// needsCheck reports whether an earlier process may have known better than to accept an announcement.
func (c *Controller) needsCheck(i instance, a ServerAnnouncement) bool {
	if c.Predecessors == nil {
		return false
	}
	local := c.Board.Local.Load()
	if a.State == stateDraining && (local == nil || local.ID == "" || local.ID == i.id) {
		return false
	}
	if _, held := c.held.all()[i]; held {
		return true
	}
	return !isSameInstance(local, i.id, i.startUnixMs) && c.Now().Sub(c.startedAt()) < memoryTime
}

// startedAt returns the time of the first call.
func (c *Controller) startedAt() time.Time {
	c.startOnce.Do(func() { c.start = c.Now() })
	return c.start
}

// check decides on an instance.
func (c *Controller) check(ctx context.Context, i instance, e heldAnnouncement) verdict {
	s := serverCheck{asked: c.Predecessors.Asked(), announcedFor: e.latestAt.Sub(e.firstAt), heldFor: c.Now().Sub(e.firstAt)}
	if c.QueryServerID != nil {
		id, err := c.QueryServerID(ctx)
		s.noDocument = errors.Is(err, ErrNoDocument)
		s.hasHealthCheck, s.healthy, s.sameID = !errors.Is(err, ErrNoHealthCheck), err == nil, id == i.id
	}
	return s.verdict()
}

// reviewHeld applies the announcements that are held and can be applied by now, and drops those of
// instances that no longer announce themselves.
func (c *Controller) reviewHeld(ctx context.Context) {
	for i, e := range c.held.all() {
		v := c.check(ctx, i, e)
		switch {
		case v == accept:
			c.held.remove(i)
			c.acceptServerAnnouncement(i.id, e.announcement)
		case v == hold:
			c.dropUnchecked(i)
			fallthrough
		default:
			if c.Now().Sub(e.latestAt) > holdTime {
				c.held.remove(i)
			}
		}
	}
}

// dropUnchecked removes an instance that was accepted before a document was in force.
func (c *Controller) dropUnchecked(i instance) {
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if !isSameInstance(old, i.id, i.startUnixMs) || old.Draining {
			return old
		}
		c.Logger.Info("announce: announcement held", "id", i.id, "born", i.startUnixMs, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
}

// inheritEnded takes over the instances that have ended beside earlier processes, and drops the known
// server if it is one of them.
func (c *Controller) inheritEnded() {
	if c.Predecessors == nil {
		return
	}
	inherited := c.Predecessors.EndedBefore()
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if len(inherited) == len(c.ended.inherited) {
			return old
		}
		c.ended.inherited = inherited
		c.Predecessors.SetEndedServers(c.ended.all())
		if old == nil || old.ID == "" || !c.ended.contains(instance{old.ID, old.StartUnixMs}) {
			return old
		}
		c.Logger.Info("announce: backend server had left before the daemon started", "id", old.ID, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
}
