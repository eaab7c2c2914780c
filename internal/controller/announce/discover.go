package announce

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/httphead"
)

const (
	// discoverTimeout bounds one request to the server, which answers immediately unless it is
	// at capacity.
	discoverTimeout = 500 * time.Millisecond
	// discoverAttempts is how often a server that does not answer is queried. After that many
	// timeouts it has announced itself or is not running.
	discoverAttempts = 3
	// assumedSlots is the number of concurrent calls assumed for the server until it announces
	// its own, which takes at most one heartbeat.
	assumedSlots = 8
	// maxHealthBytes limits how much of the response body is read, and maxHealthHeadBytes how much of its
	// head is held in memory.
	maxHealthBytes     = 4 << 10
	maxHealthHeadBytes = 16 << 10
)

// Discoverer queries the ID of the backend server on the host of a daemon that has just started.
// Without it, a daemon that restarts while the server keeps running would send the server no
// calls until its next announcement, up to 1.5 s later on the platform; if the whole fleet
// restarts, no calls are served for that long.
type Discoverer struct {
	Controller *Controller
	// Service is the service that the server offers.
	Service string
	// ServerIDHeader is the response header that contains the server's ID.
	ServerIDHeader string
	// HealthPath returns the path on which the server answers 200 while it is healthy and not
	// shutting down. ok is false while the path is unknown.
	HealthPath func() (path string, ok bool)
	// HealthPathChanged returns a channel that is closed when HealthPath may return something
	// else.
	HealthPathChanged func() <-chan struct{}
}

// Run queries the server until the server has answered or announced itself, or all attempts have
// failed. Then it waits for ctx.
func (d *Discoverer) Run(ctx context.Context) error {
	for attempt := 0; attempt < discoverAttempts && ctx.Err() == nil && d.Controller.Board.Local.Load() == nil; {
		changed := d.HealthPathChanged()
		path, ok := d.HealthPath()
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		attempt++
		id, err := d.QueryID(ctx, path)
		if err != nil {
			d.Controller.Logger.Info("announce: backend server not discovered", "address", d.Controller.Address, "try", attempt, "error", err)
			continue
		}
		d.addDiscovered(id)
	}
	<-ctx.Done()
	return nil
}

// directTransport connects to the server directly, even if the environment names a proxy.
var directTransport = &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHealthHeadBytes}

// QueryID requests the health path and returns the server's ID from the response. The error is set unless
// the server is healthy and not shutting down.
func (d *Discoverer) QueryID(ctx context.Context, path string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Controller.Address+path, nil)
	if err != nil {
		return "", err
	}
	req.Close = true
	resp, err := directTransport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if err := httphead.Check(resp); err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes))
	id := resp.Header.Get(d.ServerIDHeader)
	if resp.StatusCode != http.StatusOK || id == "" {
		return "", errors.Newf("health check answered with status %d and server id %q", resp.StatusCode, id)
	}
	return id, nil
}

// addDiscovered adds the server, unless one has announced itself in the meantime or the one with
// this ID has ended.
func (d *Discoverer) addDiscovered(id string) {
	c := d.Controller
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old != nil || c.ended.contains(instance{id: id}) {
			return old
		}
		now := c.Now()
		c.Logger.Info("announce: backend server discovered", "id", id, "service", d.Service)
		return &blackboard.LocalBackend{
			ID: id, Service: d.Service, URL: "http://" + c.Address, Slots: assumedSlots,
			FirstSeen: now, Expires: now.Add(c.ServerTTL),
		}
	})
}
