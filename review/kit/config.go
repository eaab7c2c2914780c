package kit

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// HealthPath is the path of the targets' health check.
const HealthPath = "/health"

// The kinds of a route.
const (
	Idempotent    = "CALL_KIND_IDEMPOTENT"
	NonIdempotent = "CALL_KIND_NON_IDEMPOTENT"
	Upload        = "CALL_KIND_UPLOAD"
)

// Config is a configuration as the operator writes it.
type Config struct {
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Tenants  []Tenant  `json:"accounts,omitempty"`
	Limits   Limits    `json:"limits"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
}

// Route is a route of a configuration.
type Route struct {
	Name        string `json:"name"`
	VirtualHost string `json:"virtual_host"`
	PathPrefix  string `json:"path_prefix"`
	Service     string `json:"service"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout_ms"`
	AimMs       int    `json:"latency_objective_ms"`
	MaxAttempts int    `json:"max_attempts"`
	Priority    int    `json:"priority"`
}

// Tenant is a tenant of a configuration.
type Tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	PerS  float64  `json:"rate_per_second"`
	Burst float64  `json:"burst"`
}

// NewConfig returns a configuration with services, without routes.
func NewConfig(version uint64, services ...string) Config {
	c := Config{Version: version, Limits: Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
	for _, s := range services {
		c.Services = append(c.Services, Service{s, HealthPath})
	}
	return c
}

// AddRoute adds a route of a service on a host of its own name.
func (c *Config) AddRoute(name, service, kind string, timeoutMs int) {
	c.Routes = append(c.Routes, Route{
		Name: name, VirtualHost: name + ".example", PathPrefix: "/" + name + "/", Service: service, Kind: kind,
		TimeoutMs: timeoutMs, AimMs: timeoutMs / 3, MaxAttempts: 2, Priority: 1,
	})
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in the settings template as the platform does, as far as deploy/daemon.jsonc uses
// its syntax.
func render(template string, fields map[string]any) (string, error) {
	out := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		v, ok := lookup(fields, m[2])
		if present := ok && v != false; present != (m[1] == "#") {
			return ""
		}
		return m[3]
	})
	out = placeholderPattern.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholderPattern.FindStringSubmatch(s)
		v, ok := lookup(fields, m[1])
		if !ok {
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	if i := strings.Index(out, "{{"); i >= 0 {
		return "", fmt.Errorf("the settings template has an unknown placeholder: %.40q", out[i:])
	}
	return out, nil
}

func lookup(fields map[string]any, path string) (any, bool) {
	var v any = fields
	for key := range strings.SplitSeq(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil, false
		}
		if v, ok = m[key]; !ok {
			return nil, false
		}
	}
	return v, true
}
