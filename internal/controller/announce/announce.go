// Package announce receives the announcements of the backend server on the daemon's host. An
// announcement lapses unless it is renewed, so that a crashed backend server stops receiving
// calls.
package announce

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/telemetry"
)

const (
	// Path is the HTTP path of the announcement on the backend listener.
	Path = "/v1/announcement"
	// TTL is how long an announcement on Path is valid without renewal.
	TTL = 5 * time.Second

	// paramURL is the query parameter with the URL of the server to withdraw.
	paramURL = "url"

	maxRequestBytes = 64 << 10
	maxSlots        = 100_000
	checkInterval   = 500 * time.Millisecond
)

// Announcement is the JSON body of a PUT on Path.
type Announcement struct {
	Service string `json:"service"`
	// URL is the base URL of the server; its host must be a loopback address.
	URL string `json:"url"`
	// Slots is the number of calls that the server runs concurrently.
	Slots     int    `json:"slots"`
	HealthURL string `json:"health_url,omitempty"`
	Draining  bool   `json:"draining,omitempty"`
}

// Controller serves the backend listener and owns the Local cell.
type Controller struct {
	Board  *blackboard.Board
	Logger *slog.Logger
	Now    func() time.Time
	// Address is the only address outside loopback that a server may announce, as IP:port; empty
	// allows none.
	Address string
	// ServerTTL is how long an announcement of a server with an ID is valid without renewal.
	ServerTTL time.Duration

	// Service is the server's service according to the settings, empty if only the announcement
	// states it.
	Service string
	// RejectionLogLimit limits the log lines about rejected announcements.
	RejectionLogLimit telemetry.LogLimiter

	// Predecessors is what is known of earlier processes of this daemon, nil if there were none.
	Predecessors Predecessors
	// StartedAt is when this process started. It is used only with Predecessors.
	StartedAt time.Time
	// QueryServerID queries the health check of the server at Address and returns the server's ID. The
	// error is ErrNoHealthCheck if servers have none, ErrNoDocument if that is not known yet, and another
	// one unless the server is known to be healthy and not shutting down. A nil function stands for
	// ErrNoHealthCheck.
	QueryServerID func(ctx context.Context) (id string, err error)

	// ended holds the instances that have ended, of which inherited were reported by Predecessors. They
	// are accessed only within updates of the Local cell, which are serialized.
	ended     endedInstances
	inherited int
	held      heldAnnouncements
}

// Handler returns the HTTP handler of the backend listener.
func (c *Controller) Handler() http.Handler {
	r := bunrouter.New()
	r.PUT(Path, c.put)
	r.DELETE(Path, c.withdraw)
	r.PUT(ServersPath+"/:"+paramID, c.register)
	r.DELETE(ServersPath+"/:"+paramID, c.deregister)
	return r
}

// Run removes announcements that have lapsed, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.inheritEnded()
			c.reviewHeld(ctx)
			c.expire()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) expire() {
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old == nil || old.Service == "" || c.Now().Before(old.Expires) {
			return old
		}
		c.Logger.Warn("announce: announcement lapsed", "id", old.ID, "service", old.Service)
		return &blackboard.LocalBackend{}
	})
}

func (c *Controller) put(w http.ResponseWriter, r bunrouter.Request) error {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		answer.Write(w, errkind.Wrap(errkind.BadRequest, err, "decode announcement"))
		return nil
	}
	if err := a.check(); err != nil {
		answer.Write(w, err)
		return nil
	}
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		return c.applyAnnouncement(old, a)
	})
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// applyAnnouncement returns the server state after an announcement on Path. A renewal, which has
// the same service and URL, keeps FirstSeen.
func (c *Controller) applyAnnouncement(old *blackboard.LocalBackend, a Announcement) *blackboard.LocalBackend {
	now := c.Now()
	n := &blackboard.LocalBackend{
		Service: a.Service, URL: a.URL, Slots: a.Slots, HealthURL: a.HealthURL, Draining: a.Draining,
		FirstSeen: now, Expires: now.Add(TTL),
	}
	if old != nil && old.Service == a.Service && old.URL == a.URL {
		n.FirstSeen = old.FirstSeen
	} else {
		c.Logger.Info("announce: backend server announced itself", "service", a.Service, "slots", a.Slots)
	}
	return n
}

// withdraw removes the announcement with the URL in the request, or any announcement if the
// request has no URL. Without the URL, a server that stops after its successor has announced
// itself would remove the successor's announcement.
func (c *Controller) withdraw(w http.ResponseWriter, r bunrouter.Request) error {
	withdrawnURL := r.URL.Query().Get(paramURL)
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old == nil || old.Service == "" || withdrawnURL != "" && withdrawnURL != old.URL {
			return old
		}
		c.Logger.Info("announce: backend server left", "service", old.Service)
		return &blackboard.LocalBackend{}
	})
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (a Announcement) check() error {
	if a.Service == "" {
		return errkind.New(errkind.BadRequest, "service is empty")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errkind.Newf(errkind.BadRequest, "slots must be 1 to %d, not %d", maxSlots, a.Slots)
	}
	if err := checkURL("url", a.URL); err != nil {
		return err
	}
	if a.HealthURL == "" {
		return nil
	}
	return checkURL("health_url", a.HealthURL)
}

// checkURL accepts only loopback addresses: the daemon must not be made to send calls to another
// host, bypassing that host's gate.
func checkURL(field, raw string) error {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" {
		return errkind.Newf(errkind.BadRequest, "%s must be an http URL, not %q", field, raw)
	}
	ap, err := netip.ParseAddrPort(u.Host)
	if err != nil || !ap.Addr().IsLoopback() {
		return errkind.Newf(errkind.BadRequest, "%s must name a loopback IP and port, not %q", field, u.Host)
	}
	return nil
}
