package quarantine

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures a Tracker.
type Options struct {
	// CrashThreshold is the number of server crashes after which a request that was running
	// in each of them is quarantined. Most requests that merely run beside it are in one or
	// two crashes: a crash interrupts all calls of the server, and these are sent again.
	CrashThreshold int
	// Window is how long a crash counts toward CrashThreshold.
	Window time.Duration
	// Duration is how long a first verdict lasts. A request that crashes a server within the
	// same time after its verdict ended is quarantined again at once, for twice as long, up to
	// MaxDuration.
	Duration, MaxDuration time.Duration
	// SuccessTTL is how long a completed run exempts a request from crash counts. A popular
	// lookup is in progress at every server of a service, and so in each of their crashes.
	SuccessTTL time.Duration
	// MaxSuspects and MaxVerdicts bound the number of suspects and of verdicts in force:
	// callers can create any number of distinct requests.
	MaxSuspects, MaxVerdicts int
	Logger                   *slog.Logger
	Now                      func() time.Time
}

// DefaultOptions returns the options for a fleet whose backend servers restart within seconds.
func DefaultOptions() Options {
	return Options{
		CrashThreshold: 3, Window: 5 * time.Minute, Duration: 10 * time.Minute, MaxDuration: 4 * time.Hour,
		SuccessTTL: 5 * time.Second, MaxSuspects: 1024, MaxVerdicts: 64,
		Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	}
}

// Verdict quarantines one request: daemons do not send it to backend servers until it ends.
type Verdict struct {
	Identity Identity
	// Until is the end of the verdict as wall-clock time, since a verdict outlives the
	// processes that hold it.
	Until time.Time
	// Duration is the length of the quarantine, and of the probation that follows it.
	Duration time.Duration
}

// noteID identifies a crash or a clearing by the daemon that published it, the boot ID of that
// daemon and the number of its note. Host and boot are zero for this daemon's own notes.
type noteID struct {
	host string
	boot uint64
	seq  uint32
}

// suspect is the state of a request that is tracked for crashes, a verdict or a clearing.
type suspect struct {
	// crashes maps each crash to the time at which this daemon recorded it.
	crashes map[noteID]time.Time
	// verdict is the latest one, in force or ended, nil if there was none. After its end the
	// request is on probation for the verdict's duration.
	verdict *Verdict
	// clearedUntil invalidates the verdicts that end at or before it.
	clearedUntil time.Time
	// lastUpdate is when a crash, verdict or clearing was last recorded.
	lastUpdate time.Time
}

// Tracker records, for one daemon, the requests that were running when backend servers
// crashed, and decides which of them to quarantine. Each daemon decides by itself, from its
// own crashes and the notes of the other daemons; daemons with the same information reach the
// same decision. It is safe for concurrent use. QuarantinedFor, which is called for each
// request, takes no lock.
type Tracker struct {
	opts Options
	// quarantined maps the requests with a verdict in force to the end of the verdict. It is
	// nil if there are none.
	quarantined atomic.Pointer[map[Identity]time.Time]
	// suspectCount mirrors len(suspects) for reads without mu.
	suspectCount atomic.Int64

	successes recentSuccesses

	mu       sync.Mutex
	suspects map[Identity]*suspect
	own      ownNotes
	// seen maps the crashes and clearings received from other daemons to the time of receipt.
	seen map[noteID]time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty tracker.
func New(opts Options) *Tracker {
	return &Tracker{
		opts: opts, suspects: make(map[Identity]*suspect), seen: make(map[noteID]time.Time),
		changed: make(chan struct{}), successes: recentSuccesses{ttl: opts.SuccessTTL},
	}
}

// QuarantinedFor returns the remaining time of a request in quarantine, 0 if it is not quarantined.
func (t *Tracker) QuarantinedFor(id Identity) time.Duration {
	quarantined := t.quarantined.Load()
	if quarantined == nil {
		return 0
	}
	until, ok := (*quarantined)[id]
	if !ok {
		return 0
	}
	return max(until.Sub(t.opts.Now()), 0)
}

// Crashes returns the number of recorded server crashes during which a request was running.
func (t *Tracker) Crashes(id Identity) int {
	if t.suspectCount.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[id]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// RecordCrash records that the backend server beside this daemon crashed while it was processing
// the given requests, which are sorted by start, the latest last. Requests that the server
// completed within Options.SuccessTTL are not counted.
func (t *Tracker) RecordCrash(ids []Identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	ids = t.selectForNote(t.successes.without(ids, now))
	if len(ids) == 0 {
		return
	}
	seq := t.own.addCrash(ids, now)
	for _, id := range ids {
		t.countCrash(id, noteID{seq: seq}, now)
	}
	t.notify()
}

// selectForNote returns at most maxIdentitiesPerCrash of the requests that were running in a
// crash: those that are already suspects first, then the others, each the latest first. A
// server may process any number of calls, and the note on a crash has to be short.
func (t *Tracker) selectForNote(ids []Identity) []Identity {
	if len(ids) <= maxIdentitiesPerCrash {
		return ids
	}
	selected := make([]Identity, 0, len(ids))
	for _, suspected := range []bool{true, false} {
		for i := range ids {
			id := ids[len(ids)-1-i]
			if (t.suspects[id] != nil) == suspected {
				selected = append(selected, id)
			}
		}
	}
	return selected[:maxIdentitiesPerCrash]
}

// RecordSuccess records that the backend server beside this daemon completed a request. Crashes
// and verdicts recorded for the request are cleared at all daemons.
func (t *Tracker) RecordSuccess(id Identity) {
	t.successes.add(id, t.opts.Now())
	if t.suspectCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[id]; s != nil && (len(s.crashes) > 0 || s.verdict != nil) {
		t.clearRequest(id, "a backend server completed it")
	}
}

// Lift clears the crashes and the verdict of a request at all daemons, and reports whether
// this daemon had recorded any.
func (t *Tracker) Lift(id Identity) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[id]
	if s == nil || len(s.crashes) == 0 && s.verdict == nil {
		return false
	}
	t.clearRequest(id, "lifted by an operator")
	return true
}

// Verdicts returns the verdicts in force, in no particular order.
func (t *Tracker) Verdicts() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce(t.opts.Now())
}

// Stats holds the numbers of tracked requests.
type Stats struct {
	// Quarantined counts the requests with a verdict in force, Suspected all suspects.
	Quarantined, Suspected int
}

// Stats returns the current numbers of quarantined and suspected requests.
func (t *Tracker) Stats() Stats {
	return Stats{Quarantined: len(t.Verdicts()), Suspected: int(t.suspectCount.Load())}
}

// Add adopts a verdict that was read from the platform's directory or reported by another
// daemon's gate.
func (t *Tracker) Add(v Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adoptVerdict(v, t.opts.Now())
}

// Watch returns a channel that is closed when crashes, verdicts or clearings change next.
func (t *Tracker) Watch() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// notify wakes all watchers. The caller holds mu.
func (t *Tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
