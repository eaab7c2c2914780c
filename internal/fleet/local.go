// Package fleet reports which configuration is in force on the daemons of the fleet and forwards
// operators' drain requests to them. Each daemon reports its own status from its blackboard. Any
// daemon can collect the status of all others.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// LocalStatusOptions configures a LocalStatus.
type LocalStatusOptions struct {
	Board            *blackboard.Board
	Host             string
	AvailabilityZone string
	// Version is the version of the daemon's program.
	Version string
	// Now returns the current time with a monotonic reading. The default is time.Now.
	Now func() time.Time
}

// LocalStatus determines the status of this daemon. Run must be running, because it observes the
// times at which versions come into force also while no status is queried.
type LocalStatus struct {
	opts LocalStatusOptions

	mu       sync.Mutex
	progress progress
}

// progress holds the offset in force and the times of the latest changes.
type progress struct {
	// offset is the offset in force since inForceSince.
	offset       uint64
	inForceSince time.Time
	// behindSince is when an offset beyond the one in force became known, zero if there is none.
	behindSince time.Time
}

// NewLocalStatus returns a LocalStatus that has not read the blackboard yet.
func NewLocalStatus(opts LocalStatusOptions) *LocalStatus {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &LocalStatus{opts: opts}
}

// Run records the time of each change of the version in force and of the highest known version
// until ctx ends, and then returns nil.
func (s *LocalStatus) Run(ctx context.Context) error {
	for {
		_, snapshotChanged := s.opts.Board.Snapshot.Watch()
		_, sourceChanged := s.opts.Board.Source.Watch()
		s.updateProgress()
		select {
		case <-snapshotChanged:
		case <-sourceChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

// updateProgress updates the progress from the blackboard and returns it with the current time.
// Status calls it too, so that a response never combines a new offset with the age of the preceding
// one.
func (s *LocalStatus) updateProgress() (progress, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	offset, known := s.offsets()
	if p := &s.progress; offset != p.offset || p.inForceSince.IsZero() {
		p.offset = offset
		p.inForceSince = now
	}
	switch {
	case known <= offset:
		s.progress.behindSince = time.Time{}
	case s.progress.behindSince.IsZero():
		s.progress.behindSince = now
	}
	return s.progress, now
}

func (s *LocalStatus) now() time.Time { return s.opts.Now() }

// offsets returns the offset in force and the highest known offset.
func (s *LocalStatus) offsets() (offset, known uint64) {
	if snap := s.opts.Board.Snapshot.Load(); snap != nil {
		offset = snap.Offset
	}
	if src := s.opts.Board.Source.Load(); src != nil {
		known = src.KnownOffset
	}
	return offset, max(offset, known)
}

// Status returns the status of this daemon.
func (s *LocalStatus) Status() *peerpb.StatusAnswer {
	p, now := s.updateProgress()
	a := &peerpb.StatusAnswer{
		Host:             s.opts.Host,
		AvailabilityZone: s.opts.AvailabilityZone,
		Version:          s.opts.Version,
		Offset:           p.offset,
		KnownOffset:      p.offset,
		InForceAgeMs:     milliseconds(now.Sub(p.inForceSince)),
	}
	if !p.behindSince.IsZero() {
		a.BehindMs = milliseconds(now.Sub(p.behindSince))
	}
	s.addLifecycle(a)
	s.addSource(a, now)
	if snap := s.opts.Board.Snapshot.Load(); snap != nil {
		for _, r := range snap.Withheld {
			a.WithheldRoutes = append(a.WithheldRoutes, r.Name)
		}
	}
	return a
}

// addLifecycle adds the phase and the state of the floor.
func (s *LocalStatus) addLifecycle(a *peerpb.StatusAnswer) {
	if l := s.opts.Board.Lifecycle.Load(); l != nil {
		a.Phase = l.Phase.String()
		a.Draining = l.Phase >= blackboard.Draining
	}
	if f := s.opts.Board.Floor.Load(); f != nil && !f.Known {
		a.StuckReason = f.Reason
	}
}

// addSource adds the status of configuration distribution.
func (s *LocalStatus) addSource(a *peerpb.StatusAnswer, now time.Time) {
	src := s.opts.Board.Source.Load()
	if src == nil {
		return
	}
	a.KnownOffset = max(a.KnownOffset, src.KnownOffset)
	a.Reader = src.Reader
	if src.StuckReason != "" {
		a.StuckReason = src.StuckReason
	}
	if src.LogError != "" {
		a.LogError = src.LogError
		a.LogErrorAgeMs = milliseconds(now.Sub(src.LogErrorSince))
	}
}

// ServeStream serves KIND_STATUS.
func (s *LocalStatus) ServeStream(_ context.Context, st *peer.Stream) error {
	var req peerpb.StatusAsk
	if err := st.RecvMax(&req, maxRequestBytes); err != nil {
		return err
	}
	return st.Send(s.Status())
}

// milliseconds returns d in milliseconds, 0 if it is negative.
func milliseconds(d time.Duration) uint64 { return uint64(max(0, d).Milliseconds()) }
