package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/controller/announce"
)

const (
	renewInterval   = time.Second
	announceTimeout = time.Second
)

// announcer keeps the daemon beside the server told of it. Each renewal says
// everything, so a daemon that has restarted needs no more than the next one.
type announcer struct {
	daemonURL string
	client    *http.Client
	logger    *slog.Logger

	mu   sync.Mutex
	body announce.Announcement
	left bool
	// withdrawn is set once the daemon has taken the withdrawal. Repeating it
	// would withdraw a successor that has announced itself since.
	withdrawn bool
	changed   chan struct{}
}

func newAnnouncer(opts Options) *announcer {
	return &announcer{
		daemonURL: strings.TrimRight(opts.DaemonURL, "/"),
		client:    &http.Client{Timeout: announceTimeout},
		logger:    opts.Logger,
		body:      announce.Announcement{Service: opts.Service, Slots: opts.Slots},
		changed:   make(chan struct{}, 1),
	}
}

func (a *announcer) setURL(url string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body.URL = url
	a.body.HealthURL = url + pathHealth
}

func (a *announcer) setDraining(draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body.Draining = draining
	a.wake()
}

// setLeft withdraws the announcement, or announces again.
func (a *announcer) setLeft(left bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = left
	a.withdrawn = a.withdrawn && left
	a.wake()
}

func (a *announcer) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// run announces until ctx ends and withdraws then.
func (a *announcer) run(ctx context.Context) {
	if a.daemonURL == "" {
		<-ctx.Done()
		return
	}
	t := time.NewTicker(renewInterval)
	defer t.Stop()
	failing := false
	for {
		err := a.tell(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			a.logger.Info("backend: announcing", "failing", failing, "error", err)
		}
		select {
		case <-t.C:
		case <-a.changed:
		case <-ctx.Done():
			a.setLeft(true)
			if err := a.tell(context.WithoutCancel(ctx)); err != nil {
				a.logger.Warn("backend: announcement not withdrawn", "error", err)
			}
			return
		}
	}
}

// tell brings the daemon to what holds now.
func (a *announcer) tell(ctx context.Context) error {
	a.mu.Lock()
	body, left, withdrawn := a.body, a.left, a.withdrawn
	a.mu.Unlock()
	switch {
	case withdrawn:
		return nil
	case left:
		err := a.send(ctx, http.MethodDelete, "?url="+url.QueryEscape(body.URL), nil)
		a.mu.Lock()
		a.withdrawn = a.left && err == nil
		a.mu.Unlock()
		return err
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return a.send(ctx, http.MethodPut, "", raw)
}

func (a *announcer) send(ctx context.Context, method, query string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, a.daemonURL+announce.Path+query, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("daemon answered %s", resp.Status)
	}
	return nil
}
