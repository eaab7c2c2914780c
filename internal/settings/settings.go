// Package settings reads a daemon's settings file, which is JSON with comments. Fields alone
// defines the description, unit, default and bounds of each field.
package settings

import (
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// Duration is a time.Duration that is written as text such as "150ms".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the shortest text, such as "1m" rather than "1m0s".
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

// Settings holds the settings of a daemon.
type Settings struct {
	// Host is the name of this host. It is unique in the fleet. A replacement host with the same
	// address keeps the name.
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, 0 if it is not stated.
	LinkMbps float64 `json:"link_mbps"`
	// Listen holds the listen addresses as IP:port. Peers is used for TCP and UDP. Unless
	// AdvertisePeers is set, Peers is also sent to the other daemons and must be reachable for them.
	Listen Listen `json:"listen"`
	// Contacts are the peer addresses of a few daemons through which this daemon joins the fleet.
	Contacts []string `json:"contacts"`
	// Seeds are addresses on a few hosts with a daemon, whose listener for other daemons has the
	// port of Listen.Peers. The ports in the addresses are ignored.
	Seeds []string `json:"seeds"`
	// FirstStart is whether all hosts of the fleet start now for the first time, on or off.
	FirstStart string         `json:"first_start"`
	Backend    Backend        `json:"backend"`
	Platform   Platform       `json:"platform"`
	Membership Membership     `json:"membership"`
	Spread     Spread         `json:"spread"`
	Requests   Requests       `json:"requests"`
	Retries    Retries        `json:"retries"`
	Quota      Quota          `json:"quota"`
	Rollouts   Rollouts       `json:"rollouts"`
	Load       LoadManagement `json:"load"`
	Drain      Drain          `json:"drain"`
	Log        Log            `json:"log"`
	Trace      Trace          `json:"trace"`
	Trial      Trial          `json:"trial"`
}

// Listen holds one listen address for each kind of client.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	// AdvertisePeers is sent to the other daemons instead of Peers unless it is empty.
	AdvertisePeers string `json:"advertise_peers"`
	Operators      string `json:"operators"`
	// Metrics is the address of a listener that serves only the metrics, which Operators serves as
	// well. If it is empty, there is no such listener.
	Metrics string `json:"metrics"`
	// Backend is the address at which the local backend server announces itself.
	Backend string `json:"backend"`
}

// Backend describes the local backend server, which runs on the daemon's host.
type Backend struct {
	// Service is the service of the server. If it is empty, the announcement states the service.
	Service string `json:"service"`
	// Address is the IP:port at which the server accepts calls. If it is empty, only the announcement
	// states the address.
	Address string `json:"address"`
	// Expires is how long an announcement with an ID is valid without renewal.
	Expires Duration `json:"expires"`
}

// Values of Platform.Protocol.
const (
	ProtocolLog   = "log"
	ProtocolStore = "store"
)

// Platform configures the access to the platform's log.
type Platform struct {
	URL string `json:"url"`
	// Protocol is log or store.
	Protocol string `json:"protocol"`
	// AppendTimeout limits one append. An append that times out has an unknown outcome.
	AppendTimeout Duration `json:"append_timeout"`
	// ReadWait is how long a read waits for new records.
	ReadWait Duration `json:"read_wait"`
	// Retention is the minimum time for which the platform keeps a record.
	Retention Duration `json:"retention"`
}

// Membership configures the membership of the daemons, such as the probes between them.
type Membership struct {
	ProbeInterval    Duration `json:"probe_interval"`
	ProbeTimeout     Duration `json:"probe_timeout"`
	SuspicionTimeout Duration `json:"suspicion_timeout"`
	// HealInterval is the mean time between two attempts to reach a dead daemon.
	HealInterval Duration `json:"heal_interval"`
	// JoinTimeout is how long a starting daemon waits for other daemons.
	JoinTimeout Duration `json:"join_patience"`
}

// Spread configures the distribution of configuration between daemons.
type Spread struct {
	// ReadersPerZone is the number of daemons in each availability zone that read the log. More
	// readers make convergence more reliable and cause more reads from the log.
	ReadersPerZone int `json:"readers_per_zone"`
	// FanOut is the number of daemons to which each daemon forwards new records.
	FanOut int `json:"fan_out"`
	// Mode and Redundancy are the names of a spread.Mode and a spread.Redundancy.
	Mode       string `json:"mode"`
	Redundancy string `json:"redundancy"`
	// OwnReadAfter is how long a daemon receives no offset from other daemons before it reads the
	// log itself.
	OwnReadAfter Duration `json:"own_read_after"`
}

// Values of Requests.CallerKeys, of FirstStart and of the switches in LoadManagement.
const (
	Off = "off"
	On  = "on"
)

// Requests configures and limits the calls of callers.
type Requests struct {
	MaxHeaderBytes int   `json:"max_header_bytes"`
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	// HeaderTimeout limits the time in which a caller sends the header of a call.
	HeaderTimeout Duration `json:"header_timeout"`
	// MaxInFlight limits the calls in progress on this daemon.
	MaxInFlight int `json:"max_in_flight"`
	// MaxConnections limits the callers' connections that are kept alive for further requests.
	MaxConnections int `json:"max_connections"`
	// ZoneCost is the additional round-trip time of a call that leaves the availability zone.
	ZoneCost Duration `json:"zone_cost"`
	// KilobyteCost is the time per 1,000 bytes that a call may lose in order to stay in the
	// availability zone, at a latency objective of 1 s. It is proportional to the objective.
	KilobyteCost Duration `json:"kilobyte_cost"`
	// SlowStart is the time over which the share of calls of a new backend server increases.
	SlowStart Duration `json:"slow_start"`
	// SlowServers is the treatment of slow backend servers, eject or keep.
	SlowServers string `json:"slow_servers"`
	// Customers is whether calls need a customer, required or optional.
	Customers string `json:"customers"`
	// CallerKeys is whether idempotency keys that callers generate are accepted, off or on. A daemon
	// that accepts them reads the claims of all daemons.
	CallerKeys string `json:"own_keys"`
}

