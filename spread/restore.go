package spread

import (
	"context"
	"net/netip"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// carryTries is how many daemons are asked for what the log may lack.
	carryTries = 3
	// carryPause is about the wait between two tries, and for others to become known.
	carryPause = 300 * time.Millisecond
	// carryPatience bounds the search: the operator has written again by then what was lost.
	carryPatience = 15 * time.Second
)

// followRestored goes on from the newest state of a log that came back from an older copy.
// It is read even where a neighbour has gone on already: what the operator has written since
// then may be newer. The others are told, as the state may hold a version that they lack.
func (s *Spreader) followRestored(ctx context.Context, cause *eventlog.RestoredError) error {
	if s.opts.LoadCheckpoint == nil {
		s.noteLogError(cause)
		return cause
	}
	st, err := s.opts.LoadCheckpoint(ctx)
	if err == nil && st == nil {
		err = cause
	}
	s.noteLogError(err)
	if err != nil {
		return err
	}
	before := s.State()
	if s.history.adopt(st) {
		s.noteRestored(before, st)
	}
	return nil
}

// noteRestored tells of the epoch that this daemon went on in.
func (s *Spreader) noteRestored(before, told *fold.State) {
	now := s.State()
	s.opts.Meter.Restored()
	s.opts.Logger.Warn("spread: log was restored from an older copy",
		"epoch_before", eventlog.Epoch(before.Offset), "epoch", eventlog.Epoch(told.Offset),
		"index_before", eventlog.Index(before.Offset), "index", eventlog.Index(told.Offset),
		"document_in_force", now.Document().GetVersion(), "document_in_log", told.Document().GetVersion())
	s.noteKnown(now.Offset)
	s.noteFromLog(now.Offset)
	s.rootWake.Set()
	s.pullWake.Set()
	s.carryWake.Set()
}

// carryLoop asks others for what the log may lack whenever the state in force comes from the
// log alone. Offsets do not tell: the state of a daemon that started from an older copy stands
// at the same offset as that of one which had something newer in force before.
func (s *Spreader) carryLoop() error {
	for s.carryWake.Wait(s.ctx) {
		end := time.Now().Add(carryPatience)
		for tries := 0; tries < carryTries && time.Now().Before(end); {
			if s.carryOnce() {
				tries++
			}
			if !s.sleep(s.aroundHalf(carryPause)) {
				return nil
			}
		}
	}
	return nil
}

// carryOnce asks one daemon, and reports whether it has answered.
func (s *Spreader) carryOnce() bool {
	p := s.plan.Load()
	if p == nil {
		return false
	}
	others := p.tree
	for _, zone := range p.zones {
		others = append(others[:len(others):len(others)], zone...)
	}
	if len(others) == 0 {
		return false
	}
	theirs, err := s.newerDocument(others[int(s.opts.Rand()*float64(len(others)))])
	if err != nil {
		s.opts.Logger.Debug("spread: not asked for a newer document", "error", err)
		return false
	}
	if theirs != nil && s.history.carry(theirs) {
		s.opts.Logger.Warn("spread: log lacks what other daemons have in force",
			"document_in_force", s.State().Document().GetVersion(), "offset", s.history.offset())
	}
	return true
}

// newerDocument returns the state of a daemon whose document is newer, nil if it is not.
func (s *Spreader) newerDocument(addr netip.AddrPort) (*fold.State, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.PullTimeout)
	defer cancel()
	answer, err := s.opts.Peers.Pull(ctx, addr, &peerpb.Pull{
		Host: s.opts.Host, TakesPacked: true, NewerDocument: true, DocumentVersion: s.State().Document().GetVersion(),
	})
	if err != nil {
		return nil, err
	}
	m, err := StateOf(answer)
	if err != nil || m == nil {
		return nil, err
	}
	return fold.Decode(m)
}
