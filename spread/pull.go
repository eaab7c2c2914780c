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
	// maxPullCandidates limits the number of daemons remembered to pull from.
	maxPullCandidates = 4
	// maxServedPulls limits the pulls answered concurrently; encoding a state temporarily takes a
	// few times its size in memory.
	maxServedPulls = 16
	// pullsBeforeRead is the number of consecutive pulls without progress after which a daemon that
	// is behind reads the log itself.
	pullsBeforeRead = 3
	// maxZonePulls is the number of daemons asked for records that the log no longer retains, and
	// zonePullTimeout the time for all of them. They may all be paused, while the log's newest state
	// is one call away.
	maxZonePulls    = 3
	zonePullTimeout = 500 * time.Millisecond
	// minPullTimeout is how long a pull of a small record may take. A daemon that cannot reach the
	// others has to read the log itself in time.
	minPullTimeout = time.Second
	// pullPatience is the time after which a daemon whose pull has not ended also reads the log. A
	// pull of small records takes milliseconds.
	pullPatience = 300 * time.Millisecond
)

// errNoProgress means that a pull did not advance the state.
var errNoProgress = errors.New("pull returned nothing new")

// pullCandidate is a daemon reported to be ahead, with its reported offset.
type pullCandidate struct {
	addr   netip.AddrPort
	offset uint64
}

// addPullCandidate remembers a daemon to pull from if it is ahead.
func (s *Spreader) addPullCandidate(addr netip.AddrPort, offset uint64) {
	if offset <= s.history.offset() {
		return
	}
	s.raiseKnownOffset(offset)
	s.mu.Lock()
	s.pullCandidates = slices.DeleteFunc(s.pullCandidates, func(c pullCandidate) bool { return c.addr == addr })
	if len(s.pullCandidates) == maxPullCandidates {
		s.pullCandidates = s.pullCandidates[1:]
	}
	s.pullCandidates = append(s.pullCandidates, pullCandidate{addr, offset})
	s.mu.Unlock()
	s.pullWake.Set()
}

// takePullCandidate removes and returns the most recently reported daemon that is still ahead.
func (s *Spreader) takePullCandidate() (pullCandidate, bool) {
	offset := s.history.offset()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.pullCandidates); n > 0; n = len(s.pullCandidates) {
		c := s.pullCandidates[n-1]
		s.pullCandidates = s.pullCandidates[:n-1]
		if c.offset > offset {
			return c, true
		}
	}
	return pullCandidate{}, false
}

// behind reports whether a record exists that this daemon lacks and can apply.
func (s *Spreader) behind() bool {
	st := s.State()
	return st != nil && s.Status().KnownOffset > st.Offset && !s.history.blockedAt(st.Offset)
}

