// Package operator is the daemon's HTTP listener for operators and monitoring,
// and its client.
package operator

import (
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/fleet"
	"github.com/crocuscross/crocuscross/membership"
)

// Paths of the listener.
const (
	pathStatus      = "/v1/status"
	pathStatusSelf  = "/v1/status/self"
	pathState       = "/v1/state"
	pathConvergence = "/v1/convergence"
	pathDrain       = "/v1/drain"
	pathHealthz     = "/healthz"
	pathReadyz      = "/readyz"
	pathProfiles    = "/debug/pprof"

	// PathMetrics is the same on a listener for the metrics alone.
	PathMetrics = "/metrics"
)

// Bounds of what operators may ask.
const (
	// DefaultWait is how long a question for convergence waits if it does not
	// say.
	DefaultWait = 4 * time.Second
	// MaxWait is the longest such wait.
	MaxWait = time.Minute
	// maxElapsed bounds how long ago a publish may have begun.
	maxElapsed = 24 * time.Hour

	maxDrainBytes = 4 << 10
	// statusTimeout bounds a whole status; a region that does not answer would
	// otherwise hold it up for a timeout per daemon.
	statusTimeout = 10 * time.Second
)

// FleetStatus is the answer of /v1/status.
type FleetStatus struct {
	// Host of the daemon that answers.
	Host string `json:"host"`
	// HighestOffset is the highest version that any daemon knows of.
	HighestOffset uint64   `json:"highest_offset"`
	Daemons       []Daemon `json:"daemons"`
}

// Daemon is one daemon's row in a status.
type Daemon struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	// Liveness as the answering daemon believes it.
	Liveness string `json:"liveness"`
	// Phase is joining, serving, draining or stopped; empty if the daemon did
	// not answer.
	Phase    string `json:"phase,omitempty"`
	Draining bool   `json:"draining"`
	// Offset is the version in force.
	Offset uint64 `json:"offset"`
	// Lag is how many versions the daemon is behind the highest known.
	Lag uint64 `json:"lag"`
	// InForceAgeMs is the time since Offset came into force, in ms.
	InForceAgeMs uint64 `json:"in_force_age_ms"`
	// BehindMs is how long the daemon has known of a later version, in ms.
	BehindMs uint64 `json:"behind_ms,omitempty"`
	// Reason tells why the daemon lags or did not answer.
	Reason string `json:"reason,omitempty"`
	// Reader is whether the daemon reads the platform's log.
	Reader         bool            `json:"reader"`
	BackendServers []BackendServer `json:"backend_servers,omitempty"`
	WithheldRoutes []string        `json:"withheld_routes,omitempty"`
	Version        string          `json:"version,omitempty"`
}

// BackendServer is one backend server beside a daemon.
type BackendServer struct {
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining"`
}

// Convergence is the answer of /v1/convergence.
type Convergence struct {
	Offset    uint64 `json:"offset"`
	Converged bool   `json:"converged"`
	// ConvergenceMs is how long after the start the last daemon that has the
	// version got it, in ms.
	ConvergenceMs int64      `json:"convergence_ms"`
	Daemons       []Progress `json:"daemons"`
}

// Progress is one daemon's part in a Convergence.
type Progress struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Offset           uint64 `json:"offset"`
	InForce          bool   `json:"in_force"`
	AfterMs          int64  `json:"after_ms"`
	Reason           string `json:"reason,omitempty"`
}

// DrainRequest is the body of /v1/drain. Without host and zone it drains the
// daemon that is asked.
type DrainRequest struct {
	Host   string `json:"host,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// DrainResponse is the answer of /v1/drain.
type DrainResponse struct {
	Daemons []DrainedDaemon `json:"daemons"`
}

// DrainedDaemon tells whether one daemon took the request to drain.
type DrainedDaemon struct {
	Host  string `json:"host"`
	Error string `json:"error,omitempty"`
}

// newFleetStatus joins the member table with what the daemons said.
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
		d.Reason = fleet.Trouble(a)
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

func newDrainAnswer(results []fleet.DrainResult) DrainResponse {
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
