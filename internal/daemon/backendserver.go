package daemon

import (
	"context"

	"github.com/crocuscross/crocuscross/internal/controller/announce"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/membership"
)

// discoverBackend queries the backend server on this host for its ID. It does nothing on platforms
// whose servers do not report an ID, or if no address is configured.
func (d *Daemon) discoverBackend(ctx context.Context) error {
	if !d.discoversServer() {
		return idle(ctx)
	}
	return d.discoverer().Run(ctx)
}

// discoversServer reports whether the backend server on this host has a known address and states its ID.
func (d *Daemon) discoversServer() bool {
	return d.dialect().ServerID != "" && d.settings.Backend.Address != ""
}

func (d *Daemon) discoverer() *announce.Discoverer {
	return &announce.Discoverer{
		Controller: d.announce, Service: d.settings.Backend.Service, ServerIDHeader: d.dialect().ServerID,
		HealthPath: d.healthPath,
		HealthPathChanged: func() <-chan struct{} {
			_, changed := d.board.Snapshot.Watch()
			return changed
		},
	}
}

// checkAnnouncements makes the announce controller check announcements that an earlier process of this
// daemon may have had reason to ignore. In the first start of a fleet there was none.
func (d *Daemon) checkAnnouncements() {
	if d.settings.FirstStart == settings.On {
		return
	}
	d.announce.Predecessors, d.announce.StartedAt = predecessors{d}, d.created
	if d.discoversServer() {
		d.announce.QueryServerID = d.queryServerID
	}
}

// predecessors implements announce.Predecessors.
type predecessors struct{ *Daemon }

func (p predecessors) Asked() bool {
	select {
	case <-p.joined:
		return true
	default:
		return false
	}
}

func (p predecessors) EndedBefore() []membership.EndedServer { return p.membership.EndedBefore() }

func (p predecessors) SetEndedServers(list []membership.EndedServer) {
	p.membership.SetEndedServers(list)
}

// queryServerID implements announce.Controller.QueryServerID.
func (d *Daemon) queryServerID(ctx context.Context) (string, error) {
	if snap := d.board.Snapshot.Load(); snap == nil || snap.Document() == nil {
		return "", announce.ErrNoDocument
	}
	path, ok := d.healthPath()
	if !ok {
		return "", announce.ErrNoHealthCheck
	}
	return d.discoverer().QueryID(ctx, path)
}

// healthPath returns the path of the health check of the backend server on this host according to
// the document in force, and whether there is one.
func (d *Daemon) healthPath() (string, bool) {
	snap := d.board.Snapshot.Load()
	if snap == nil || snap.Document() == nil {
		return "", false
	}
	return snap.Document().HealthPath(d.settings.Backend.Service)
}
