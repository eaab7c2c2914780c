package recovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// Peers sends requests to other daemons.
type Peers interface {
	// Ask requests from some daemons the position of the version in force there and the floor
	// that they know for this host. It returns the answers received before ctx is done.
	Ask(ctx context.Context) PeerAnswers
	// State fetches the complete state of the daemon on a host.
	State(ctx context.Context, host string) (*fold.State, error)
}

// Options configures Recover.
type Options struct {
	// Host is the name of this daemon's host.
	Host  string
	Peers Peers
	// Config is the stream eventlog.StreamConfig, Checkpoints the stream
	// eventlog.StreamCheckpoints.
	Config      eventlog.Log
	Checkpoints eventlog.Log
	// LoadCheckpoint returns the newest state in the platform's store, nil if there is none. If
	// set, it is used instead of Checkpoints.
	LoadCheckpoint func(ctx context.Context) (*fold.State, error)
	// PreferPeers skips the log if enough daemons have answered and one of them has a state that
	// may be served. It suits a log that pushes its records to the daemons within a maximum
	// delay that callers can rely on: a start then needs no request to the platform and
	// transfers no complete document from it.
	PreferPeers bool
	// LogDelay returns how much longer the daemons are queried before the log is asked, 0 or less if
	// it is to be asked now. It is called repeatedly, since the answer depends on the daemons known. It has an
	// effect only with PreferPeers, in the rounds before one has shown that the log is needed. If all
	// daemons of a fleet start at once, the few with the shortest delays ask the log and the others
	// get the state from them.
	LogDelay func() time.Duration
	// Own is the state that the daemon holds, nil in a process that has just started. A running
	// daemon sets it if the log has dropped the record after its state. Recover then returns no
	// older state.
	Own *fold.State
	// MinAnswers is the number of daemons with a version in force that must answer before the
	// floor is known without the log.
	MinAnswers int
	// AskTimeout limits one call of Peers.Ask.
	AskTimeout time.Duration
	// AskInterval is the longest wait between two calls of Peers.Ask while the log is being read.
	// Each wait is drawn at random from AskInterval/2 to AskInterval.
	AskInterval time.Duration
	// LogTimeout limits one request to the log.
	LogTimeout time.Duration
	// LogTimeoutWithPeers limits the request for the bounds of the log in a round in which
	// enough daemons have answered, so that their state may be served without the log. It has
	// no effect if it is longer than LogTimeout.
	LogTimeoutWithPeers time.Duration
	// FetchTimeout limits the transfer of a state and the search for a checkpoint.
	FetchTimeout time.Duration
	// Backoff is the maximum wait before the second round. It doubles with each round up to
	// MaxBackoff. Waits have full jitter.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Stagger is the maximum of the jittered wait before the checkpoint is read while other
	// daemons are known. When an entire fleet restarts, daemons with a longer wait get the state
	// from those with a shorter one. 0 disables the wait.
	Stagger time.Duration
	// Sleep waits for d, or returns the error of ctx once that is done.
	Sleep func(ctx context.Context, d time.Duration) error
	// Report is called after each round that ends without a state to serve.
	Report func(Decision)
	Logger *slog.Logger
}

// DefaultOptions returns options for a fleet with network latencies of a few milliseconds between
// daemons. The caller must set Host, Peers, Config, and either Checkpoints or LoadCheckpoint.
func DefaultOptions() Options {
	return Options{
		MinAnswers:          3,
		AskTimeout:          500 * time.Millisecond,
		AskInterval:         150 * time.Millisecond,
		LogTimeout:          2 * time.Second,
		LogTimeoutWithPeers: 2 * time.Second,
		FetchTimeout:        10 * time.Second,
		Backoff:             200 * time.Millisecond,
		MaxBackoff:          5 * time.Second,
		Stagger:             3 * time.Second,
		Sleep:               sleep,
		Report:              func(Decision) {},
		LogDelay:            func() time.Duration { return 0 },
		Logger:              slog.New(slog.DiscardHandler),
	}
}

// sleep waits for d, or returns the error of ctx once that is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Result holds a state that may be served.
type Result struct {
	State *fold.State
	// Floor is the lowest offset that the daemon may serve. It is at most State.Offset.
	Floor uint64
	// From is the origin of the state into which the remaining records of the log were folded.
	From Origin
	// Problem is set if State may be served but operators must intervene.
	Problem Problem
}

// Recover queries other daemons and the log in rounds until there is a state that may be served.
// It returns an error only once ctx is done or opts.Sleep fails.
func Recover(ctx context.Context, opts Options) (*Result, error) {
	r := newRecoverer(opts)
	for attempt := 0; ; attempt++ {
		d := r.round(ctx)
		r.logProblem(d)
		if d.CanServe() {
			return &Result{State: r.state, Floor: d.Floor, From: r.from, Problem: d.Problem}, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		// The daemons' states were not sufficient.
		r.needLog = true
		opts.Report(d)
		if err := opts.Sleep(ctx, r.pause(d, attempt)); err != nil {
			return nil, err
		}
	}
}

// pause returns the wait after a round: the stagger if the next step is to read a checkpoint, an
// exponential backoff with full jitter otherwise.
func (r *recoverer) pause(d Decision, attempt int) time.Duration {
	if d.NeedCheckpoint {
		return rand.N(r.opts.Stagger + 1)
	}
	const maxDoublings = 16
	bound := min(r.opts.MaxBackoff, r.opts.Backoff<<min(attempt, maxDoublings))
	return rand.N(bound + 1)
}

// logProblem logs the problem of a decision if it differs from the one logged last.
func (r *recoverer) logProblem(d Decision) {
	if d.Problem == r.loggedProblem || d.NeedCheckpoint {
		return
	}
	r.loggedProblem = d.Problem
	if d.Problem == NoProblem {
		r.opts.Logger.Info("recovery: problem is over", "offset", d.Start.Offset)
		return
	}
	r.opts.Logger.Error("recovery: "+string(d.Problem),
		"serves", d.CanServe(), "offset", d.Start.Offset, "from", d.Start.From, "floor", d.Floor, "floor_known", d.FloorKnown, "log_error", r.logError)
}
