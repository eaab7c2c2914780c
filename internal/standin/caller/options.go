// Package caller plays the callers of a customer: it sends calls to any of the
// daemons, at a rate or in a closed loop, checks that each answer is the whole
// answer to its own call, and tells what became of every one.
package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// KeySource is where idempotency keys come from.
type KeySource string

// The sources.
const (
	// KeysNone sends none.
	KeysNone KeySource = "none"
	// KeysIssued asks a daemon for one before each call that needs one.
	KeysIssued KeySource = "issued"
	// KeysOwn makes them up.
	KeysOwn KeySource = "own"
	// KeysGiven takes those of the options in turn.
	KeysGiven KeySource = "given"
)

// Upper bounds of a run, so that a slip of the keyboard does not load a machine
// for hours.
const (
	MaxCount    = 10_000_000
	MaxDuration = time.Hour
	MaxInFlight = 10_000
)

// Shape is one kind of call in the mix.
type Shape struct {
	// Weight is the share of the mix relative to the others.
	Weight float64
	Method string
	// Path may have a query.
	Path string
}

// ParseShape reads "9 GET /signs/1"; the weight may be left out.
func ParseShape(s string) (Shape, error) {
	f := strings.Fields(s)
	shape := Shape{Weight: 1}
	if len(f) == 3 {
		w, err := strconv.ParseFloat(f[0], 64)
		if err != nil || !(w > 0) {
			return Shape{}, errors.Newf("weight must be above 0, not %q", f[0])
		}
		shape.Weight = w
		f = f[1:]
	}
	if len(f) != 2 || !strings.HasPrefix(f[1], "/") {
		return Shape{}, errors.Newf("call must be [WEIGHT] METHOD /PATH, not %q", s)
	}
	shape.Method, shape.Path = strings.ToUpper(f[0]), f[1]
	return shape, nil
}

// nonIdempotent tells the calls that are sent with a key and are not repeated
// without one.
func (s Shape) nonIdempotent() bool {
	return s.Method == http.MethodPost || s.Method == http.MethodPatch
}

func (s Shape) hasBody() bool { return s.nonIdempotent() || s.Method == http.MethodPut }

// Options describes one run.
type Options struct {
	// Targets are the caller listeners of daemons, as URLs. Calls take them in
	// turn, and each repeat takes the next one that the call has not tried yet.
	Targets  []string
	Customer string
	Mix      []Shape
	// BodyBytes is the length of the bodies of POST, PUT and PATCH.
	BodyBytes int64
	// AnswerBytes asks the backend server for a payload of this length.
	AnswerBytes int64
	// Rate is the number of calls a second in an open loop: calls are sent when
	// they are due, however many are still in flight, and their latency counts
	// from then. 0 means a closed loop.
	Rate float64
	// Poisson draws the times between calls of an open loop at random.
	Poisson bool
	// Concurrency is the calls in flight of a closed loop, and the most of an
	// open one; calls that are due above it are dropped and counted.
	Concurrency int
	// Count and Duration both bound the run.
	Count    int
	Duration time.Duration
	// Timeout bounds one try.
	Timeout time.Duration
	// Repeats is how often a call is sent again where that may help and is
	// safe: a non-idempotent one needs a key, or the promise that it has not
	// run.
	Repeats int
	// RepeatDelay is the time before a repeat where the answer gives none.
	RepeatDelay time.Duration
	// Insist repeats a call under a key also where the answer says that it will
	// not help, as a caller without much sense does.
	Insist bool
	Keys   KeySource
	// GivenKeys are at least as many as Count where Keys is KeysGiven.
	GivenKeys []string
	// Record gets each call as a JSON line, if not nil.
	Record io.Writer
	// Seed makes the mix and the times repeatable.
	Seed uint64
}

// DefaultOptions make a small closed loop of lookups.
func DefaultOptions() Options {
	return Options{
		Mix:         []Shape{{Weight: 1, Method: http.MethodGet, Path: "/"}},
		Concurrency: 10,
		Count:       1000,
		Duration:    10 * time.Second,
		Timeout:     5 * time.Second,
		RepeatDelay: 50 * time.Millisecond,
		Keys:        KeysNone,
		Seed:        1,
	}
}

// Check returns what is wrong with the options.
func (o Options) Check() error {
	switch {
	case len(o.Targets) == 0:
		return errors.New("no targets")
	case len(o.Mix) == 0:
		return errors.New("no calls")
	case o.Count < 1 || o.Count > MaxCount:
		return errors.Newf("count must be 1 to %d, not %d", MaxCount, o.Count)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return errors.Newf("duration must be above 0 and at most %s, not %s", MaxDuration, o.Duration)
	case o.Concurrency < 1 || o.Concurrency > MaxInFlight:
		return errors.Newf("concurrency must be 1 to %d, not %d", MaxInFlight, o.Concurrency)
	case !(o.Rate >= 0):
		return errors.Newf("rate must not be below 0, but is %g", o.Rate)
	case o.Timeout <= 0:
		return errors.Newf("timeout must be above 0, not %s", o.Timeout)
	case o.BodyBytes < 0 || o.AnswerBytes < 0 || o.Repeats < 0:
		return errors.New("sizes and repeats must not be below 0")
	case o.Keys == KeysGiven:
		return o.checkGiven()
	case o.Keys != KeysNone && o.Keys != KeysIssued && o.Keys != KeysOwn:
		return errors.Newf("keys must be %s, %s or %s, not %q", KeysNone, KeysIssued, KeysOwn, o.Keys)
	}
	return nil
}

func (o Options) checkGiven() error {
	if len(o.GivenKeys) < o.Count {
		return errors.Newf("%d keys are given for %d calls", len(o.GivenKeys), o.Count)
	}
	return nil
}