// Values of Requests.SlowServers.
const (
	SlowEject = "eject"
	SlowKeep  = "keep"
)

// Values of Requests.Customers.
const (
	CustomersRequired = "required"
	CustomersOptional = "optional"
)

// Retries limits the retries of the whole fleet.
type Retries struct {
	// Ratio is the maximum share of calls that are retried, 0 to 1.
	Ratio float64 `json:"ratio"`
	// Burst is the number of calls that may be retried beyond Ratio after a time without retries.
	Burst int `json:"extra"`
}

// Quota is by how much the calls that are admitted in a window may exceed a customer's limits:
// (rate x Window + burst) x (1 + Share) + Calls.
type Quota struct {
	// Window is 0 if the limits are to be kept as closely as possible.
	Window Duration `json:"window"`
	Share  float64  `json:"share"`
	Calls  int      `json:"calls"`
}

// Rollouts limits the calls that reach a new version of a service during its rollout.
type Rollouts struct {
	// MaxShare and Slack limit the calls that may reach the new version before it is known to be
	// good: the share MaxShare of the service's calls, plus Slack calls.
	MaxShare float64 `json:"max_share"`
	Slack    int     `json:"slack"`
}

// LoadManagement switches on parts of the load management that suit some deployments only. Each is Off or On.
type LoadManagement struct {
	// ZoneSpill makes a call leave its availability zone only where that saves more slot time than its
	// bytes cost.
	ZoneSpill string `json:"zone_spill"`
	// ZoneKilobyteTime is the slot time that 1,000 bytes of traffic between availability zones are
	// worth.
	ZoneKilobyteTime Duration `json:"zone_kilobyte_time"`
	// UrgentSlots reserves slots at gates for urgent calls.
	UrgentSlots string `json:"urgent_slots"`
	// AccountShares divides the slots of a route between accounts.
	AccountShares string `json:"account_shares"`
	// LinkPlacement places large bodies by the network links of hosts.
	LinkPlacement string `json:"link_placement"`
	// SpeedPlacement places calls by the speed of backend servers.
	SpeedPlacement string `json:"speed_placement"`
	// RetryRanks keeps a part of the retry budget for the calls whose loss costs most.
	RetryRanks string `json:"retry_ranks"`
}

// Drain limits the duration of a graceful shutdown.
type Drain struct {
	// Timeout is the time from SIGTERM until the process is killed.
	Timeout Duration `json:"timeout"`
}

// Log configures the daemon's log lines.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `json:"level"`
	// Format is text or json.
	Format string `json:"format"`
}

// Trace configures the export of spans.
type Trace struct {
	// Exporter is none, stdout or otlp.
	Exporter string `json:"exporter"`
	// Endpoint is the URL of the OTLP collector (HTTP).
	Endpoint string `json:"endpoint"`
	// Ratio is the fraction of calls that are traced, 0 to 1. It applies to calls without a sampling
	// decision of the caller.
	Ratio float64 `json:"ratio"`
}

// Trial disables one mechanism in order to measure its effect.
type Trial struct {
	// Without is the name of the disabled mechanism.
	Without string `json:"without"`
}

// Values of Trial.Without.
const (
	// WithoutNothing keeps all mechanisms enabled.
	WithoutNothing = "nothing"
	// WithoutNestedCalls treats calls made by services like calls of outside callers.
	WithoutNestedCalls = "nested"
	// WithoutRouteClasses makes gates treat the calls of all routes alike.
	WithoutRouteClasses = "routes"
	// WithoutObjective limits waits at gates only by the sender's maximum wait, not by the latency
	// objective.
	WithoutObjective = "objective"
	// WithoutObjectiveRetryAfter sets the retry-after time of rejected calls to the expected time
	// until the queue is served, even if that exceeds the latency objective.
	WithoutObjectiveRetryAfter = "timely_returns"
	// WithoutAdmissionCheck sends bodies of up to 16 kB along with their calls, without waiting until
	// the gate has admitted the call.
	WithoutAdmissionCheck = "questions"
	// WithoutDrainNotice notifies the other daemons of a drain at its beginning.
	WithoutDrainNotice = "notice"
	// WithoutCallerRetries treats retries by callers as new calls.
	WithoutCallerRetries = "returns"
	// WithoutBusyGates sends attempts also to gates that have just reported a long queue.
	WithoutBusyGates = "busy"
	// WithoutLocality assumes that traffic between availability zones is free.
	WithoutLocality = "locality"
)

// Default returns the settings with the default of each field. Fields without a default are zero.
func Default() Settings {
	var s Settings
	for _, f := range Fields {
		if f.Default != nil {
			s.set(f.Path, f.defaultJSON())
		}
	}
	return s
}

// Load reads a settings file. Fields that the file does not set keep their default. If the file can
// be read, an error is a jsonc.Problems with all problems of the file.
func Load(path string) (*Settings, error) {
	d, err := jsonc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return check(d)
}

// Parse parses the content of a settings file like Load. The file name is used only in errors.
func Parse(file string, raw []byte) (*Settings, error) {
	d, err := jsonc.Parse(file, raw)
	if err != nil {
		return nil, err
	}
	return check(d)
}
