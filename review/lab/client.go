package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID, Method, VirtualHost, Path string
	Key                           string
	Deadline                      time.Duration
	Body                          []byte
}

// Answer is what the client got. Status is 0 if there was no complete answer.
type Answer struct {
	Status         int
	Signature      string
	Body           []byte
	Sent, Received time.Time
	Err            error
}

// NewClient returns an HTTP client that never repeats a request by itself.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 2 * time.Second}}
}

// Do sends a request to the daemon of a host.
func Do(ctx context.Context, client *http.Client, h *Host, q Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	a := Answer{Sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+h.Callers()+q.Path, io.NopCloser(bytes.NewReader(q.Body)))
	if err != nil {
		a.Err = err
		return a
	}
	req.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Host = q.VirtualHost
	req.Header.Set(headerRequestID, q.ID)
	req.Header.Set(headerDeadline, fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Key != "" {
		req.Header.Set("Authorization", "Bearer "+q.Key)
	}
	resp, err := client.Do(req)
	a.Received = time.Now()
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Received = time.Now()
	if a.Err == nil {
		a.Status, a.Signature = resp.StatusCode, resp.Header.Get(headerSignature)
	}
	return a
}

// Route is a route of a configuration document.
type Route struct {
	Name        string `json:"name"`
	VirtualHost string `json:"virtual_host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout_ms"`
	ObjectiveMs int    `json:"latency_objective_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service,omitempty"`
	MaxAttempts int    `json:"max_attempts"`
}

// Account is an account of a configuration document.
type Account struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_second"`
	Burst float64  `json:"burst"`
}

// The kinds of routes.
const (
	Idempotent    = "CALL_KIND_IDEMPOTENT"
	NonIdempotent = "CALL_KIND_NON_IDEMPOTENT"
	Upload        = "CALL_KIND_UPLOAD"
)

// Document is a configuration.
type Document struct {
	Version  uint64              `json:"version"`
	Services []map[string]string `json:"services"`
	Routes   []Route             `json:"routes"`
	Accounts []Account           `json:"accounts,omitempty"`
}

// NewDocument returns a configuration with the given services.
func NewDocument(version uint64, services ...string) *Document {
	d := &Document{Version: version}
	for _, s := range services {
		d.Services = append(d.Services, map[string]string{"name": s, "health_path": healthPath})
	}
	return d
}
