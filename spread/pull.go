package spread

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// maxCandidates bounds the daemons remembered to pull from.
	maxCandidates = 4
	// maxServedPulls bounds the pulls answered at once; a state takes its
	// bytes a few times over while it is encoded.
	maxServedPulls = 16
	// pullsBeforeRead is after how many pulls without progress a daemon that
	// is behind reads the log itself.
	pullsBeforeRead = 3
	// anywhereTries is how many daemons are asked for what the log has dropped.
	anywhereTries = 3
)

// errNoProgress means that a pull brought nothing new.
var errNoProgress = errors.New("pull brought nothing new")

// candidate is a daemon heard to be ahead.
type candidate struct {
	addr   netip.AddrPort
	offset uint64
}

// noteAhead remembers a daemon to pull from if it is ahead.
func (s *Spreader) noteAhead(addr netip.AddrPort, offset uint64) {
	if offset <= s.history.offset() {
		return
	}
	s.noteKnown(offset)
	s.mu.Lock()
	s.candidates = slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.addr == addr })
	if len(s.candidates) == maxCandidates {
		s.candidates = s.candidates[1:]
	}
	s.candidates = append(s.candidates, candidate{addr, offset})
	s.mu.Unlock()
	s.pullWake.Set()
}

// takeCandidate removes and returns the latest daemon heard to be ahead.
func (s *Spreader) takeCandidate() (candidate, bool) {
	offset := s.history.offset()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.candidates); n > 0; n = len(s.candidates) {
		c := s.candidates[n-1]
		s.candidates = s.candidates[:n-1]
		if c.offset > offset {
			return c, true
		}
	}
	return candidate{}, false
}

// behind reports whether there is a record that this daemon lacks and can
// fold.
func (s *Spreader) behind() bool {
	st := s.State()
	return st != nil && s.Status().KnownOffset > st.Offset && !s.history.blockedAt(st.Offset)
}

// pullLoop pulls while this daemon is behind, and reads the log itself where
// nobody can be heard or asked.
func (s *Spreader) pullLoop() error {
	w := s.newWatch()
	for s.ctx.Err() == nil {
		w.schedule()
		timer := time.NewTimer(time.Until(w.next()))
		select {
		case <-s.ctx.Done():
		case <-s.pullWake:
		case <-timer.C:
			w.act()
		}
		timer.Stop()
	}
	return nil
}

// watch decides when a daemon pulls and when it reads the log itself.
type watch struct {
	s *Spreader
	// pullAt is when the next pull is due, zero while not behind.
	pullAt time.Time
	// quiet is how long to hear nothing before an own read.
	quiet time.Duration
	// nextRead is when the log may be read here out of turn again.
	nextRead time.Time
	failures int
}

func (s *Spreader) newWatch() *watch {
	return &watch{s: s, quiet: s.aroundHalf(s.opts.OwnReadAfter)}
}

// schedule sets or clears the next pull.
func (w *watch) schedule() {
	switch {
	case !w.s.behind():
		w.pullAt, w.failures = time.Time{}, 0
	case w.pullAt.IsZero():
		w.pullAt = time.Now().Add(w.s.jitter(w.s.opts.PullDelay))
	}
}

// next returns when to act.
func (w *watch) next() time.Time {
	read := w.readAt()
	if !w.pullAt.IsZero() && w.pullAt.Before(read) {
		return w.pullAt
	}
	return read
}

// readAt returns when an own read is due if nothing is heard until then.
func (w *watch) readAt() time.Time {
	w.s.mu.Lock()
	at := w.s.lastHeard.Add(w.quiet)
	w.s.mu.Unlock()
	if w.nextRead.After(at) {
		return w.nextRead
	}
	return at
}

// act pulls or reads, whichever is due.
func (w *watch) act() {
	now := time.Now()
	switch {
	case !w.pullAt.IsZero() && !now.Before(w.pullAt):
		w.pull()
	case !now.Before(w.readAt()):
		w.read()
	}
}

// pull asks a daemon that is ahead; after some failures the log.
func (w *watch) pull() {
	s := w.s
	before := s.history.offset()
	c, ok := s.takeCandidate()
	if ok {
		s.fetch(c.addr, c.offset)
	}
	if s.history.offset() == before && w.failures >= pullsBeforeRead && !time.Now().Before(w.nextRead) {
		w.read()
	}
	if s.history.offset() > before {
		w.failures = 0
		w.pullAt = time.Time{}
		return
	}
	w.failures++
	w.pullAt = time.Now().Add(s.backoff(w.failures))
}

// read reads the log out of turn. Readers do so all the time anyway.
func (w *watch) read() {
	s := w.s
	w.quiet = s.aroundHalf(s.opts.OwnReadAfter)
	w.nextRead = time.Now().Add(w.quiet)
	if s.reads() || s.State() == nil {
		return
	}
	for s.ctx.Err() == nil {
		n, err := s.readOnce(0, ownReadSlack)
		if err != nil {
			s.opts.Logger.Debug("spread: own read failed", "error", err)
		}
		if err != nil || n < readLimit {
			return
		}
	}
}

