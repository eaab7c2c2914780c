package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/internal/standin/platformbackend"
	"github.com/crocuscross/crocuscross/platform"
)

const (
	// probeInterval is the mean time between two probes of a host.
	probeInterval = 80 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

// probeHost sends requests to routes that changed lately through the daemon of a host, until ctx is
// done.
func (f *fleet) probeHost(ctx context.Context, h *host, rng *rand.Rand) error {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{}}
	for n := 0; ; n++ {
		if sleep(ctx, time.Duration(rng.ExpFloat64()*float64(probeInterval))) != nil {
			return nil
		}
		f.mu.Lock()
		p := probe{ID: fmt.Sprintf("%s-%d", h.name, n), Host: h.name, Incarnation: h.incarnation, Route: f.operator.drawRoute(rng)}
		f.mu.Unlock()
		f.send(ctx, client, h, &p)
		f.mu.Lock()
		if p.Incarnation != h.incarnation {
			// Another run of the daemon may have answered.
			p.Outcome = inconclusive
		}
		f.rec.Probes = append(f.rec.Probes, p)
		f.mu.Unlock()
	}
}

// send sends a probe and records how it ended.
func (f *fleet) send(ctx context.Context, client *http.Client, h *host, p *probe) {
	names := platform.Dialect()
	virtualHost, path, _ := strings.Cut(p.Route, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr(portCallers)+"/"+path+"x", nil)
	if err != nil {
		return
	}
	req.Host = virtualHost
	req.Header.Set(names.RequestID, p.ID)
	req.Header.Set(names.Remaining, fmt.Sprint(probeTimeout.Milliseconds()))
	p.Sent = time.Now()
	resp, err := client.Do(req)
	p.Ended = time.Now()
	if err != nil {
		return
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotFound:
		p.Outcome = refusedNoRoute
	case http.StatusOK:
		p.Outcome, p.Service = servedBy, resp.Header.Get(platformbackend.HeaderService)
		p.Server = resp.Header.Get(names.Signature)
		p.Limited, p.Leaving = resp.Header.Get(names.RateLimit) != "", resp.Header.Get(names.Leaving) != ""
	}
}
