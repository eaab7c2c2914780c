// Package spread brings the records of the configuration stream from the
// platform's log into the folded state of every daemon.
//
// Readers: in each availability zone the first few live daemons by rendezvous
// hash read the log. Nobody appoints them. Where views differ, a zone has a
// reader too many, which costs bytes, or one too few, which the other paths
// make up for.
//
// Push: the first reader sends each batch along a tree over its zone's daemons.
// A push names the daemons below its receiver, so that coverage depends on the
// root's view alone. The sender takes over the daemons below one that does not
// acknowledge. The next readers wait a moment for that push and then send its
// offset along trees of their own, or the records if the push did not come.
//
// Handoff: a root tells one reader of each other zone its offset a moment
// later, in case the log failed that zone.
//
// Pull: membership tells with each probe what offset others have; a daemon that
// is behind pulls from one that is ahead. Who hears of nobody, or finds nobody
// to pull from, reads the log itself, seldom and with jitter.
//
// Whichever way a record comes, it is folded at its offset, after a check that
// it continues the chain of those before; so no version ever falls, and a daemon
// that cannot follow stays where it is and says why.
package spread

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
)

// Status tells how a daemon gets its configuration.
type Status struct {
	// Reader is whether the daemon reads the log for its availability zone.
	Reader bool
	// KnownOffset is the highest offset heard of anywhere.
	KnownOffset uint64
	// LogError is the latest failure to read the log, empty if the last read
	// went well.
	LogError string
	// LogErrorSince is when reads began to fail.
	LogErrorSince time.Time
	// StuckReason tells why the daemon must stay at its version, empty if it need
	// not.
	StuckReason string
}

// Spreader takes part in spreading for one daemon. All methods are safe for
// concurrent use.
type Spreader struct {
	opts    Options
	t       tomb.Tomb
	ctx     context.Context
	history history
	packed  packedState
	plan    atomic.Pointer[plan]

	mu     sync.Mutex
	status Status
	// logStuck and foldStuck are the two sources of Status.Stuck: what the log
	// shows, and what was refused from a peer.
	logStuck, foldStuck string
	// fromLog is the highest offset that this daemon read from the log or
	// appended itself.
	fromLog uint64
	// spread is the offset up to which this daemon has pushed as a root, or has
	// left it to others.
	spread uint64
	// covered is the highest offset that another root of the own availability
	// zone pushed with its records.
	covered uint64
	// heard is the highest offset that membership told of another daemon.
	heard uint64
	// assigned is the highest offset that this daemon spreads in its
	// availability zone although it is no reader.
	assigned uint64
	// candidates are daemons heard to be ahead, the latest last.
	candidates []candidate
	lastHeard  time.Time
	relayed    recentPushes

	readWake, rootWake, handoffWake, pullWake, carryWake loop.Wake

	// fetching has room for one pull: one at a time is enough, and keeps a
	// daemon that many digests reach from pulling the same records from all.
	fetching chan struct{}
	// serving bounds the pulls that are answered at once, pushing the pushes
	// that this daemon is the root of.
	serving, pushing chan struct{}
}

// New returns a Spreader without a state. Until Start it folds nothing, but
// passes pushes on.
func New(opts Options) *Spreader {
	s := &Spreader{
		opts:        opts,
		lastHeard:   time.Now(),
		relayed:     newRecentPushes(),
		readWake:    loop.NewWake(),
		rootWake:    loop.NewWake(),
		handoffWake: loop.NewWake(),
		pullWake:    loop.NewWake(),
		carryWake:   loop.NewWake(),
		fetching:    make(chan struct{}, 1),
		serving:     make(chan struct{}, maxServedPulls),
		pushing:     make(chan struct{}, maxRootPushes),
	}
	s.ctx = s.t.Context(context.Background())
	s.history.onState = opts.OnState
	s.history.onRejected = s.noteRejected
	return s
}

