package announce

import (
	"context"
	"maps"
	"slices"
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
	list map[instance]heldAnnouncement
}

type heldAnnouncement struct {
	announcement ServerAnnouncement
	// firstAt and latestAt are when the first announcement and the latest newer one have arrived.
	firstAt, latestAt time.Time
}

// add stores an announcement, unless it is older than the one that is held, and returns what is held.
func (h *heldAnnouncements) add(i instance, a ServerAnnouncement, now time.Time) heldAnnouncement {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list == nil {
		h.list = make(map[instance]heldAnnouncement)
	}
	e, ok := h.list[i]
	switch {
	case !ok:
		e = heldAnnouncement{announcement: a, firstAt: now, latestAt: now}
	case *a.Sequence > *e.announcement.Sequence:
		e.announcement, e.latestAt = a, now
	}
	h.list[i] = e
	return e
}

// contains reports whether an announcement of an instance is held.
func (h *heldAnnouncements) contains(i instance) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.list[i]
	return ok
}

// remove forgets an instance.
func (h *heldAnnouncements) remove(i instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.list, i)
}

// all returns a copy of what is held.
func (h *heldAnnouncements) all() map[instance]heldAnnouncement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.list)
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
	switch c.check(ctx, i, e) {
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
	if c.held.contains(i) {
		return true
	}
	return !isSameInstance(local, i.id, i.startUnixMs) && c.Now().Sub(c.StartedAt) < memoryTime
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
		if v == accept || c.Now().Sub(e.latestAt) > holdTime {
			c.held.remove(i)
		}
		switch v {
		case accept:
			c.acceptServerAnnouncement(i.id, e.announcement)
		case hold:
			c.dropUnchecked(i)
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
		if len(inherited) == c.inherited {
			return old
		}
		own := slices.Clone(c.ended)
		c.ended, c.inherited = nil, len(inherited)
		for _, e := range append(slices.Clone(inherited), own...) {
			c.ended.merge(e)
		}
		c.Predecessors.SetEndedServers(c.ended)
		if old == nil || old.ID == "" || !c.ended.contains(instance{old.ID, old.StartUnixMs}) {
			return old
		}
		c.Logger.Info("announce: backend server had left before the daemon started", "id", old.ID, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
}
