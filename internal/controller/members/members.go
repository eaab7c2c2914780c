// Package members keeps the table of daemons on the blackboard and tells the
// others of this daemon's backend server, phase and version in force.
package members

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
)

// publishGap is the least time between two views on the blackboard. Each is followed by new
// backend servers, pools, plans and a fleet for quotas; while hosts restart in turn there is
// news in every tick, and small hosts would spend their processor on views. The first news
// after a pause is told at once. What waits does so for less than a third of the time that a
// backend server goes on taking calls after it has been taken out.
const publishGap = 200 * time.Millisecond

// Controller owns the Members cell.
type Controller struct {
	Board      *blackboard.Board
	Membership *membership.Membership
	Now        func() time.Time
}

// Run reconciles in both directions until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.publishView, c.publishLocal, c.publishOffset)
}

// publishView copies the table to the blackboard when it changes, at most once in
// publishGap.
func (c *Controller) publishView(ctx context.Context) error {
	for {
		changed := c.Membership.Watch()
		c.Board.Members.Store(c.Membership.View())
		if !loop.Sleep(ctx, publishGap) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// publishLocal announces the backend server beside the daemon and the drain.
func (c *Controller) publishLocal(ctx context.Context) error {
	var last announced
	for {
		local, localChanged := c.Board.Local.Watch()
		phase, phaseChanged := c.Board.Lifecycle.Watch()
		withheld, withheldChanged := c.Board.Withheld.Watch()
		next := announcedBy(local, phase, withheld)
		if next != last {
			c.Membership.SetLocalState(next.announcements(local, c.Now()), next.hostDraining)
			last = next
		}
		select {
		case <-localChanged:
		case <-phaseChanged:
		case <-withheldChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) publishOffset(ctx context.Context) error {
	for {
		snap, changed := c.Board.Snapshot.Watch()
		if snap != nil {
			c.Membership.SetOffset(snap.Offset)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// announced is what the others are told; a renewal that changes nothing of it
// is not passed on.
type announced struct {
	service      string
	slots        int
	draining     bool
	hostDraining bool
	life         uint32
	version      uint32
}

func announcedBy(local *blackboard.LocalBackend, phase *blackboard.Lifecycle, withheld *bool) announced {
	var a announced
	if local != nil {
		a.service, a.slots, a.draining, a.life = local.Service, local.Slots, local.Draining, InstanceDigest(local)
		a.version = VersionDigest(local.Version)
		// Who passes it over is spared a refusal.
		a.draining = a.draining || withheld != nil && *withheld
	}
	a.hostDraining = phase != nil && phase.Phase >= blackboard.Leaving
	return a
}

// digest returns a digest that is not 0.
func digest(s string) uint32 { return uint32(xxhash.Sum64String(s)) | 1 }

// VersionDigest returns what the others are told of a server's version, 0 for none.
func VersionDigest(version string) uint32 {
	if version == "" {
		return 0
	}
	return digest(version)
}

// InstanceDigest returns a digest of the life that a server with an id is in, 0 for one without.
// The moment at which this daemon first saw it stands for its start, which the server may
// tell later or never.
func InstanceDigest(local *blackboard.LocalBackend) uint32 {
	if local.ID == "" {
		return 0
	}
	return digest(local.ID + "@" + strconv.FormatInt(local.FirstSeen.UnixNano(), 36))
}

func (a announced) announcements(local *blackboard.LocalBackend, now time.Time) []membership.Announcement {
	if a.service == "" {
		return nil
	}
	return []membership.Announcement{{
		Service: a.service, Slots: a.slots, Draining: a.draining, Age: now.Sub(local.FirstSeen), Instance: a.life, Version: a.version,
	}}
}
