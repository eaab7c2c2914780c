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

// Mode selects how records travel from the log to all daemons.
type Mode uint8

const (
	// ModeTree lets a few readers of each availability zone read the log and
	// push new records along a tree; digests and pulls mend what is missed.
	ModeTree Mode = iota
	// ModeDirect lets every daemon read the log. Reads at the source grow with
	// the fleet.
	ModeDirect
	// ModeGossip lets a few readers read the log; all others learn of new
	// records by membership digests and pull them.
	ModeGossip
)

var modeNames = [...]string{ModeTree: "tree", ModeDirect: "direct", ModeGossip: "gossip"}

// String returns the name used in settings.
func (m Mode) String() string { return modeNames[m] }

// MarshalText returns the name used in settings.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText reads the name used in settings.
func (m *Mode) UnmarshalText(b []byte) error {
	for i, name := range modeNames {
		if name == string(b) {
			*m = Mode(i)
			return nil
		}
	}
	return errors.Newf("spread mode %q is none of %v", b, modeNames)
}

// Redundancy selects what a reader sends along its tree when the push of
// another reader of its availability zone has reached it already.
type Redundancy uint8

const (
	// RedundancyDigest sends the offset alone; a daemon that the first push
	// missed pulls.
	RedundancyDigest Redundancy = iota
	// RedundancyNone sends nothing; the digests of membership find gaps.
	RedundancyNone
	// RedundancyEager makes every reader send the records at once, without
	// waiting for another.
	RedundancyEager
)

var redundancyNames = [...]string{RedundancyDigest: "digest", RedundancyNone: "none", RedundancyEager: "eager"}

// String returns the name used in settings.
func (r Redundancy) String() string { return redundancyNames[r] }

// MarshalText returns the name used in settings.
func (r Redundancy) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the name used in settings.
func (r *Redundancy) UnmarshalText(b []byte) error {
	for i, name := range redundancyNames {
		if name == string(b) {
			*r = Redundancy(i)
			return nil
		}
	}
	return errors.Newf("spread redundancy %q is none of %v", b, redundancyNames)
}

// Options configure a Spreader. Host, AvailabilityZone, Log and Peers are
// required.
type Options struct {
	Host             string
	AvailabilityZone string
	Log              eventlog.Log
	Peers            Peers
	// LogReportsRestores is whether the log loses what it has acknowledged only by a restore from an
	// older copy, which it tells (eventlog.RestoredError), so that it need not be asked whether
	// it still holds the version in force.
	LogReportsRestores bool

	Mode       Mode
	Redundancy Redundancy
	// ReadersPerZone daemons of each availability zone read the log.
	ReadersPerZone int
	// FanOut is how many daemons each daemon passes a push on to.
	FanOut int

	// ReadWait is how long a read at the log waits for new records.
	ReadWait time.Duration
	// OwnReadAfter is how long a daemon that is no reader hears of no offset
	// before it reads the log itself. The time is jittered by half either way
	// and is also the least between two such reads. Membership lets a daemon
	// hear others about twice in a probe interval, so a few of these are
	// enough for reads to stay away but from a daemon cut off from all peers.
	OwnReadAfter time.Duration
	// Debounce is the least time between two pushes of one root, so that a
	// burst travels in a few batches.
	Debounce time.Duration
	// BackupDelay is how long each reader waits for the push of the one before
	// it in rank, and how long a root waits before it tells other availability
	// zones, which as a rule have read the log themselves by then.
	BackupDelay time.Duration
	// PullDelay is the most that a daemon waits, with full jitter, before it
	// pulls what a digest told of; as a rule the push arrives first.
	PullDelay time.Duration
	// PushTimeout bounds the wait for one acknowledgement, PullTimeout that for
	// one answer.
	PushTimeout, PullTimeout time.Duration

	// Floor returns the highest offset that a host was heard to have in force;
	// it is told to daemons that pull.
	Floor func(host string) uint64
	// LoadCheckpoint returns the newest state kept in the platform's
	// checkpoints. It is asked when the log no longer retains the next record, or was
	// restored from an older copy.
	LoadCheckpoint func(ctx context.Context) (*fold.State, error)
	// OnState is called with each new state, in order of offset. It must
	// return quickly and must not call the Spreader.
	OnState func(*fold.State)
	// OnStatus is called when the status changes, under the same terms.
	OnStatus func(Status)

	// Rand returns numbers in [0, 1) for jitter.
	Rand   func() float64
	Meter  Meter
	Logger *slog.Logger
}

// DefaultOptions suit a fleet of about a thousand daemons in a few availability
// zones.
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

// Meter counts what spreading costs. Implementations are safe for concurrent
// use.
type Meter interface {
	// LogRead counts one read at the log with what it brought.
	LogRead(records, bytes int, err error)
	// Pushed counts one push to one daemon; digest tells that it held no
	// records.
	Pushed(digest bool, err error)
	// Pulled counts one pull from another daemon.
	Pulled(records int, err error)
	// Applied counts records that were folded, the rejected ones too.
	Applied(records int)
	// Rejected counts one record that was folded and changed nothing.
	Rejected()
	// Restored counts the times that this daemon found the log restored from an older copy.
	Restored()
}

// NoMeter counts nothing.
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