// fetch pulls from a daemon until this one has an offset in force.
func (s *Spreader) fetch(addr netip.AddrPort, offset uint64) {
	select {
	case s.fetching <- struct{}{}:
		defer func() { <-s.fetching }()
	case <-s.ctx.Done():
		return
	}
	for s.history.offset() < offset && s.ctx.Err() == nil {
		n, err := s.pullOnce(addr)
		s.opts.Meter.Pulled(n, err)
		if err != nil {
			s.opts.Logger.Debug("spread: pull failed", "peer", addr, "error", err)
			return
		}
	}
}

// pullAnywhere pulls from some daemons of the own availability zone and reports
// whether this one has an offset in force then.
func (s *Spreader) pullAnywhere(offset uint64) bool {
	p := s.plan.Load()
	for i := 0; p != nil && i < min(anywhereTries, len(p.tree)); i++ {
		s.fetch(p.tree[int(s.opts.Rand()*float64(len(p.tree)))], offset)
	}
	return s.history.offset() >= offset
}

// pullOnce asks a daemon for what follows the version in force and returns by
// how much that moved.
func (s *Spreader) pullOnce(addr netip.AddrPort) (int, error) {
	st := s.State()
	if st == nil {
		return 0, errNoProgress
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.PullTimeout)
	defer cancel()
	_, held := s.history.recordAt(st.Offset)
	answer, err := s.opts.Peers.Pull(ctx, addr, &peerpb.Pull{
		Offset: st.Offset, Chain: st.Chain[:], Host: s.opts.Host, TakesPacked: true, HoldsRecord: held,
	})
	if err != nil {
		return 0, err
	}
	if answer.GetDiverged() {
		s.setFoldStuck(fmt.Sprintf("%v at %d; %s has others", errDiverged, st.Offset, addr))
		return 0, errDiverged
	}
	if err := s.takeAnswer(st, addr, answer); err != nil {
		return 0, err
	}
	if s.history.offset() == st.Offset {
		return 0, errNoProgress
	}
	return int(eventlog.Between(st.Offset, s.history.offset())), nil
}

// takeAnswer puts in force what a pull brought.
func (s *Spreader) takeAnswer(asked *fold.State, addr netip.AddrPort, answer *peerpb.PullAnswer) error {
	m, err := StateOf(answer)
	if err != nil {
		return err
	}
	if m != nil {
		st, err := fold.Decode(m)
		var unknown *fold.UnknownRuleError
		if errors.As(err, &unknown) {
			s.setFoldStuck(unknown.Error())
		}
		if err == nil {
			s.InstallState(st)
		}
		return err
	}
	records, err := s.recordsOf(answer)
	if err != nil || len(records) == 0 {
		return err
	}
	b, err := newBatch(answer.GetBase(), asked.Chain[:], records)
	if err != nil {
		return err
	}
	if b.base != asked.Offset {
		return errors.Wrapf(errMalformed, "asked for what follows %d, got what follows %d", asked.Offset, b.base)
	}
	_, err = s.fold(b, addr.String())
	return err
}

// StateOf returns the whole state of an answer, packed or not, nil if it has none.
func StateOf(a *peerpb.PullAnswer) (*configpb.State, error) {
	if len(a.GetPackedState()) == 0 {
		return a.GetState(), nil
	}
	return unpackState(a.GetPackedState())
}

// recordsOf returns the records of an answer, packed or not.
func (s *Spreader) recordsOf(a *peerpb.PullAnswer) ([]*configpb.SequencedRecord, error) {
	if len(a.GetPacked()) == 0 {
		return a.GetRecords(), nil
	}
	return s.history.unpack(a.GetBase(), a.GetPacked())
}

// servePull answers with the records after an offset, or with the state where
// it is asked for or the records are no longer remembered.
func (s *Spreader) servePull(m *peerpb.Pull) *peerpb.PullAnswer {
	st := s.State()
	answer := &peerpb.PullAnswer{Floor: s.opts.Floor(m.GetHost())}
	if st == nil {
		return answer
	}
	answer.Offset, answer.Chain = st.Offset, st.Chain[:]
	if m.GetFloorOnly() || m.GetNewerDocument() && st.Document().GetVersion() <= m.GetDocumentVersion() {
		return answer
	}
	if chain, ok := s.history.chainAt(m.GetOffset()); ok && len(m.GetChain()) > 0 && !bytes.Equal(chain[:], m.GetChain()) {
		answer.Diverged = true
		return answer
	}
	if m.GetOffset() >= st.Offset && !m.GetWholeState() && !m.GetNewerDocument() {
		return answer
	}
	select {
	case s.serving <- struct{}{}:
		defer func() { <-s.serving }()
	default:
		answer.Busy = true
		return answer
	}
	b, ok := s.history.after(m.GetOffset(), maxBatchBytes)
	switch {
	case !ok || m.GetWholeState() || m.GetNewerDocument():
		s.answerState(m, st, answer)
	case m.GetTakesPacked():
		answer.Base = b.base
		answer.Records, answer.Packed = s.wireForm(b, !m.GetHoldsRecord())
	default:
		answer.Base, answer.Records = b.base, b.records
	}
	return answer
}

// answerState adds the whole state to an answer.
func (s *Spreader) answerState(m *peerpb.Pull, st *fold.State, answer *peerpb.PullAnswer) {
	if m.GetTakesPacked() {
		packed, err := s.packed.of(st)
		if err != nil {
			s.opts.Logger.Error("spread: state not packed", "offset", st.Offset, "error", err)
		}
		if packed != nil {
			answer.PackedState = packed
			return
		}
	}
	answer.State = st.Encode()
}
