package spread

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/peerpb"
)

// servePush takes a push, passes it on and acknowledges it with reply. The
// acknowledgement means that the daemons below are taken care of, so passing on
// begins first; a sender that gets none takes them over.
func (s *Spreader) servePush(m *peerpb.Push, reply func(*peerpb.PushAck) error) error {
	s.touch()
	if isDigest(m) {
		return s.serveDigest(m, reply)
	}
	end := m.GetBase() + uint64(len(m.GetRecords())+len(m.GetPacked()))
	b, err := s.pushed(m, end)
	if err == nil {
		_, err = s.fold(b, m.GetRoot())
	}
	if errors.Is(err, errMalformed) {
		s.opts.Logger.Warn("spread: push refused", "root", m.GetRoot(), "error", err)
	}
	if errors.Is(err, errMalformed) || errors.Is(err, errDiverged) {
		return reply(&peerpb.PushAck{Offset: s.history.offset(), Diverged: true})
	}
	s.noteCovered(end)
	if source, ok := decodeAddr(m.GetSource()); ok {
		s.noteAhead(source, end)
	}
	// A daemon that cannot fold a record passes it on all the same: those below
	// may run a newer program.
	var wg sync.WaitGroup
	wg.Go(func() { s.relay(m, end) })
	err = reply(&peerpb.PushAck{Offset: s.history.offset()})
	wg.Wait()
	return err
}

// pushed returns the batch of a push that ends at an offset. What is in force already
// is not unpacked again; what cannot be unpacked without the records before it is
// pulled (errNoDictionary).
func (s *Spreader) pushed(m *peerpb.Push, end uint64) (batch, error) {
	records := m.GetRecords()
	if len(m.GetPacked()) > 0 && s.history.offset() < end {
		var err error
		if records, err = s.history.unpack(m.GetBase(), m.GetPacked()); err != nil {
			return batch{}, err
		}
	}
	return newBatch(m.GetBase(), m.GetBaseChain(), records)
}

// serveDigest takes a push without records: it pulls what is missing and passes
// the digest on.
func (s *Spreader) serveDigest(m *peerpb.Push, reply func(*peerpb.PushAck) error) error {
	// The sender waits for no more than the message's arrival; a pull may take
	// longer than its patience.
	if err := reply(&peerpb.PushAck{Offset: s.history.offset()}); err != nil {
		return err
	}
	end := m.GetBase()
	if s.history.offset() < end {
		s.noteKnown(end)
		if m.GetHandoff() {
			s.assign(end)
		}
		if source, ok := decodeAddr(m.GetSource()); ok {
			s.fetch(source, end)
			s.noteAhead(source, end)
		}
	}
	s.relay(m, end)
	return nil
}

// relay passes a push on to the daemons that it names, once.
func (s *Spreader) relay(m *peerpb.Push, end uint64) {
	targets := decodeAddrs(m.GetTargets())
	if len(targets) == 0 || !s.firstRelay(m) {
		return
	}
	next := &peerpb.Push{
		Base: m.GetBase(), BaseChain: m.GetBaseChain(), Records: m.GetRecords(),
		Root: m.GetRoot(), Depth: m.GetDepth(), Source: m.GetSource(), Packed: m.GetPacked(),
	}
	if p := s.plan.Load(); p != nil && s.history.offset() >= end {
		// Those below pull from here and not all from the root.
		next.Source = encodeAddr(p.self)
	}
	s.pushTree(next, targets)
}

func (s *Spreader) noteCovered(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.covered = max(s.covered, offset)
}

// firstRelay reports whether a push has not been passed on yet. A sender that
// takes over the daemons below a slow one sends them the same push again; each
// level would double it.
func (s *Spreader) firstRelay(m *peerpb.Push) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed.add(pushKey{root: m.GetRoot(), base: m.GetBase(), records: len(m.GetRecords()) + len(m.GetPacked())})
}

// pushKey tells pushes apart.
type pushKey struct {
	root    string
	base    uint64
	records int
}

// maxRecentPushes bounds the pushes remembered; a repeat comes within seconds.
const maxRecentPushes = 256

// recentPushes remembers the latest pushes passed on.
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
