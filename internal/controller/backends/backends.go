// Package backends derives the known backend servers from the membership table.
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
	// OnChange is called with each new set.
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

// Derive returns the backend servers of all members that are alive or suspect. The servers of
// suspect members are kept and marked as suspect: a region that is briefly unreachable must not
// leave its routes without servers.
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
				LinkMbps:         float64(m.LinkMbps),
				Draining:         a.Draining || m.Draining,
				Suspect:          m.Liveness == membership.Suspect,
				FirstSeen:        m.Since.Add(-a.Age),
			})
		}
	}
	return backend.NewSet(servers)
}
