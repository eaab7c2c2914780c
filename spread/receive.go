package spread

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/peerpb"
)

// servePush applies a push, relays it and acknowledges it with reply. The acknowledgment means that
// this daemon takes care of the daemons below it, so the relay starts first; a sender without an
// acknowledgment pushes to them itself.
func (s *Spreader) servePush(m *peerpb.Push, reply func(*peerpb.PushAck) error) error {
	s.recordContact()
	if m.GetReadLog() {
		return s.serveReadRequest(m, reply)
	}
	if isDigest(m) {
		return s.serveDigest(m, reply)
	}
	end := m.GetBase() + uint64(len(m.GetRecords())+len(m.GetPacked()))
	b, err := s.decodePush(m, end)
	if err == nil {
		_, err = s.applyBatch(b, m.GetRoot())
	}
	if errors.Is(err, errMalformed) {
		s.opts.Logger.Warn("spread: push refused", "root", m.GetRoot(), "error", err)
	}
	if errors.Is(err, errMalformed) || errors.Is(err, errDiverged) {
		return reply(&peerpb.PushAck{Offset: s.history.offset(), Diverged: true})
	}
	s.raiseCoveredOffset(end)
	if source, ok := decodeAddr(m.GetSource()); ok {
		s.addPullCandidate(source, end)
	}
	// A daemon that cannot apply a record relays it nevertheless: the daemons below it may run a
	// newer program.
	var wg sync.WaitGroup
	wg.Go(func() { s.relay(m, end) })
	err = reply(&peerpb.PushAck{Offset: s.history.offset()})
	wg.Wait()
	return err
}

// decodePush returns the batch of a push that ends at offset end. Records that are already applied
// are not unpacked again. The error is errNoDictionary if the records cannot be unpacked without
// earlier ones; they are pulled instead.
func (s *Spreader) decodePush(m *peerpb.Push, end uint64) (batch, error) {
	records := m.GetRecords()
	if len(m.GetPacked()) > 0 && s.history.offset() < end {
		var err error
		if records, err = s.history.unpack(m.GetBase(), m.GetPacked()); err != nil {
			return batch{}, err
		}
	}
	return newBatch(m.GetBase(), m.GetBaseChain(), records)
}

// serveDigest handles a push without records: it pulls the missing records and relays the digest.
func (s *Spreader) serveDigest(m *peerpb.Push, reply func(*peerpb.PushAck) error) error {
	// Acknowledge first: the sender only waits for the push to arrive, and the pull below may take
	// longer than the sender's timeout.
	if err := reply(&peerpb.PushAck{Offset: s.history.offset()}); err != nil {
		return err
	}
	end := m.GetBase()
	if s.history.offset() < end {
		s.raiseKnownOffset(end)
		if m.GetHandoff() {
			s.raiseAssignedOffset(end)
		}
		if source, ok := decodeAddr(m.GetSource()); ok {
			_ = s.pullUntil(s.ctx, source, end)
			s.addPullCandidate(source, end)
		}
	}
	s.relay(m, end)
	return nil
}

// relay forwards a push once to the daemons that it names.
func (s *Spreader) relay(m *peerpb.Push, end uint64) {
	targets := decodeAddrs(m.GetTargets())
	if len(targets) == 0 || !s.firstRelay(m) {
		return
	}
	next := &peerpb.Push{
		Base: m.GetBase(), BaseChain: m.GetBaseChain(), Records: m.GetRecords(),
		Root: m.GetRoot(), Depth: m.GetDepth(), Source: m.GetSource(), Packed: m.GetPacked(),
	}
	if topo := s.topology.Load(); topo != nil && s.history.offset() >= end {
		// The daemons below pull from this daemon instead of all from the root.
		next.Source = encodeAddr(topo.self)
	}
	s.pushTree(next, targets)
}

func (s *Spreader) raiseCoveredOffset(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coveredOffset = max(s.coveredOffset, offset)
}

// firstRelay reports whether a push has not been relayed yet. A sender that pushes to the daemons
// below a slow daemon sends them the same push again; without this check, each level of the tree
// would double the traffic.
func (s *Spreader) firstRelay(m *peerpb.Push) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed.add(pushKey{root: m.GetRoot(), base: m.GetBase(), records: len(m.GetRecords()) + len(m.GetPacked())})
}

// pushKey identifies a push.
type pushKey struct {
	root    string
	base    uint64
	records int
}

// maxRecentPushes limits the pushes remembered. A repeated push arrives within seconds.
const maxRecentPushes = 256

// recentPushes remembers the latest relayed pushes.
type recentPushes struct {
	seen  map[pushKey]bool
	order []pushKey
}

func newRecentPushes() recentPushes { return recentPushes{seen: make(map[pushKey]bool)} }

// add remembers a push and reports whether it is new.
func (r *recentPushes) add(k pushKey) bool {
	if r.seen[k] {
		return false
	}
	if len(r.order) == maxRecentPushes {
		delete(r.seen, r.order[0])
		r.order = r.order[1:]
	}
	r.seen[k] = true
	r.order = append(r.order, k)
	return true
}