// pullUntil pulls from a daemon until this daemon has reached an offset or a pull fails, and returns
// the error of that pull.
func (s *Spreader) pullUntil(ctx context.Context, addr netip.AddrPort, offset uint64) error {
	select {
	case s.pullSem <- struct{}{}:
		defer func() { <-s.pullSem }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for s.history.offset() < offset && ctx.Err() == nil {
		n, err := s.pullOnce(ctx, addr)
		s.opts.Meter.Pulled(n, err)
		if err != nil {
			s.opts.Logger.Debug("spread: pull failed", "peer", addr, "error", err)
			return err
		}
	}
	return ctx.Err()
}

// pullAnswered reports whether a daemon answered a pull that ended with err.
func pullAnswered(err error) bool {
	return err == nil || errors.Is(err, errNoProgress) || errors.Is(err, errDiverged) || errors.Is(err, errMalformed)
}

// pullFromZone pulls from random daemons of this daemon's availability zone and reports whether it
// has reached an offset.
func (s *Spreader) pullFromZone(offset uint64) bool {
	ctx, cancel := context.WithTimeout(s.ctx, zonePullTimeout)
	defer cancel()
	topo := s.topology.Load()
	for i := 0; topo != nil && i < min(maxZonePulls, len(topo.tree)) && ctx.Err() == nil; i++ {
		_ = s.pullUntil(ctx, topo.tree[int(s.opts.Rand()*float64(len(topo.tree)))], offset)
	}
	return s.history.offset() >= offset
}

// pullOnce pulls the records that follow the current state from a daemon and returns the number of
// records by which the state advanced.
func (s *Spreader) pullOnce(ctx context.Context, addr netip.AddrPort) (int, error) {
	st := s.State()
	if st == nil {
		return 0, errNoProgress
	}
	record, holdsRecord := s.history.recordAt(st.Offset)
	ctx, cancel := context.WithTimeout(ctx, s.pullTimeout(len(record), holdsRecord))
	defer cancel()
	answer, err := s.opts.Peers.Pull(ctx, addr, &peerpb.Pull{
		Offset: st.Offset, Chain: st.Chain[:], Host: s.opts.Host, TakesPacked: true, HoldsRecord: holdsRecord,
	})
	if err != nil {
		return 0, err
	}
	if answer.GetDiverged() {
		s.setApplyStuck(fmt.Sprintf("%v at offset %d; %s has different records", errDiverged, st.Offset, addr))
		return 0, errDiverged
	}
	if err := s.applyAnswer(st, addr, answer); err != nil {
		return 0, err
	}
	if s.history.offset() == st.Offset {
		return 0, errNoProgress
	}
	return int(eventlog.RecordsBetween(st.Offset, s.history.offset())), nil
}

// pullTimeout returns how long to wait for the answer to a pull. The size of the current record, if it
// is known, is the estimate for that of the next.
func (s *Spreader) pullTimeout(recordBytes int, known bool) time.Duration {
	if !known {
		return s.opts.PullTimeout
	}
	transfer := time.Duration(recordBytes) * time.Second / pushBytesPerSecond
	return min(s.opts.PullTimeout, minPullTimeout+transfer)
}

// applyAnswer applies the state or records of an answer to a pull.
func (s *Spreader) applyAnswer(requested *fold.State, addr netip.AddrPort, answer *peerpb.PullAnswer) error {
	m, err := StateOf(answer)
	if err != nil {
		return err
	}
	if m != nil {
		st, err := fold.Decode(m)
		var unknown *fold.UnknownRuleError
		if errors.As(err, &unknown) {
			s.setApplyStuck(unknown.Error())
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
	b, err := newBatch(answer.GetBase(), requested.Chain[:], records)
	if err != nil {
		return err
	}
	if b.base != requested.Offset {
		return errors.Wrapf(errMalformed, "requested the records after offset %d, received those after offset %d", requested.Offset, b.base)
	}
	_, err = s.applyBatch(b, addr.String())
	return err
}

// StateOf returns the whole state of an answer, unpacked if necessary, or nil if the answer has
// none.
func StateOf(a *peerpb.PullAnswer) (*configpb.State, error) {
	if len(a.GetPackedState()) == 0 {
		return a.GetState(), nil
	}
	return unpackState(a.GetPackedState())
}

// recordsOf returns the records of an answer, unpacked if necessary.
func (s *Spreader) recordsOf(a *peerpb.PullAnswer) ([]*configpb.SequencedRecord, error) {
	if len(a.GetPacked()) == 0 {
		return a.GetRecords(), nil
	}
	return s.history.unpack(a.GetBase(), a.GetPacked())
}

// servePull answers with the records after an offset, or with the whole state if that is requested
// or the records are no longer held.
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
	case s.serveSem <- struct{}{}:
		defer func() { <-s.serveSem }()
	default:
		answer.Busy = true
		return answer
	}
	b, ok := s.history.after(m.GetOffset(), maxBatchBytes)
	switch {
	case !ok || m.GetWholeState() || m.GetNewerDocument():
		s.addState(m, st, answer)
	case m.GetTakesPacked():
		answer.Base = b.base
		answer.Records, answer.Packed = s.encodeBatch(b, !m.GetHoldsRecord())
	default:
		answer.Base, answer.Records = b.base, b.records
	}
	return answer
}

// addState adds the whole state to an answer, packed if the requester accepts that.
func (s *Spreader) addState(m *peerpb.Pull, st *fold.State, answer *peerpb.PullAnswer) {
	if m.GetTakesPacked() {
		packed, err := s.packedStates.get(st)
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
