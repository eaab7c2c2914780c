// Package settings reads a daemon's settings file: JSON with comments. What is
// fixed about each field (meaning, unit, default, bounds) is kept in Fields and
// nowhere else.
package settings

import (
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// Duration is a time.Duration written as "150ms".
type Duration time.Duration

// UnmarshalText parses the form of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText returns the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the shortest form: "1m" rather than "1m0s".
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Settings is the whole file.
type Settings struct {
	// Host names this host; unique in the fleet and the same for a
	// replacement under the same address.
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// LinkMbps is the bandwidth of the host's link, 0 where it is not stated.
	LinkMbps float64 `json:"link_mbps"`
	// Listen addresses, as IP:port. Peers is used for TCP and UDP and, unless
	// AdvertisePeers is set, told to the other daemons, so it must be reachable
	// for them.
	Listen Listen `json:"listen"`
	// Contacts are peer addresses of a few daemons to join by.
	Contacts   []string   `json:"contacts"`
	Backend    Backend    `json:"backend"`
	Platform   Platform   `json:"platform"`
	Membership Membership `json:"membership"`
	Spread     Spread     `json:"spread"`
	Requests   Requests   `json:"requests"`
	Retries    Retries    `json:"retries"`
	Rollouts   Rollouts   `json:"rollouts"`
	Drain      Drain      `json:"drain"`
	Log        Log        `json:"log"`
	Trace      Trace      `json:"trace"`
	Trial      Trial      `json:"trial"`
}

// Listen holds one address for each kind of client.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	// AdvertisePeers is told to the other daemons in place of Peers.
	AdvertisePeers string `json:"advertise_peers"`
	Operators      string `json:"operators"`
	// Metrics serves the metrics alone, beside Operators; empty for no such listener.
	Metrics string `json:"metrics"`
	// Backend is where the backend server beside the daemon announces itself.
	Backend string `json:"backend"`
}

// Backend tells of the backend server beside the daemon.
type Backend struct {
	// Service of the server, empty where only its announcement tells.
	Service string `json:"service"`
	// Address where it takes calls, empty where only its announcement tells.
	Address string `json:"address"`
	// Expires is how long an announcement with an id holds without renewal.
	Expires Duration `json:"expires"`
}

// Names of what the platform speaks.
const (
	ProtocolLog   = "log"
	ProtocolStore = "store"
)

// Platform tells how the platform's log is reached.
type Platform struct {
	URL string `json:"url"`
	// Protocol is log or store.
	Protocol string `json:"protocol"`
	// AppendTimeout bounds one append; after it the outcome is unknown.
	AppendTimeout Duration `json:"append_timeout"`
	// ReadWait is how long a read waits for new records.
	ReadWait Duration `json:"read_wait"`
	// Retention is how long the platform keeps a record, at least.
	Retention Duration `json:"retention"`
}

// Membership tunes the probes between daemons.
type Membership struct {
	ProbeInterval    Duration `json:"probe_interval"`
	ProbeTimeout     Duration `json:"probe_timeout"`
	SuspicionTimeout Duration `json:"suspicion_timeout"`
	// HealInterval is the mean time between two attempts to reach a dead daemon.
	HealInterval Duration `json:"heal_interval"`
	// JoinTimeout is how long a start waits for other daemons.
	JoinTimeout Duration `json:"join_patience"`
}

// Spread tunes how configuration travels.
type Spread struct {
	// ReadersPerZone daemons of each availability zone read the log. More make
	// convergence sturdier and cost reads at the source.
	ReadersPerZone int `json:"readers_per_zone"`
	// FanOut is how many daemons each daemon passes new records to.
	FanOut int `json:"fan_out"`
	// Mode and Redundancy have the names of spread.Mode and spread.Redundancy.
	Mode       string `json:"mode"`
	Redundancy string `json:"redundancy"`
	// OwnReadAfter is how long a daemon hears nothing before it reads the log
	// itself.
	OwnReadAfter Duration `json:"own_read_after"`
}

// Values of a switch.
const (
	Off = "off"
	On  = "on"
)

