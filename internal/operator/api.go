// Package operator implements the HTTP API of a daemon for operators and monitoring, and its
// client.
package operator

import (
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/fleet"
	"github.com/crocuscross/crocuscross/membership"
)

// Paths of the API.
const (
	pathStatus      = "/v1/status"
	pathStatusSelf  = "/v1/status/self"
	pathState       = "/v1/state"
	pathConvergence = "/v1/convergence"
	pathDrain       = "/v1/drain"
	pathHealthz     = "/healthz"
	pathReadyz      = "/readyz"
	pathProfiles    = "/debug/pprof"

	// PathMetrics is the path of the metrics. A listener that serves only metrics uses the same
	// path.
	PathMetrics = "/metrics"
)

// Limits of requests to the API.
const (
	// DefaultWait is how long a convergence request waits if it does not specify a wait.
	DefaultWait = 4 * time.Second
	// MaxWait is the maximum wait of a convergence request.
	MaxWait = time.Minute
	// maxElapsed is the maximum time since the start of the publish that a convergence request
	// refers to.
	maxElapsed = 24 * time.Hour

	// maxDrainBytes is the maximum size of the body of a drain request.
	maxDrainBytes = 4 << 10
	// statusTimeout limits the time for collecting the status of the whole fleet. An unreachable
	// region would otherwise delay the response by one timeout per daemon.
	statusTimeout = 10 * time.Second
)

// FleetStatus is the response to GET /v1/status.
type FleetStatus struct {
	// Host is the host of the daemon that responds.
	Host string `json:"host"`
	// HighestOffset is the latest configuration version that any daemon knows of.
	HighestOffset uint64   `json:"highest_offset"`
	Daemons       []Daemon `json:"daemons"`
}

// Daemon is the status of one daemon.
type Daemon struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	// Liveness is the liveness of the daemon in the member table of the responding daemon.
	Liveness string `json:"liveness"`
	// Phase is joining, serving, draining or stopped. It is empty if the daemon did not answer.
	Phase    string `json:"phase,omitempty"`
	Draining bool   `json:"draining"`
	// Offset is the configuration version that is in force at the daemon.
	Offset uint64 `json:"offset"`
	// Lag is the number of versions between Offset and HighestOffset.
	Lag uint64 `json:"lag"`
	// InForceAgeMs is the time since Offset came into force, in milliseconds.
	InForceAgeMs uint64 `json:"in_force_age_ms"`
	// BehindMs is how long the daemon has known of a later version, in milliseconds.
	BehindMs uint64 `json:"behind_ms,omitempty"`
	// Reason is why the daemon lags behind or did not answer.
	Reason string `json:"reason,omitempty"`
	// Reader is whether the daemon reads the platform log on behalf of its availability zone.
	Reader         bool            `json:"reader"`
	BackendServers []BackendServer `json:"backend_servers,omitempty"`
	// WithheldRoutes holds the names of the routes whose latest revision is not in force yet,
	// because its service has no backend server that accepts new calls.
	WithheldRoutes []string `json:"withheld_routes,omitempty"`
	// Version is the version of the daemon program.
	Version string `json:"version,omitempty"`
}

// BackendServer is a backend server on the host of a daemon.
type BackendServer struct {
	Service string `json:"service"`
	// Slots is the number of calls that the server processes concurrently.
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// Convergence is the response to GET /v1/convergence.
type Convergence struct {
	// Offset is the configuration version that was waited for.
	Offset uint64 `json:"offset"`
	// Converged is whether the version came into force at every live daemon before the wait ended.
	Converged bool `json:"converged"`
	// ConvergenceMs is the time from the start of the publish until the version came into force
	// at the last of the daemons that have it, in milliseconds.
	ConvergenceMs int64      `json:"convergence_ms"`
	Daemons       []Progress `json:"daemons"`
}

// Progress is the state of one daemon in a Convergence.
type Progress struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	// Offset is the version that was in force at the daemon when it last answered.
	Offset uint64 `json:"offset"`
	// InForce is whether the version that was waited for, or a later one, is in force.
	InForce bool `json:"in_force"`
	// AfterMs is the time from the start of the publish until the version came into force, at
	// most, in milliseconds. It is 0 if the version was in force before.
	AfterMs int64 `json:"after_ms"`
	// Reason is why the daemon is not known to have the version in force.
	Reason string `json:"reason,omitempty"`
}

