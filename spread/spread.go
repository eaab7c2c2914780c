// Package spread distributes configuration records from the platform's log to every daemon.
//
// Readers: in each availability zone the first few live daemons by rendezvous hash read the log.
// They are not elected: each daemon ranks the members of its own membership view. Where views
// differ, a zone may have an extra reader, which costs bandwidth, or lack one, which the other
// paths compensate for.
//
// Push: the first reader of a zone sends each batch along a tree over the daemons of the zone. It
// is the root of that tree. A push names the daemons below its receiver, so coverage depends on the
// root's membership view alone. If a daemon does not acknowledge a push, its sender pushes to the
// daemons below it instead. The other readers wait a short time for that push and then send only
// its offset along trees of their own, or the records if the push has not arrived.
//
// Handoff: a root sends its offset to one reader of each other availability zone after a delay, in
// case that zone cannot read the log.
//
// Deputies: a reader that the log does not serve asks other daemons of its zone, one after the other,
// to read the log once in its place. The log may turn away the readers alone, and the others would not
// notice: a reader that lives and does not read is in contact with them.
//
// Pull: each membership probe carries the sender's offset, and a daemon that is behind pulls from
// one that is ahead. A daemon that receives no probes, or finds no daemon to pull from, reads the
// log itself, at long and jittered intervals.
//
// A record is applied at its offset whichever way it arrives, after a check that it continues the
// hash chain of the records before it. The version of a daemon therefore never goes back, and a
// daemon that cannot apply the next record stays at its version and reports the reason.
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

// Status describes how a daemon receives its configuration.
type Status struct {
	// Reader reports whether the daemon reads the log for its availability zone.
	Reader bool
	// KnownOffset is the highest offset known to exist, from any source.
	KnownOffset uint64
	// LogError is the error of the last read from the log, empty if that read succeeded.
	LogError string
	// LogErrorSince is the time of the first of the current series of failed reads.
	LogErrorSince time.Time
	// StuckReason says why the daemon cannot advance beyond its version, empty if it can.
	StuckReason string
}

// Spreader distributes configuration records on behalf of one daemon. All methods are safe for
// concurrent use.
type Spreader struct {
	opts         Options
	t            tomb.Tomb
	ctx          context.Context
	history      history
	packedStates packedStateCache
	topology     atomic.Pointer[topology]

	mu     sync.Mutex
	status Status
	// logStuckReason and applyStuckReason are the two sources of Status.StuckReason: an
	// inconsistency found in the log, and records that could not be applied. The first takes
	// precedence.
	logStuckReason, applyStuckReason string
	// logOffset is the highest offset that this daemon read from the log or appended itself.
	logOffset uint64
	// pushedOffset is the offset up to which this daemon, as a root, has pushed or has left the
	// push to other roots.
	pushedOffset uint64
	// coveredOffset is the highest offset for which another root of this availability zone has
	// pushed the records.
	coveredOffset uint64
	// maxPeerOffset is the highest offset that membership reported for another daemon.
	maxPeerOffset uint64
	// assignedOffset is the offset up to which this daemon pushes in its availability zone although
	// it is not a reader.
	assignedOffset uint64
	// deputy is set while this daemon reads the log in place of a reader, and pushes what it finds.
	deputy bool
	// pullCandidates are daemons reported to be ahead, the most recent report last.
	pullCandidates []pullCandidate
	lastContact    time.Time
	// lastLogRead is when a read of the log last succeeded.
	lastLogRead time.Time
	relayed     recentPushes

	readWake, pushWake, handoffWake, pullWake, reconcileWake, deputyWake loop.Trigger
	// deputySem admits one read in place of another daemon at a time.
	deputySem chan struct{}

	// pullSem admits one pull at a time. It keeps a daemon that receives many digests from pulling
	// the same records from every sender.
	pullSem chan struct{}
	// serveSem limits the pulls answered concurrently, pushSem the concurrent pushes of which this
	// daemon is the root.
	serveSem, pushSem chan struct{}
}

// New returns a Spreader without a state. Until InstallState is called it applies no records but
// still relays pushes.
func New(opts Options) *Spreader {
	s := &Spreader{
		opts:          opts,
		lastContact:   time.Now(),
		relayed:       newRecentPushes(),
		readWake:      loop.NewTrigger(),
		pushWake:      loop.NewTrigger(),
		handoffWake:   loop.NewTrigger(),
		pullWake:      loop.NewTrigger(),
		reconcileWake: loop.NewTrigger(),
		deputyWake:    loop.NewTrigger(),
		deputySem:     make(chan struct{}, 1),
		pullSem:       make(chan struct{}, 1),
		serveSem:      make(chan struct{}, maxServedPulls),
		pushSem:       make(chan struct{}, maxRootPushes),
	}
	s.ctx = s.t.Context(context.Background())
	s.history.onState = opts.OnState
	s.history.onRejected = s.reportRejected
	return s
}

