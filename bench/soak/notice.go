package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/bench/procs"
	"github.com/crocuscross/crocuscross/internal/standin/platformbackend"
)

const (
	// serverWork is how long a backend server takes for each request, so that some are in progress
	// at any time.
	serverWork = 30 * time.Millisecond
	// minRateLimit and maxRateLimit bound the limits that servers state, in requests per second. A
	// server gets some 12 without a limit.
	minRateLimit = 0.2
	maxRateLimit = 6
	// maxLimitChanges is how often a server changes its limit before it lifts it.
	maxLimitChanges = 3
	// minLimitTime and maxLimitTime bound the time between two changes.
	minLimitTime = 2 * time.Second
	maxLimitTime = 7 * time.Second
	// minLeaveTime and maxLeaveTime bound the time from a server's first statement that it leaves to
	// its end.
	minLeaveTime = 3 * time.Second
	maxLeaveTime = 8 * time.Second
)

// backendServer is the server beside the daemon of a host. Its fields are guarded by fleet.mu.
type backendServer struct {
	id      string
	process *procs.Process
	// taken is set while a fault uses the server.
	taken bool
}

// startServer starts a backend server with a new ID beside the daemon of a host.
func (f *fleet) startServer(ctx context.Context, h *host) error {
	f.mu.Lock()
	f.servers++
	id := fmt.Sprintf("i-%s-%d", h.name, f.servers)
	f.mu.Unlock()
	p, _, err := f.group.StartListening(ctx, h.name+"-backend", f.o.standin, "platform-backend", "--id", id, "--service", h.service,
		"--zone", h.zone, "--work", serverWork.String(), "--listen", h.addr(portBackend), "--daemon", "http://"+h.addr(portControl))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.server.id, h.server.process = id, p
	return nil
}

// limitServers makes servers state a limit, change it and lift it.
func limitServers(ctx context.Context, f *fleet, rng *rand.Rand) error {
	chosen := f.take(serverOf, f.drawHosts(rng))
	defer f.release(serverOf, chosen)
	for _, h := range chosen {
		defer f.disturb("server-limit", h)()
	}
	for range 1 + rng.IntN(maxLimitChanges) {
		for _, h := range chosen {
			n := platformbackend.Notice{Limited: true, RateLimit: drawRateLimit(rng)}
			if err := f.setNotice(ctx, h, n); err != nil {
				return err
			}
		}
		if err := sleep(ctx, between(rng, minLimitTime, maxLimitTime)); err != nil {
			return err
		}
	}
	for _, h := range chosen {
		if err := f.setNotice(ctx, h, platformbackend.Notice{}); err != nil {
			return err
		}
	}
	return nil
}

// drawRateLimit draws a limit, small ones as often as large ones.
func drawRateLimit(rng *rand.Rand) float64 {
	return minRateLimit * math.Pow(maxRateLimit/minRateLimit, rng.Float64())
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// leaveServers makes servers state in their responses that they leave, while they announce that they
// are ready, and replaces them after a while by others at the same addresses.
func leaveServers(ctx context.Context, f *fleet, rng *rand.Rand) error {
	chosen := f.take(serverOf, f.drawHosts(rng))
	defer f.release(serverOf, chosen)
	for _, h := range chosen {
		defer f.disturb("server-leaving", h)()
		if err := f.setNotice(ctx, h, platformbackend.Notice{Leaving: true}); err != nil {
			return err
		}
	}
	if err := sleep(ctx, between(rng, minLeaveTime, maxLeaveTime)); err != nil {
		return err
	}
	for _, h := range chosen {
		if err := f.collectArrivals(ctx, h); err != nil {
			return err
		}
		h.server.process.Stop()
		if err := f.startServer(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// setNotice changes what the server of a host states, and records it.
func (f *fleet) setNotice(ctx context.Context, h *host, n platformbackend.Notice) error {
	f.mu.Lock()
	f.rec.Notices = append(f.rec.Notices, serverNotice{Server: h.server.id, At: time.Now(), Notice: n})
	f.mu.Unlock()
	body, err := json.Marshal(n)
	if err != nil {
		return err
	}
	_, err = f.callServer(ctx, h, http.MethodPut, platformbackend.PathNotice, body)
	return err
}

// collectArrivals records the requests that the server of a host has received.
func (f *fleet) collectArrivals(ctx context.Context, h *host) error {
	b, err := f.callServer(ctx, h, http.MethodGet, platformbackend.PathArrivals, nil)
	if err != nil {
		return err
	}
	var list []platformbackend.Arrival
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "decode arrivals")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range list {
		f.rec.Arrivals = append(f.rec.Arrivals, arrival{Server: h.server.id, RequestID: a.RequestID, At: a.At})
	}
	return nil
}

func (f *fleet) callServer(ctx context.Context, h *host, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(portBackend)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s of %s", method, path, h.name)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s %s of %s: %s", method, path, h.name, resp.Status)
	}
	return b.Bytes(), nil
}