// DrainRequest is the body of POST /v1/drain. Without a host and a zone, the daemon that
// receives the request is drained.
type DrainRequest struct {
	Host string `json:"host,omitempty"`
	// Zone is the availability zone whose daemons are drained.
	Zone string `json:"zone,omitempty"`
	// Reason is logged and reported by the drained daemons. The default names the address of
	// the client.
	Reason string `json:"reason,omitempty"`
}

// DrainResponse is the response to POST /v1/drain.
type DrainResponse struct {
	Daemons []DrainedDaemon `json:"daemons"`
}

// DrainedDaemon is the result of a drain request for one daemon.
type DrainedDaemon struct {
	Host string `json:"host"`
	// Error is why the daemon did not accept the request. It is empty if the daemon did.
	Error string `json:"error,omitempty"`
}

// newFleetStatus converts the reports on all members of the fleet. host is the host of this
// daemon.
func newFleetStatus(host string, reports []fleet.Report) FleetStatus {
	s := FleetStatus{Host: host, Daemons: make([]Daemon, 0, len(reports))}
	for _, r := range reports {
		d := newDaemon(r)
		s.Daemons = append(s.Daemons, d)
		s.HighestOffset = max(s.HighestOffset, d.Offset, r.Status.GetKnownOffset())
	}
	for i := range s.Daemons {
		s.Daemons[i].Lag = eventlog.RecordsBetween(s.Daemons[i].Offset, s.HighestOffset)
	}
	return s
}

func newDaemon(r fleet.Report) Daemon {
	m := r.Member
	d := Daemon{
		Host: m.Host, AvailabilityZone: m.AvailabilityZone, Region: m.Region,
		Liveness: m.Liveness.String(), Draining: m.Draining, Offset: m.Offset,
		BackendServers: newBackendServers(m.Announcements),
	}
	if r.Err != nil {
		d.Reason = "does not answer: " + r.Err.Error()
	}
	if a := r.Status; a != nil {
		d.Phase, d.Draining, d.Offset = a.GetPhase(), a.GetDraining(), a.GetOffset()
		d.InForceAgeMs, d.BehindMs = a.GetInForceAgeMs(), a.GetBehindMs()
		d.Reader, d.Version, d.WithheldRoutes = a.GetReader(), a.GetVersion(), a.GetWithheldRoutes()
		d.Reason = fleet.StallReason(a)
	}
	return d
}

func newBackendServers(list []membership.Announcement) []BackendServer {
	servers := make([]BackendServer, 0, len(list))
	for _, a := range list {
		servers = append(servers, BackendServer{Service: a.Service, Slots: a.Slots, Draining: a.Draining})
	}
	return servers
}

func newConvergence(c fleet.Convergence) Convergence {
	a := Convergence{
		Offset: c.Offset, Converged: c.Converged, ConvergenceMs: c.Time.Milliseconds(),
		Daemons: make([]Progress, 0, len(c.Daemons)),
	}
	for _, p := range c.Daemons {
		a.Daemons = append(a.Daemons, Progress{
			Host: p.Host, AvailabilityZone: p.AvailabilityZone, Offset: p.Offset,
			InForce: p.InForce, AfterMs: p.After.Milliseconds(), Reason: p.Reason,
		})
	}
	return a
}

func newDrainResponse(results []fleet.DrainResult) DrainResponse {
	a := DrainResponse{Daemons: make([]DrainedDaemon, 0, len(results))}
	for _, r := range results {
		d := DrainedDaemon{Host: r.Host}
		if r.Err != nil {
			d.Error = r.Err.Error()
		}
		a.Daemons = append(a.Daemons, d)
	}
	return a
}
