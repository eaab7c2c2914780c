package quarantine

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Options sizes a Ledger.
type Options struct {
	// Crashes is how many servers end under a request before it is kept from the others.
	// Callers whose requests ran beside it are innocent, and most have been in one crash or
	// two: a server runs its other calls as well, and what broke off is sent again.
	Crashes int
	// Window is how long a crash is held against the requests that it ended.
	Window time.Duration
	// Hold is how long a first verdict lasts. A request that ends a server within the same
	// time after that is kept away at once, for twice as long, up to MaxHold.
	Hold, MaxHold time.Duration
	// GoodFor is how long a run that ended well speaks for a request. A popular lookup is
	// in progress at each server of a service, so it is in each crash of it.
	GoodFor time.Duration
	// MaxSuspects and MaxVerdicts bound the requests that are remembered: callers can make
	// any number of them.
	MaxSuspects, MaxVerdicts int
	Logger                   *slog.Logger
	Now                      func() time.Time
}

// DefaultOptions returns options for a fleet whose servers are back within seconds.
func DefaultOptions() Options {
	return Options{
		Crashes: 3, Window: 5 * time.Minute, Hold: 10 * time.Minute, MaxHold: 4 * time.Hour,
		GoodFor: 5 * time.Second, MaxSuspects: 1024, MaxVerdicts: 64,
		Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	}
}

// Verdict keeps a request from backend servers.
type Verdict struct {
	Identity Identity
	// Until is when it ends, by the time of day: it outlives the processes that know it.
	Until    time.Time
	Duration time.Duration
}

// source tells one crash from others: who told of it, in which life, under which number.
type source struct {
	host string
	boot uint64
	seq  uint32
}

// suspect is a request under which servers have ended.
type suspect struct {
	// crashes are the times at which this daemon learned of each.
	crashes map[source]time.Time
	// verdict is the latest one, nil where there was none. It is on probation from its end
	// on for as long as it lasted.
	verdict *Verdict
	// clearedUntil is the end of the latest verdict that no longer counts.
	clearedUntil time.Time
	// touched is when anything was last learned.
	touched time.Time
}

// Tracker is what one daemon knows of requests that servers ended under. It decides by
// itself, from its own evidence and what others tell; those who know the same decide the
// same. It is safe for concurrent use. What a request's path asks takes no lock.
type Tracker struct {
	opts Options
	// kept holds the ends of the verdicts in force, nil without any.
	kept atomic.Pointer[map[Identity]time.Time]
	// suspected is how many suspects there are.
	suspected atomic.Int64

	good goodRuns

	mu       sync.Mutex
	suspects map[Identity]*suspect
	own      ownNotes
	seen     map[source]time.Time
	changed  chan struct{}
}

// New returns an empty ledger.
func New(opts Options) *Tracker {
	return &Tracker{
		opts: opts, suspects: make(map[Identity]*suspect), seen: make(map[source]time.Time),
		changed: make(chan struct{}), good: goodRuns{keep: opts.GoodFor},
	}
}

// QuarantinedFor returns how long a request is kept from backend servers yet, 0 where it is not.
func (l *Tracker) QuarantinedFor(id Identity) time.Duration {
	kept := l.kept.Load()
	if kept == nil {
		return 0
	}
	until, ok := (*kept)[id]
	if !ok {
		return 0
	}
	return max(until.Sub(l.opts.Now()), 0)
}

// Crashes returns how many servers are known to have ended under a request.
func (l *Tracker) Crashes(id Identity) int {
	if l.suspected.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[id]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// RecordCrash notes that the server beside this daemon has ended under requests; the latest come
// last. Those that have just run well are left out.
func (l *Tracker) RecordCrash(ids []Identity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	ids = l.mostSuspect(l.good.without(ids, now))
	if len(ids) == 0 {
		return
	}
	seq := l.own.ended(ids, now)
	for _, id := range ids {
		l.crashed(id, source{seq: seq}, now)
	}
	l.notify()
}

// mostSuspect returns at most maxEndedUnder of the requests that a server ended under:
// those that are suspect already, then the latest. A server may run any number of calls,
// and what is told of one crash must be short.
func (l *Tracker) mostSuspect(ids []Identity) []Identity {
	if len(ids) <= maxEndedUnder {
		return ids
	}
	most := make([]Identity, 0, len(ids))
	for _, known := range []bool{true, false} {
		for i := range ids {
			id := ids[len(ids)-1-i]
			if (l.suspects[id] != nil) == known {
				most = append(most, id)
			}
		}
	}
	return most[:maxEndedUnder]
}

// RecordSuccess notes that the server beside this daemon has run a request to its end. What
// was held against the request is taken back, here and at the others.
func (l *Tracker) RecordSuccess(id Identity) {
	l.good.add(id, l.opts.Now())
	if l.suspected.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[id]; s != nil && (len(s.crashes) > 0 || s.verdict != nil) {
		l.clear(id, "a backend server has run it to its end")
	}
}

// Lift takes a request out of quarantine, here and at the others, and reports whether
// anything was held against it.
func (l *Tracker) Lift(id Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[id]
	if s == nil || len(s.crashes) == 0 && s.verdict == nil {
		return false
	}
	l.clear(id, "lifted by an operator")
	return true
}

// Verdicts returns the verdicts in force, in no particular order.
func (l *Tracker) Verdicts() []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce(l.opts.Now())
}

// Stats counts what a ledger holds.
type Stats struct {
	// Quarantined requests are kept from backend servers, Suspected ones have ended any.
	Quarantined, Suspected int
}

// Stats returns what the ledger holds.
func (l *Tracker) Stats() Stats {
	return Stats{Quarantined: len(l.Verdicts()), Suspected: int(l.suspected.Load())}
}

// Add takes in a verdict that was found in the platform's directory, or that a gate told.
func (l *Tracker) Add(v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopt(v, l.opts.Now())
}

// Watch returns a channel that is closed after the next change.
func (l *Tracker) Watch() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Tracker) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