// Run reads, pushes and pulls until ctx is done.
func (s *Spreader) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { s.t.Kill(nil) })()
	s.t.Go(s.readLoop)
	s.t.Go(s.rootLoop)
	s.t.Go(s.handoffLoop)
	s.t.Go(s.pullLoop)
	s.t.Go(s.carryLoop)
	return s.t.Wait()
}

// InstallState puts in force the state that recovery decided on. A later call with a
// newer state, say from a checkpoint, moves ahead to it; an older one is
// ignored.
func (s *Spreader) InstallState(st *fold.State) {
	if !s.history.adopt(st) {
		return
	}
	s.noteKnown(st.Offset)
	s.mu.Lock()
	// What a recovered state holds is no news to the others.
	s.spread = max(s.spread, st.Offset)
	s.mu.Unlock()
	s.readWake.Set()
	s.rootWake.Set()
	s.pullWake.Set()
}

// InstallStateFromLog is Start with a state that the log alone vouches for. If the log was ever
// restored from an older copy, others may have something newer in force.
func (s *Spreader) InstallStateFromLog(st *fold.State) {
	s.InstallState(st)
	if eventlog.Epoch(st.Offset) > 0 {
		s.carryWake.Set()
	}
}

// State returns what is in force, nil before Start.
func (s *Spreader) State() *fold.State { return s.history.current() }

// Status returns how the daemon gets its configuration.
func (s *Spreader) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// SetView tells of the live daemons.
func (s *Spreader) SetView(v *membership.View) {
	p := newPlan(v, s.opts.ReadersPerZone)
	s.plan.Store(p)
	s.updateStatus(func(st *Status) { st.Reader = s.reads() })
	s.readWake.Set()
	s.rootWake.Set()
}

// ObserveOffset tells that a host has an offset in force, as each probe of membership
// does. A daemon that is behind pulls from the host.
func (s *Spreader) ObserveOffset(_ string, addr netip.AddrPort, offset uint64) {
	s.mu.Lock()
	s.lastHeard = time.Now()
	s.heard = max(s.heard, offset)
	s.mu.Unlock()
	s.noteAhead(addr, offset)
}

// touch notes that others can be heard.
func (s *Spreader) touch() {
	s.mu.Lock()
	s.lastHeard = time.Now()
	s.mu.Unlock()
}

// reads reports whether this daemon reads the log all the time.
func (s *Spreader) reads() bool {
	if s.opts.Mode == ModeDirect {
		return true
	}
	p := s.plan.Load()
	return p != nil && p.rank != notRanked
}

// pushes reports whether this daemon sends what it reads along a tree.
func (s *Spreader) pushes() bool { return s.opts.Mode == ModeTree }

// noteKnown tells of an offset that exists.
func (s *Spreader) noteKnown(offset uint64) {
	s.updateStatus(func(st *Status) { st.KnownOffset = max(st.KnownOffset, offset) })
}

// updateStatus changes the status and tells of it.
func (s *Spreader) updateStatus(f func(*Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.status
	f(&s.status)
	s.status.StuckReason = s.logStuck
	if s.status.StuckReason == "" {
		s.status.StuckReason = s.foldStuck
	}
	if s.status != old {
		s.opts.OnStatus(s.status)
	}
}

// jitter returns a random part of d.
func (s *Spreader) jitter(d time.Duration) time.Duration {
	return time.Duration(s.opts.Rand() * float64(d))
}

// aroundHalf returns d, longer or shorter by up to half.
func (s *Spreader) aroundHalf(d time.Duration) time.Duration { return d/2 + s.jitter(d) }

// Bounds of the wait between two tries.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff returns the wait after a number of failures in a row, with full
// jitter, so that daemons that failed together do not come back together.
func (s *Spreader) backoff(failures int) time.Duration {
	d := minBackoff << min(failures, 10)
	return s.jitter(min(d, maxBackoff))
}

// sleep waits and reports whether the daemon still runs.
func (s *Spreader) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
