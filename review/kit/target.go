package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerRequestID = "X-Crocuscross-Request-Id"
	headerDeadline  = "X-Crocuscross-Deadline-Ms"
	headerExpected  = "X-Crocuscross-Expected-Instance"
	headerNotRun    = "X-Crocuscross-Not-Executed"
	headerSignature = "X-Crocuscross-Server-Signature"
	headerInstance  = "X-Crocuscross-Instance-Id"
	headerTenant    = "X-Crocuscross-Tenant"

	// heartbeatTimeout is the time within which a heartbeat has to be acknowledged.
	heartbeatTimeout = time.Second
)

// Target is one incarnation of a target beside a daemon.
type Target struct {
	ID   string
	Host *Host
	// Born is the Unix millisecond of its start.
	Born int64

	d      *Deployment
	server *http.Server
	client *http.Client
	work   time.Duration
	done   chan struct{}
	ended  sync.Once

	mu       sync.Mutex
	sequence uint64
	runs     []Run
}

// Run is a request that a target ran.
type Run struct {
	ID, Path, Tenant string
	At               time.Time
}

// StartTarget starts a target that works for a time on each request, and its heartbeats.
func (h *Host) StartTarget(id string, work time.Duration) (*Target, error) {
	t, ln, err := h.newTarget(id)
	if err != nil {
		return nil, err
	}
	t.work = work
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(ln) }()
	return t, nil
}

// StartRawTarget starts a target whose connections are served by a function of the case, and its
// heartbeats.
func (h *Host) StartRawTarget(id string, serve func(*Target, net.Conn)) (*Target, error) {
	t, ln, err := h.newTarget(id)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(t, conn)
		}
	}()
	return t, nil
}

func (h *Host) newTarget(id string) (*Target, net.Listener, error) {
	ln, err := net.Listen("tcp", h.TargetAddress())
	if err != nil {
		return nil, nil, err
	}
	t := &Target{
		ID: id, Host: h, Born: time.Now().UnixMilli(), d: h.d, done: make(chan struct{}),
		client: &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	h.d.Record.Log("target started", "id", id, "service", h.Service, "host", h.Name)
	go t.beat()
	return t, ln, nil
}

func (t *Target) beat() {
	tick := time.NewTicker(Heartbeat)
	defer tick.Stop()
	for {
		t.send(t.heartbeat())
		select {
		case <-tick.C:
		case <-t.done:
			return
		}
	}
}

// heartbeat returns the body of the target's next heartbeat.
func (t *Target) heartbeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	beat := map[string]any{
		"service": t.Host.Service, "address": t.Host.TargetAddress(), "availability_zone": t.Host.Zone, "version": "v1",
		"slots": 64, "state": "ready", "warm_up_ms": 0, "sequence": t.sequence,
	}
	if t.d.opts.Born {
		beat["born"] = t.Born
	}
	body, _ := json.Marshal(beat)
	return body
}

// send sends a heartbeat to the daemon.
func (t *Target) send(body []byte) {
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/backend-servers/%s", t.Host.addr(portControl), t.ID), bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	sent, status := time.Now(), 0
	if resp, err := t.client.Do(req); err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	t.d.Record.LogAt(sent, "target: heartbeat", "id", t.ID, "body", string(body), "status", status)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		w.Header().Set(headerInstance, t.ID)
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if want := r.Header.Get(headerExpected); want != "" && want != t.ID {
		w.Header().Set(headerInstance, t.ID)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	t.AddRun(r)
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerSignature, t.ID+"."+id)
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = io.WriteString(w, "done by "+t.ID)
}

// AddRun records that the target begins to work on a request.
func (t *Target) AddRun(r *http.Request) {
	run := Run{ID: r.Header.Get(headerRequestID), Path: r.URL.Path, Tenant: r.Header.Get(headerTenant), At: time.Now()}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	t.d.Record.LogAt(run.At, "target runs", "target", t.ID, "request", run.ID, "tenant", run.Tenant)
}

// Runs returns what the target has run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// End ends the target as a crash does: it says nothing.
func (t *Target) End() {
	t.ended.Do(func() {
		close(t.done)
		if t.server != nil {
			_ = t.server.Close()
		}
		t.d.Record.Log("target ended", "id", t.ID)
	})
}