// Requests bounds what callers may ask.
type Requests struct {
	MaxHeaderBytes int   `json:"max_header_bytes"`
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	// HeaderTimeout bounds the time a caller takes to send the header.
	HeaderTimeout Duration `json:"header_timeout"`
	// MaxInFlight bounds the calls that this daemon holds at once.
	MaxInFlight int `json:"max_in_flight"`
	// MaxConnections bounds the callers' connections kept for further requests.
	MaxConnections int `json:"max_connections"`
	// ZoneCost is the time that a call loses by leaving the availability zone.
	ZoneCost Duration `json:"zone_cost"`
	// KilobyteCost is the time that 1,000 bytes are worth that stay in the
	// availability zone, for a latency objective of 1 s.
	KilobyteCost Duration `json:"kilobyte_cost"`
	// SlowStart is how long the share of calls of a new backend server grows.
	SlowStart Duration `json:"slow_start"`
	// SlowServers is eject or keep.
	SlowServers string `json:"slow_servers"`
	// Customers is required or optional.
	Customers string `json:"customers"`
	// CallerKeys is off or on. Each daemon that takes keys of callers' own making
	// reads the claims of all.
	CallerKeys string `json:"own_keys"`
}

// What becomes of slow backend servers.
const (
	SlowEject = "eject"
	SlowKeep  = "keep"
)

// Whether calls need a customer.
const (
	CustomersRequired = "required"
	CustomersOptional = "optional"
)

// Retries bounds what the whole fleet sends to backend servers again.
type Retries struct {
	Ratio float64 `json:"ratio"`
	Burst int     `json:"extra"`
}

// Rollouts bounds what a version gets that is not known to be good.
type Rollouts struct {
	// MaxShare of a service's calls and Slack calls beside it may reach the new version
	// before it is known to be good.
	MaxShare float64 `json:"max_share"`
	Slack    int     `json:"slack"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// Timeout is the time from SIGTERM to the kill of the process.
	Timeout Duration `json:"timeout"`
}

// Log tunes the daemon's own log lines.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// Trace tells where spans go.
type Trace struct {
	// Exporter is none, stdout or otlp.
	Exporter string `json:"exporter"`
	// Endpoint of the OTLP collector (HTTP), as a URL.
	Endpoint string `json:"endpoint"`
	// Ratio of calls traced when the caller did not decide, 0 to 1.
	Ratio float64 `json:"ratio"`
}

// Trial leaves out one mechanism, to measure what it is worth.
type Trial struct {
	Without string `json:"without"`
}

// What Trial.Without may name.
const (
	// WithoutNothing leaves all mechanisms in place.
	WithoutNothing = "nothing"
	// WithoutNestedCalls treats calls that services make like callers' requests.
	WithoutNestedCalls = "nested"
	// WithoutRouteClasses takes all calls at a gate for alike.
	WithoutRouteClasses = "routes"
	// WithoutObjective bounds waits at gates by the senders' patience alone.
	WithoutObjective = "objective"
	// WithoutObjectiveRetryAfter tells refused callers to come back when the queue is served.
	WithoutObjectiveRetryAfter = "timely_returns"
	// WithoutAdmissionCheck sends bodies of up to 16 kB along with their calls.
	WithoutAdmissionCheck = "questions"
	// WithoutDrainNotice tells the other daemons of a drain at its beginning.
	WithoutDrainNotice = "notice"
	// WithoutCallerRetries takes callers that come back for new ones.
	WithoutCallerRetries = "returns"
	// WithoutBusyGates tries gates that have just told of a long queue.
	WithoutBusyGates = "busy"
	// WithoutLocality takes bytes between availability zones for free.
	WithoutLocality = "locality"
)

// Default returns the settings that hold where the file says nothing.
func Default() Settings {
	var s Settings
	for _, f := range Fields {
		if f.Default != nil {
			s.set(f.Path, f.defaultJSON())
		}
	}
	return s
}

// Load reads a file over the defaults. The error of a file that was read is a
// jsonc.Problems with all that is wrong with it.
func Load(path string) (*Settings, error) {
	d, err := jsonc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return check(d)
}

// Parse is Load for bytes that are at hand. The file name is only shown.
func Parse(file string, raw []byte) (*Settings, error) {
	d, err := jsonc.Parse(file, raw)
	if err != nil {
		return nil, err
	}
	return check(d)
}
