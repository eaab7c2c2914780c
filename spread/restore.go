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
	// reconcileTries is the number of daemons asked for a document that the log may lack.
	reconcileTries = 3
	// reconcilePause is the average wait between two requests. It also leaves time for other
	// daemons to appear in the membership view.
	reconcilePause = 300 * time.Millisecond
	// reconcileTimeout bounds the search for a daemon that answers. By then the operator has
	// usually written the lost documents again.
	reconcileTimeout = 15 * time.Second
)

// continueFromRestored continues from the newest state of a log that was restored from an older
// copy. It loads that state even if another daemon has already continued, because the operator may
// have written a newer document since. The state is announced to the other daemons, as it may hold
// a version that they lack.
func (s *Spreader) continueFromRestored(ctx context.Context, cause *eventlog.RestoredError) error {
	if s.opts.LoadCheckpoint == nil {
		s.updateLogError(cause)
		return cause
	}
	st, err := s.opts.LoadCheckpoint(ctx)
	if err == nil && st == nil {
		err = cause
	}
	s.updateLogError(err)
	if err != nil {
		return err
	}
	before := s.State()
	if s.history.install(st) {
		s.reportRestored(before, st)
	}
	return nil
}

// reportRestored logs and announces the epoch of the log in which this daemon continues. before is
// the state until now, restored the state loaded from the log.
func (s *Spreader) reportRestored(before, restored *fold.State) {
	now := s.State()
	s.opts.Meter.Restored()
	s.opts.Logger.Warn("spread: log was restored from an older copy",
		"epoch_before", eventlog.Epoch(before.Offset), "epoch", eventlog.Epoch(restored.Offset),
		"index_before", eventlog.Index(before.Offset), "index", eventlog.Index(restored.Offset),
		"document_in_force", now.Document().GetVersion(), "document_in_log", restored.Document().GetVersion())
	s.raiseKnownOffset(now.Offset)
	s.raiseLogOffset(now.Offset)
	s.pushWake.Set()
	s.pullWake.Set()
	s.reconcileWake.Set()
}

// reconcileLoop asks other daemons for a newer document whenever the current state was built from
// the log alone. Offsets do not reveal that the document is older: a daemon that started from a
// restored log is at the same offset as a daemon that kept a newer document from before the
// restore.
func (s *Spreader) reconcileLoop() error {
	for s.reconcileWake.Wait(s.ctx) {
		deadline := time.Now().Add(reconcileTimeout)
		for tries := 0; tries < reconcileTries && time.Now().Before(deadline); {
			if s.reconcileOnce() {
				tries++
			}
			if !s.sleep(s.jitterAround(reconcilePause)) {
				return nil
			}
		}
	}
	return nil
}

// reconcileOnce asks one random daemon for a newer document and reports whether it answered.
func (s *Spreader) reconcileOnce() bool {
	topo := s.topology.Load()
	if topo == nil {
		return false
	}
	others := topo.tree
	for _, zone := range topo.zones {
		others = append(others[:len(others):len(others)], zone...)
	}
	if len(others) == 0 {
		return false
	}
	theirs, err := s.newerDocument(others[int(s.opts.Rand()*float64(len(others)))])
	if err != nil {
		s.opts.Logger.Debug("spread: request for a newer document failed", "error", err)
		return false
	}
	if theirs != nil && s.history.mergeNewer(theirs) {
		s.opts.Logger.Warn("spread: log lacks what other daemons have in force",
			"document_in_force", s.State().Document().GetVersion(), "offset", s.history.offset())
	}
	return true
}

// newerDocument returns the state of a daemon if its document is newer than the current one, else
// nil.
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