// Run reads, pushes and pulls until ctx is done.
func (s *Spreader) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { s.t.Kill(nil) })()
	s.t.Go(s.readLoop)
	s.t.Go(s.pushLoop)
	s.t.Go(s.handoffLoop)
	s.t.Go(s.pullLoop)
	s.t.Go(s.reconcileLoop)
	s.t.Go(s.deputyLoop)
	return s.t.Wait()
}

// InstallState sets the state that the daemon recovered at startup. A later call with a newer
// state, for example from a checkpoint, replaces the current one; an older state is ignored.
func (s *Spreader) InstallState(st *fold.State) {
	if !s.history.install(st) {
		return
	}
	s.raiseKnownOffset(st.Offset)
	s.mu.Lock()
	// The other daemons have the records of a recovered state already: do not push them.
	s.pushedOffset = max(s.pushedOffset, st.Offset)
	s.mu.Unlock()
	s.readWake.Set()
	s.pushWake.Set()
	s.pullWake.Set()
}

// InstallStateFromLog is InstallState for a state that was built from the log alone. If the log was
// ever restored from an older copy, that state may lack a newer document that other daemons serve,
// so those are asked for it.
func (s *Spreader) InstallStateFromLog(st *fold.State) {
	s.InstallState(st)
	if eventlog.Epoch(st.Offset) > 0 {
		s.reconcileWake.Set()
	}
}

// State returns the current state, or nil before InstallState.
func (s *Spreader) State() *fold.State { return s.history.current() }

// Status returns the current status.
func (s *Spreader) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// SetView updates the membership view from which readers and push trees are derived.
func (s *Spreader) SetView(v *membership.View) {
	topo := newTopology(v, s.opts.ReadersPerZone)
	s.topology.Store(topo)
	s.updateStatus(func(st *Status) { st.Reader = s.readsLog() })
	s.readWake.Set()
	s.pushWake.Set()
}

// ObserveOffset records the offset that a membership probe reported for a host. A daemon that is
// behind that offset pulls from the host.
func (s *Spreader) ObserveOffset(_ string, addr netip.AddrPort, offset uint64) {
	s.mu.Lock()
	s.lastContact = time.Now()
	s.maxPeerOffset = max(s.maxPeerOffset, offset)
	s.mu.Unlock()
	s.addPullCandidate(addr, offset)
}

// Freshness says how recently a daemon could have learned of a new version. The times are zero if
// there was none.
type Freshness struct {
	// LogRead is when this daemon last read the log, with or without new records.
	LogRead time.Time
	// PeerContact is when another daemon last reported its offset.
	PeerContact time.Time
}

// Freshness returns when this daemon last read the log and last had contact to another daemon.
func (s *Spreader) Freshness() Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Freshness{LogRead: s.lastLogRead, PeerContact: s.lastContact}
}

// recordContact resets the time without contact to other daemons, after which the log is read as a
// fallback.
func (s *Spreader) recordContact() {
	s.mu.Lock()
	s.lastContact = time.Now()
	s.mu.Unlock()
}

// readsLog reports whether this daemon is reading the log continuously.
func (s *Spreader) readsLog() bool {
	if s.opts.Mode == ModeDirect {
		return true
	}
	topo := s.topology.Load()
	return topo != nil && topo.rank != notRanked
}

// pushesRecords reports whether this daemon, as a root, sends new records along a tree.
func (s *Spreader) pushesRecords() bool { return s.opts.Mode == ModeTree }

// raiseKnownOffset raises Status.KnownOffset to offset if that is higher.
func (s *Spreader) raiseKnownOffset(offset uint64) {
	s.updateStatus(func(st *Status) { st.KnownOffset = max(st.KnownOffset, offset) })
}

// updateStatus applies f to the status and calls OnStatus if the status has changed.
func (s *Spreader) updateStatus(f func(*Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.status
	f(&s.status)
	s.status.StuckReason = s.logStuckReason
	if s.status.StuckReason == "" {
		s.status.StuckReason = s.applyStuckReason
	}
	if s.status != old {
		s.opts.OnStatus(s.status)
	}
}

// jitter returns a random duration in [0, d).
func (s *Spreader) jitter(d time.Duration) time.Duration {
	return time.Duration(s.opts.Rand() * float64(d))
}

// jitterAround returns a random duration in [d/2, 3d/2).
func (s *Spreader) jitterAround(d time.Duration) time.Duration { return d/2 + s.jitter(d) }

// Bounds of the backoff between attempts. Full jitter draws the wait from zero up to them.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff returns the wait after a number of consecutive failures. Full jitter keeps daemons that
// failed together from retrying together.
func (s *Spreader) backoff(failures int) time.Duration {
	d := minBackoff << min(failures, 10)
	return s.jitter(min(d, maxBackoff))
}

// sleep waits for d and reports whether the daemon is still running.
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
