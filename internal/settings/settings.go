// Package settings reads a daemon's settings file: JSON with comments.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
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
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings is the whole file.
type Settings struct {
	// Host names this host; unique in the fleet and the same for a
	// replacement under the same address.
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// Listen addresses, as IP:port. Peers is used for TCP and UDP and told to
	// the other daemons, so it must be reachable for them.
	Listen Listen `json:"listen"`
	// Contacts are peer addresses of a few daemons to join by.
	Contacts   []string   `json:"contacts"`
	Platform   Platform   `json:"platform"`
	Membership Membership `json:"membership"`
	Spread     Spread     `json:"spread"`
	Requests   Requests   `json:"requests"`
	Drain      Drain      `json:"drain"`
	Log        Log        `json:"log"`
	Trace      Trace      `json:"trace"`
}

// Listen holds one address for each kind of client.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	// Backend is where the backend server beside the daemon announces itself.
	Backend string `json:"backend"`
}

// Platform tells how the platform's log is reached.
type Platform struct {
	URL string `json:"url"`
	// AppendTimeout bounds one append; after it the outcome is unknown.
	AppendTimeout Duration `json:"append_timeout"`
	// ReadWait is how long a read waits for new records.
	ReadWait Duration `json:"read_wait"`
}

// Membership tunes the probes between daemons.
type Membership struct {
	ProbeInterval    Duration `json:"probe_interval"`
	ProbeTimeout     Duration `json:"probe_timeout"`
	SuspicionTimeout Duration `json:"suspicion_timeout"`
}

// Spread tunes how configuration travels.
type Spread struct {
	// ReadersPerZone daemons of each availability zone read the log. More make
	// convergence sturdier and cost reads at the source.
	ReadersPerZone int `json:"readers_per_zone"`
	// FanOut is how many daemons each daemon passes new records to.
	FanOut int `json:"fan_out"`
	// OwnReadAfter is how long a daemon hears nothing before it reads the log
	// itself.
	OwnReadAfter Duration `json:"own_read_after"`
}

// Requests bounds what callers may ask.
type Requests struct {
	MaxHeaderBytes int   `json:"max_header_bytes"`
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	// HeaderTimeout bounds the time a caller takes to send the header.
	HeaderTimeout Duration `json:"header_timeout"`
	// MaxInFlight bounds the calls that this daemon holds at once.
	MaxInFlight int `json:"max_in_flight"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// Timeout is how long requests in flight may take to end.
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

// Default returns the settings that hold where the file says nothing.
func Default() Settings {
	return Settings{
		Platform: Platform{
			AppendTimeout: Duration(2 * time.Second),
			ReadWait:      Duration(10 * time.Second),
		},
		Membership: Membership{
			ProbeInterval:    Duration(time.Second),
			ProbeTimeout:     Duration(300 * time.Millisecond),
			SuspicionTimeout: Duration(4 * time.Second),
		},
		Spread: Spread{
			ReadersPerZone: 2,
			FanOut:         6,
			OwnReadAfter:   Duration(30 * time.Second),
		},
		Requests: Requests{
			MaxHeaderBytes: 64 << 10,
			MaxBodyBytes:   1 << 30,
			HeaderTimeout:  Duration(10 * time.Second),
			MaxInFlight:    4096,
		},
		Drain: Drain{Timeout: Duration(30 * time.Second)},
		Log:   Log{Level: "info", Format: "text"},
		Trace: Trace{Exporter: "none", Ratio: 0.01},
	}
}

// Load reads a file over the defaults.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	raw, err = hujson.Standardize(raw)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	return &s, nil
}
