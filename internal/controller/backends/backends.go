// Package backends derives the known backend servers from the table of
// daemons.
package backends

import (
	"context"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
)

// Controller owns the Backends cell.
type Controller struct {
	Board *blackboard.Board
	// OnChange is told of each new set.
	OnChange func(*backend.Set)
}

// Run reconciles until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	for {
		view, changed := c.Board.Members.Watch()
		if view != nil {
			set := Derive(view)
			c.Board.Backends.Store(set)
			c.OnChange(set)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Derive returns the backend servers of all members that work may be sent to.
// A suspect member's servers stay, marked as such: a region that is cut off for
// a moment must not empty the routes.
func Derive(view *membership.View) *backend.Set {
	var servers []*backend.Server
	for _, m := range view.Live() {
		for _, a := range m.Announcements {
			servers = append(servers, &backend.Server{
				ID:               backend.ID{Host: m.Host, Boot: m.Boot, Service: a.Service, Instance: a.Instance},
				AvailabilityZone: m.AvailabilityZone,
				Region:           m.Region,
				PeerAddr:         m.PeerAddr,
				Slots:            a.Slots,
				Draining:         a.Draining || m.Draining,
				Suspect:          m.Liveness == membership.Suspect,
				FirstSeen:        m.Since.Add(-a.Age),
			})
		}
	}
	return backend.NewSet(servers)
}
