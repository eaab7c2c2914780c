// Package platformbackend plays a backend server that speaks the platform's protocol: it announces itself
// with an ID to the daemon beside it, and answers each request with its service's name.
package platformbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/internal/controller/announce"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	shutdownGrace    = time.Second

	stateReady = "ready"
)

// HeaderService is the response header with the service of the server that ran the request.
const HeaderService = "X-Standin-Service"

// PathHealth is the path of the health check.
const PathHealth = "/health"

// Options configure a server.
type Options struct {
	ID, Service, AvailabilityZone string
	Slots                         int
	// Work is how long the server takes for each request.
	Work time.Duration
	// DaemonURL is the URL of the backend listener of the daemon beside it.
	DaemonURL string
	// Dialect names the platform's headers.
	Dialect dialect.Dialect
	Logger  *slog.Logger
}

// server is a running server.
type server struct {
	Options

	mu       sync.Mutex
	notice   Notice
	arrivals []Arrival
}

// Run serves ln and announces the server until ctx ends.
func Run(ctx context.Context, ln net.Listener, o Options) error {
	s := &server{Options: o}
	var t tomb.Tomb
	t.Go(func() error {
		t.Go(func() error { return announceUntilDone(ctx, ln.Addr().String(), o) })
		return serve.Run(ctx, ln, s.handler(), serve.Options{Grace: shutdownGrace})
	})
	return t.Wait()
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathNotice, s.setNotice)
	mux.HandleFunc("GET "+PathArrivals, s.listArrivals)
	mux.HandleFunc("GET "+PathHealth, s.health)
	mux.HandleFunc("/", s.serve)
	return mux
}

// health answers 200 unless the server leaves.
func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(s.Dialect.ServerID, s.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notice.Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(s.Dialect.RequestID, r.Header.Get(s.Dialect.RequestID))
	if want := r.Header.Get(s.Dialect.ExpectedServer); want != "" && want != s.ID {
		w.Header().Set(s.Dialect.ServerID, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.recordArrival(r.Header.Get(s.Dialect.RequestID))
	if !loop.Sleep(r.Context(), s.Work) {
		return
	}
	w.Header().Set(s.Dialect.Signature, s.ID)
	w.Header().Set(HeaderService, s.Service)
	s.writeNotice(w.Header())
}

func announceUntilDone(ctx context.Context, address string, o Options) error {
	client := &http.Client{Timeout: announceTimeout}
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for sequence := uint64(1); ; sequence++ {
		if err := o.announce(ctx, client, address, sequence); err != nil {
			o.Logger.Info("platformbackend: not announced", "server", o.ID, "error", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (o Options) announce(ctx context.Context, client *http.Client, address string, sequence uint64) error {
	body, err := json.Marshal(announce.ServerAnnouncement{
		Service: o.Service, Address: address, Slots: o.Slots, State: stateReady,
		AvailabilityZone: o.AvailabilityZone, Version: "v1", Sequence: &sequence,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, o.DaemonURL+announce.ServersPath+"/"+o.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("the daemon responded with %s", resp.Status)
	}
	return nil
}
