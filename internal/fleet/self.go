// Package fleet answers what the daemons of the fleet have in force and carries
// operators' requests to them. Each daemon tells its own status from its
// blackboard; any daemon gathers the status of all others.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// LocalStatusOptions holds what a Self needs.
type LocalStatusOptions struct {
	Board            *blackboard.Board
	Host             string
	AvailabilityZone string
	// Version of the program.
	Version string
	// Now is the clock; its readings must be monotonic.
	Now func() time.Time
}

// LocalStatus tells this daemon's own status. Run must be running, so that the times at
// which versions come into force are seen when nobody asks.
type LocalStatus struct {
	opts LocalStatusOptions

	mu       sync.Mutex
	progress progress
}

// progress is since when things are as they are.
type progress struct {
	offset       uint64
	inForceSince time.Time
	// behindSince is zero while nothing later than offset is known.
	behindSince time.Time
}

// NewLocalStatus returns a Self that has seen nothing yet.
func NewLocalStatus(opts LocalStatusOptions) *LocalStatus {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &LocalStatus{opts: opts}
}

// Run notes each change of the version in force and of the version known until
// ctx ends, and returns nil then.
func (s *LocalStatus) Run(ctx context.Context) error {
	for {
		_, snapshotChanged := s.opts.Board.Snapshot.Watch()
		_, sourceChanged := s.opts.Board.Source.Watch()
		s.observe()
		select {
		case <-snapshotChanged:
		case <-sourceChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

// observe brings the noted progress up to the blackboard. Status calls it too,
// so that an answer never pairs a new offset with the age of the one before.
func (s *LocalStatus) observe() (progress, time.Time) {
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

// offsets returns the version in force and the highest one known.
func (s *LocalStatus) offsets() (offset, known uint64) {
	if snap := s.opts.Board.Snapshot.Load(); snap != nil {
		offset = snap.Offset
	}
	if src := s.opts.Board.Source.Load(); src != nil {
		known = src.KnownOffset
	}
	return offset, max(offset, known)
}

// Status returns this daemon's status.
func (s *LocalStatus) Status() *peerpb.StatusAnswer {
	p, now := s.observe()
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

func (s *LocalStatus) addLifecycle(a *peerpb.StatusAnswer) {
	if l := s.opts.Board.Lifecycle.Load(); l != nil {
		a.Phase = l.Phase.String()
		a.Draining = l.Phase >= blackboard.Draining
	}
	if f := s.opts.Board.Floor.Load(); f != nil && !f.Known {
		a.StuckReason = f.Reason
	}
}

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

// ServeStream answers KIND_STATUS.
func (s *LocalStatus) ServeStream(_ context.Context, st *peer.Stream) error {
	var ask peerpb.StatusAsk
	if err := st.RecvMax(&ask, maxAskBytes); err != nil {
		return err
	}
	return st.Send(s.Status())
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d).Milliseconds()) }
