package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The headers of the platform.
const (
	headerRequestID = "X-Crocuscross-Request-Id"
	headerDeadline  = "X-Crocuscross-Deadline-Ms"
	headerSignature = "X-Crocuscross-Server-Signature"
	headerExpected  = "X-Crocuscross-Expected-Instance"
	headerInstance  = "X-Crocuscross-Instance-Id"
	headerTenant    = "X-Crocuscross-Tenant"
)

const (
	healthPath       = "/health"
	heartbeatEvery   = 1500 * time.Millisecond
	heartbeatTimeout = time.Second
)

// Run is one request that a backend server has run.
type Run struct {
	At             time.Time
	Server, ID     string
	Method, Target string
	Tenant         string
	// Failed is whether the server answers with a failure.
	Failed bool
}

// Server is a backend server on a host. It keeps the platform's protocol.
type Server struct {
	lab  *Lab
	Host *Host
	ID   string
	// Version is the version of the server's software.
	Version string
	work    time.Duration
	http    *http.Server

	mu        sync.Mutex
	runs      []Run
	sequence  uint64
	state     string
	announces bool
	// failShare is the share of the requests that the server answers with a failure from failFrom on.
	failShare float64
	failFrom  time.Time
}

// StartServer starts the backend server of a host, which works on each request for the given time.
func (l *Lab) StartServer(ctx context.Context, h *Host, id string, work time.Duration) (*Server, error) {
	return l.StartServerVersion(ctx, h, id, "v1", work)
}

// StartServerVersion is StartServer for a version of the software.
func (l *Lab) StartServerVersion(ctx context.Context, h *Host, id, version string, work time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", h.ServerAddress())
	if err != nil {
		return nil, err
	}
	s := &Server{lab: l, Host: h, ID: id, Version: version, work: work, state: "ready", announces: true}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(ln) }()
	go s.heartbeats(ctx)
	return s, nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set(headerInstance, s.ID)
		s.mu.Lock()
		leaving := s.state != "ready"
		s.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if want := r.Header.Get(headerExpected); want != "" && want != s.ID {
		w.Header().Set(headerInstance, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	failed := time.Now().After(s.failFrom) && rand.Float64() < s.failShare
	s.mu.Unlock()
	run := Run{
		At: time.Now(), Server: s.ID, ID: r.Header.Get(headerRequestID), Method: r.Method, Target: r.RequestURI,
		Tenant: r.Header.Get(headerTenant), Failed: failed,
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if Sleep(r.Context(), s.work) != nil {
		return
	}
	w.Header().Set(headerSignature, s.ID)
	if run.Failed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "done by "+s.ID)
}

// Fail makes the server answer a share of the requests with a failure from a time on.
func (s *Server) Fail(share float64, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failShare, s.failFrom = share, from
}

// Exit ends the server at once, with the requests that it is working on.
func (s *Server) Exit() {
	s.StopHeartbeats()
	_ = s.http.Close()
	s.lab.Logf("%s has exited", s.ID)
}

// Runs returns the requests run so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		announces := s.announces
		s.mu.Unlock()
		if announces {
			_, _ = s.Send(ctx, s.Heartbeat())
		}
		if Sleep(ctx, heartbeatEvery) != nil {
			return
		}
	}
}

// StopHeartbeats ends the heartbeats.
func (s *Server) StopHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announces = false
}

// SetLeaving makes the health check fail, as that of a server that leaves.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

// Heartbeat returns the next heartbeat.
func (s *Server) Heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	b, _ := json.Marshal(map[string]any{
		"address": s.Host.ServerAddress(), "service": s.Host.Service, "version": s.Version, "availability_zone": s.Host.Zone, "slots": 9,
		"state": s.state, "sequence": s.sequence, "warm_up_ms": 0,
	})
	return b
}

// Send sends a heartbeat and returns the status of the answer.
func (s *Server) Send(ctx context.Context, heartbeat []byte) (int, error) {
	return s.call(ctx, http.MethodPut, heartbeat)
}

// Withdraw sends the DELETE of the server and returns the status of the answer.
func (s *Server) Withdraw(ctx context.Context) (int, error) {
	return s.call(ctx, http.MethodDelete, nil)
}

func (s *Server) call(ctx context.Context, method string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/backend-servers/%s", s.Host.Control(), s.ID)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.lab.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}
