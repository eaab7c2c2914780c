// Package members publishes the membership table on the blackboard and announces this daemon's
// backend server, drain and version in force to the other daemons.
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

// minPublishInterval is the minimum time between two views on the blackboard. Each view leads to
// new backend servers, connection pools, load-balancing plans and quota fleets. While hosts
// restart one after another, every tick brings changes, and small hosts would spend their CPU on
// views. The first change after a pause is published immediately. A delayed change waits less
// than a third of the time for which a backend server keeps accepting calls after it was taken
// out.
const minPublishInterval = 200 * time.Millisecond

// Controller owns the Members cell.
type Controller struct {
	Board      *blackboard.Board
	Membership *membership.Membership
	Now        func() time.Time
}

// Run publishes the membership table on the blackboard and announces the state from the
// blackboard to the other daemons, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.publishView, c.publishLocal, c.publishOffset)
}

// publishView copies the membership table to the blackboard when it changes, at most once per
// minPublishInterval.
func (c *Controller) publishView(ctx context.Context) error {
	for {
		changed := c.Membership.Watch()
		c.Board.Members.Store(c.Membership.View())
		if !loop.Sleep(ctx, minPublishInterval) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// publishLocal announces the local backend server and the drain to the other daemons.
func (c *Controller) publishLocal(ctx context.Context) error {
	var last advertisement
	for {
		local, localChanged := c.Board.Local.Watch()
		phase, phaseChanged := c.Board.Lifecycle.Watch()
		withheld, withheldChanged := c.Board.Withheld.Watch()
		next := advertisementOf(local, phase, withheld)
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

// publishOffset announces the offset of the configuration in force.
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

// advertisement is what is announced to the other daemons. A renewal by the backend server that
// changes none of it is not passed on.
type advertisement struct {
	service      string
	slots        int
	draining     bool
	hostDraining bool
	instance     uint32
	version      uint32
}

func advertisementOf(local *blackboard.LocalBackend, phase *blackboard.Lifecycle, withheld *bool) advertisement {
	var a advertisement
	if local != nil {
		a.service, a.slots, a.draining, a.instance = local.Service, local.Slots, local.Draining, InstanceDigest(local)
		a.version = VersionDigest(local.Version)
		// A withheld server is announced as draining, which spares other daemons a rejection.
		a.draining = a.draining || withheld != nil && *withheld
	}
	a.hostDraining = phase != nil && phase.Phase >= blackboard.Leaving
	return a
}

// nonzeroDigest returns a digest of s that is never 0.
func nonzeroDigest(s string) uint32 { return uint32(xxhash.Sum64String(s)) | 1 }

// VersionDigest returns the digest by which a server's version is announced, 0 for an empty
// version.
func VersionDigest(version string) uint32 {
	if version == "" {
		return 0
	}
	return nonzeroDigest(version)
}

// InstanceDigest returns a digest of the current instance of a server with an ID, 0 for a server
// without one. The time at which this daemon first saw the instance stands for its start, which
// the server may state later or never.
func InstanceDigest(local *blackboard.LocalBackend) uint32 {
	if local.ID == "" {
		return 0
	}
	return nonzeroDigest(local.ID + "@" + strconv.FormatInt(local.FirstSeen.UnixNano(), 36))
}

// announcements returns the announcements of the backend server, none if there is no server.
func (a advertisement) announcements(local *blackboard.LocalBackend, now time.Time) []membership.Announcement {
	if a.service == "" {
		return nil
	}
	return []membership.Announcement{{
		Service: a.service, Slots: a.slots, Draining: a.draining, Age: now.Sub(local.FirstSeen), Instance: a.instance, Version: a.version,
	}}
}
