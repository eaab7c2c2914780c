package recovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// Peers reaches other daemons.
type Peers interface {
	// Ask asks some daemons what they have in force and what they heard of this
	// host. It returns the answers that came before ctx ended.
	Ask(ctx context.Context) PeerAnswers
	// State fetches the whole state of one daemon.
	State(ctx context.Context, host string) (*fold.State, error)
}

// Options holds what Recover needs.
type Options struct {
	// Host is this daemon's.
	Host  string
	Peers Peers
	// Config and Checkpoints are the streams eventlog.StreamConfig and
	// eventlog.StreamCheckpoints.
	Config      eventlog.Log
	Checkpoints eventlog.Log
	// LoadCheckpoint returns the newest state that the platform keeps, nil if there
	// is none. It takes the place of Checkpoints where it is set.
	LoadCheckpoint func(ctx context.Context) (*fold.State, error)
	// PreferPeers is whether the log need not be asked where enough daemons have answered
	// and one of them has a state to start from. It suits a log that pushes its records to
	// the daemons within a bound that callers know: a start then costs no call to the
	// platform, and none of the bytes of a whole document.
	PreferPeers bool
	// Own is the state at hand, nil in a process that has just started. A
	// running daemon that retention has passed by sets it; its state is then
	// the least that Recover returns.
	Own *fold.State
	// MinAnswers is how many daemons must answer where the log cannot bound the
	// floor.
	MinAnswers int
	// AskTimeout bounds one round of questions to daemons, LogTimeout one
	// request to the log, and FetchTimeout the transfer of a state or the
	// search for a checkpoint.
	AskTimeout time.Duration
	// AskPause is about the wait between two rounds of questions while the log is read.
	AskPause   time.Duration
	LogTimeout time.Duration
	// LogTimeoutWithPeers bounds the question where the log ends, in a round in which
	// enough daemons have answered: their state may be served without the log.
	LogTimeoutWithPeers time.Duration
	FetchTimeout        time.Duration
	// Backoff bounds the wait before the second round; it doubles from one
	// round to the next up to MaxBackoff. Waits have full jitter.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Stagger bounds the jittered wait before the checkpoint is read while there
	// are other daemons. When a whole fleet restarts, those that wait longer
	// get the state from those that waited less.
	Stagger time.Duration
	// Sleep waits, or returns the error of a context that is done.
	Sleep func(ctx context.Context, d time.Duration) error
	// Report is called after each round that ended without a state to serve.
	Report func(Decision)
	Logger *slog.Logger
}

// DefaultOptions suit a fleet whose daemons are a few milliseconds apart. Host,
// Peers and the streams are left to set.
func DefaultOptions() Options {
	return Options{
		MinAnswers:          3,
		AskTimeout:          500 * time.Millisecond,
		AskPause:            150 * time.Millisecond,
		LogTimeout:          2 * time.Second,
		LogTimeoutWithPeers: 2 * time.Second,
		FetchTimeout:        10 * time.Second,
		Backoff:             200 * time.Millisecond,
		MaxBackoff:          5 * time.Second,
		Stagger:             3 * time.Second,
		Sleep:               sleep,
		Report:              func(Decision) {},
		Logger:              slog.New(slog.DiscardHandler),
	}
}

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

// Result is a state that may be served.
type Result struct {
	State *fold.State
	// Floor is at most State.Offset.
	Floor uint64
	// From is where the state came from, before the log's tail was folded.
	From Origin
	// Problem is set where the daemon serves but operators must act.
	Problem Problem
}

// Recover asks daemons and the log in rounds until there is a state that may be
// served. The error is that of ctx.
func Recover(ctx context.Context, opts Options) (*Result, error) {
	r := newRecoverer(opts)
	for attempt := 0; ; attempt++ {
		d := r.round(ctx)
		r.note(d)
		if d.Serve() {
			return &Result{State: r.state, Floor: d.Floor, From: r.from, Problem: d.Problem}, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		// What the daemons had to give was not enough.
		r.askLog = true
		opts.Report(d)
		if err := opts.Sleep(ctx, r.pause(d, attempt)); err != nil {
			return nil, err
		}
	}
}

// pause returns the wait after a round.
func (r *recoverer) pause(d Decision, attempt int) time.Duration {
	if d.LookForCheckpoint {
		return rand.N(r.opts.Stagger + 1)
	}
	const maxDoublings = 16
	bound := min(r.opts.MaxBackoff, r.opts.Backoff<<min(attempt, maxDoublings))
	return rand.N(bound + 1)
}

// note logs a decision that differs from the one before.
func (r *recoverer) note(d Decision) {
	if d.Problem == r.noted || d.LookForCheckpoint {
		return
	}
	r.noted = d.Problem
	if d.Problem == NoProblem {
		r.opts.Logger.Info("recovery: problem is over", "offset", d.Start.Offset)
		return
	}
	r.opts.Logger.Error("recovery: "+string(d.Problem),
		"serves", d.Serve(), "offset", d.Start.Offset, "from", d.Start.From, "floor", d.Floor, "floor_known", d.FloorKnown, "log_error", r.logError)
}
