package announce

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/blackboard"
)

const (
	// discoverTimeout bounds one question to the backend server, which answers at
	// once unless it is full.
	discoverTimeout = 500 * time.Millisecond
	// discoverTries is how often a server that does not answer is asked: by then it
	// has announced itself, or is not there.
	discoverTries = 3
	// assumedSlots is how many calls the server is taken to run at once until it has
	// announced itself, within a heartbeat.
	assumedSlots = 8
	// maxHealthBytes bounds what is read of the answer.
	maxHealthBytes = 4 << 10
)

// Discoverer asks the backend server beside a daemon that has just started who it is.
// A daemon that restarts while the server runs on would else leave it without calls
// until its next announcement, which is up to 1.5 s away on the platform; with a fleet
// that restarts as a whole nothing is served for so long.
type Discoverer struct {
	Controller *Controller
	// Service is the server's.
	Service string
	// ServerIDHeader is the header field in which the server names itself.
	ServerIDHeader string
	// HealthPath returns where the server answers 200 while it is healthy and does
	// not leave; ok is false while that is not known.
	HealthPath func() (path string, ok bool)
	// HealthPathChanged returns a channel that is closed when HealthPath may tell more.
	HealthPathChanged func() <-chan struct{}
}

// Run asks until the server has answered or announced itself, and waits for ctx then.
func (d *Discoverer) Run(ctx context.Context) error {
	for tries := 0; tries < discoverTries && ctx.Err() == nil && d.Controller.Board.Local.Load() == nil; {
		changed := d.HealthPathChanged()
		path, ok := d.HealthPath()
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		tries++
		id, err := d.ask(ctx, path)
		if err != nil {
			d.Controller.Logger.Info("announce: backend server not discovered", "address", d.Controller.Address, "try", tries, "error", err)
			continue
		}
		d.found(id)
	}
	<-ctx.Done()
	return nil
}

// direct reaches the server beside the daemon whatever proxy the environment names.
var direct = &http.Transport{DisableKeepAlives: true}

func (d *Discoverer) ask(ctx context.Context, path string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Controller.Address+path, nil)
	if err != nil {
		return "", err
	}
	req.Close = true
	resp, err := direct.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes))
	id := resp.Header.Get(d.ServerIDHeader)
	if resp.StatusCode != http.StatusOK || id == "" {
		return "", errors.Newf("status %d, id %q", resp.StatusCode, id)
	}
	return id, nil
}

// found takes the server in, unless it has announced itself meanwhile.
func (d *Discoverer) found(id string) {
	c := d.Controller
	c.Board.Local.Update(func(old *blackboard.LocalBackend) *blackboard.LocalBackend {
		if old != nil || c.lives.has(life{id: id}) {
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
