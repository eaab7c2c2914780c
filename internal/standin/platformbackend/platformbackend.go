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
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/internal/controller/announce"
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

// Options configure a server.
type Options struct {
	ID, Service, AvailabilityZone string
	Slots                         int
	// DaemonURL is the URL of the backend listener of the daemon beside it.
	DaemonURL string
	// Dialect names the platform's headers.
	Dialect dialect.Dialect
	Logger  *slog.Logger
}

// Run serves ln and announces the server until ctx ends.
func Run(ctx context.Context, ln net.Listener, o Options) error {
	var t tomb.Tomb
	t.Go(func() error {
		t.Go(func() error { return announceUntilDone(ctx, ln.Addr().String(), o) })
		return serve.Run(ctx, ln, http.HandlerFunc(o.serve), serve.Options{Grace: shutdownGrace})
	})
	return t.Wait()
}

func (o Options) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(o.Dialect.RequestID, r.Header.Get(o.Dialect.RequestID))
	if want := r.Header.Get(o.Dialect.ExpectedServer); want != "" && want != o.ID {
		w.Header().Set(o.Dialect.ServerID, o.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(o.Dialect.Signature, o.ID)
	w.Header().Set(HeaderService, o.Service)
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
