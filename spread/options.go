package spread

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// Mode selects how records travel from the log to the daemons.
type Mode uint8

const (
	// ModeTree has a few readers of each availability zone read the log and push new records along
	// a tree. Daemons that miss a push find out from membership digests and pull.
	ModeTree Mode = iota
	// ModeDirect has every daemon read the log. The load on the log grows with the fleet.
	ModeDirect
	// ModeGossip has a few readers of each availability zone read the log. All other daemons detect
	// new records from membership digests and pull them.
	ModeGossip
)

var modeNames = [...]string{ModeTree: "tree", ModeDirect: "direct", ModeGossip: "gossip"}

// String returns the name used in settings.
func (m Mode) String() string { return modeNames[m] }

// MarshalText returns the name used in settings.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText parses the name used in settings.
func (m *Mode) UnmarshalText(b []byte) error {
	for i, name := range modeNames {
		if name == string(b) {
			*m = Mode(i)
			return nil
		}
	}
	return errors.Newf("unknown spread mode %q, must be one of %v", b, modeNames)
}

// Redundancy selects what a reader sends along its tree when the push of another reader of its
// availability zone has already arrived.
type Redundancy uint8

const (
	// RedundancyDigest sends only the offset; a daemon that the first push did not reach pulls the
	// records.
	RedundancyDigest Redundancy = iota
	// RedundancyNone sends nothing; membership digests reveal missed pushes.
	RedundancyNone
	// RedundancyEager has every reader send the records at once, without waiting for the readers
	// ranked before it.
	RedundancyEager
)

var redundancyNames = [...]string{RedundancyDigest: "digest", RedundancyNone: "none", RedundancyEager: "eager"}

// String returns the name used in settings.
func (r Redundancy) String() string { return redundancyNames[r] }

// MarshalText returns the name used in settings.
func (r Redundancy) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name used in settings.
func (r *Redundancy) UnmarshalText(b []byte) error {
	for i, name := range redundancyNames {
		if name == string(b) {
			*r = Redundancy(i)
			return nil
		}
	}
	return errors.Newf("unknown spread redundancy %q, must be one of %v", b, redundancyNames)
}

// Options configure a Spreader. Host, AvailabilityZone, Log and Peers are required.
type Options struct {
	Host             string
	AvailabilityZone string
	Log              eventlog.Log
	Peers            Peers
	// LogReportsRestores states that the log loses acknowledged records only when it is restored
	// from an older copy, and that its reads then return eventlog.RestoredError. Such a log is not
	// checked for whether it still holds the current version.
	LogReportsRestores bool

	Mode       Mode
	Redundancy Redundancy
	// ReadersPerZone is the number of daemons of each availability zone that read the log.
	ReadersPerZone int
	// FanOut is the number of daemons to which each daemon forwards a push.
	FanOut int

	// ReadWait is how long a read from the log waits for new records.
	ReadWait time.Duration
	// OwnReadAfter is how long a daemon that is not a reader receives no offset from other daemons
	// before it reads the log itself. The time is jittered by up to a quarter either way and is also
	// the minimum between two such reads. Membership delivers an offset about twice per probe interval,
	// so a few probe intervals are enough to keep all daemons but an isolated one from reading the
	// log.
	OwnReadAfter time.Duration
	// Debounce is the minimum time between two pushes of one root, so that a burst of records is
	// sent in a few batches.
	Debounce time.Duration
	// BackupDelay is how long each reader waits for the push of the reader ranked before it, and
	// how long a root waits before it hands its offset off to other availability zones. Those have
	// usually read the log themselves by then.
	BackupDelay time.Duration
	// PullDelay is the maximum wait, with full jitter, before a daemon pulls records announced by a
	// digest. The push usually arrives first.
	PullDelay time.Duration
	// PushTimeout bounds the wait for one acknowledgment, not counting the transfer time of large
	// pushes. PullTimeout bounds the wait for one answer to a pull.
	PushTimeout, PullTimeout time.Duration

	// Floor returns the highest offset that a host was ever reported to have applied, 0 if unknown.
	// It is included in answers to pulls, so that a restarted host can tell from which version on
	// it may resume.
	Floor func(host string) uint64
	// LoadCheckpoint returns the newest state stored in the platform's checkpoints, nil if there is
	// none. It is called when the log no longer retains the next record, or was restored from an
	// older copy. It is optional.
	LoadCheckpoint func(ctx context.Context) (*fold.State, error)
	// OnState is called with each new state, in order of offset. It must return quickly and must
	// not call the Spreader.
	OnState func(*fold.State)
	// OnStatus is called when the status changes, with the same restrictions as OnState.
	OnStatus func(Status)

	// Rand returns random numbers in [0, 1) for jitter.
	Rand   func() float64
	Meter  Meter
	Logger *slog.Logger
}

// DefaultOptions returns options for a fleet of about a thousand daemons in a few availability
// zones, without the required fields.
func DefaultOptions() Options {
	return Options{
		ReadersPerZone: 2,
		FanOut:         6,
		ReadWait:       10 * time.Second,
		OwnReadAfter:   5 * time.Second,
		Debounce:       5 * time.Millisecond,
		BackupDelay:    150 * time.Millisecond,
		PullDelay:      100 * time.Millisecond,
		PushTimeout:    500 * time.Millisecond,
		PullTimeout:    2 * time.Second,
		Floor:          func(string) uint64 { return 0 },
		OnState:        func(*fold.State) {},
		OnStatus:       func(Status) {},
		Rand:           rand.Float64,
		Meter:          NoMeter{},
		Logger:         slog.New(slog.DiscardHandler),
	}
}

// Meter records metrics of configuration distribution. Implementations are safe for concurrent use.
type Meter interface {
	// LogRead counts one read from the log with the number of records and bytes received.
	LogRead(records, bytes int, err error)
	// Pushed counts one push to one daemon. digest is set if the push held an offset but no
	// records.
	Pushed(digest bool, err error)
	// Pulled counts one pull from another daemon with the number of records by which it advanced.
	Pulled(records int, err error)
	// Applied counts applied records, including rejected ones.
	Applied(records int)
	// Rejected counts one record that advanced the offset but was rejected and changed nothing
	// else.
	Rejected()
	// Restored counts one detection of a log that was restored from an older copy.
	Restored()
}

// NoMeter is a Meter that discards everything.
type NoMeter struct{}

// LogRead does nothing.
func (NoMeter) LogRead(int, int, error) {}

// Pushed does nothing.
func (NoMeter) Pushed(bool, error) {}

// Pulled does nothing.
func (NoMeter) Pulled(int, error) {}

// Applied does nothing.
func (NoMeter) Applied(int) {}

// Rejected does nothing.
func (NoMeter) Rejected() {}

// Restored does nothing.
func (NoMeter) Restored() {}
