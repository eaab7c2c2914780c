package spread

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

const (
	// maxBatchBytes limits the size of the records of one push or one pull, in bytes.
	maxBatchBytes = 1 << 20
	// maxHandoffTargets is the number of daemons of another availability zone to which a handoff is
	// attempted until one succeeds.
	maxHandoffTargets = 3
	// pushBytesPerSecond is half the rate of a link of 5 Mbit/s, the slowest supported. Callers'
	// requests use the other half.
	pushBytesPerSecond = 312_500
	// maxPushTransferTime limits the part of a push's timeout that depends on its size. The daemons
	// below a failed daemon wait that long until its sender pushes to them instead.
	maxPushTransferTime = 5 * time.Second
	// maxRootPushes limits the concurrent pushes of one root. It is above 1 so that a daemon that
	// does not answer does not delay the next batch, and limited so that a burst does not pile up
	// behind such a daemon.
	maxRootPushes = 8
)

// pushLoop pushes newly applied records in this daemon's availability zone.
func (s *Spreader) pushLoop() error {
	for s.pushWake.Wait(s.ctx) {
		for s.ctx.Err() == nil && s.pushesRecords() && s.history.offset() > s.lastPushedOffset() {
			s.pushNextBatch()
		}
	}
	return nil
}

// pushNextBatch pushes one batch, or leaves it to the roots of the zone if this daemon is not one
// of them.
func (s *Spreader) pushNextBatch() {
	rank, ok := s.rootRank()
	if !ok {
		s.raisePushedOffset(s.history.offset())
		return
	}
	if s.waitTurn(rank) {
		s.raisePushedOffset(s.pushZone(s.lastPushedOffset()))
		s.sleep(s.opts.Debounce)
	}
}

// rootRank returns this daemon's position among the roots of its availability zone, 0 first; ok is
// false if it is not a root. A daemon that is not a reader but has to push comes after all readers.
func (s *Spreader) rootRank() (rank int, ok bool) {
	if topo := s.topology.Load(); topo != nil && topo.rank != notRanked {
		return topo.rank, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.ReadersPerZone, s.deputy || s.assignedOffset > s.pushedOffset
}

func (s *Spreader) lastPushedOffset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pushedOffset
}

func (s *Spreader) raisePushedOffset(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushedOffset = max(s.pushedOffset, offset)
}

// waitTurn waits for the roots ranked before this one to push, and reports whether the daemon is
// still running.
func (s *Spreader) waitTurn(rank int) bool {
	if s.opts.Redundancy == RedundancyEager {
		rank = 0
	}
	return s.sleep(time.Duration(rank) * s.opts.BackupDelay)
}

// pushZone pushes the records that follow an offset along this daemon's tree and returns the offset
// up to which it pushed.
func (s *Spreader) pushZone(from uint64) uint64 {
	topo := s.topology.Load()
	if topo == nil {
		return s.history.offset()
	}
	b, ok := s.history.after(from, maxBatchBytes)
	if !ok {
		// More records arrived at once than the history holds; the receivers pull the whole state.
		return s.pushDigest(topo)
	}
	switch s.contentFor(b.end()) {
	case sendNothing:
		return b.end()
	case sendDigest:
		return s.pushDigest(topo)
	}
	m := &peerpb.Push{Base: b.base, BaseChain: b.chain[:], Root: s.opts.Host, Source: encodeAddr(topo.self)}
	m.Records, m.Packed = s.encodeBatch(b, false)
	s.startTreePush(m, topo.tree)
	return b.end()
}

// encodeBatch returns the records of a batch as they are sent: packed if the batch is large enough,
// plain otherwise. alone packs the first record without a dictionary.
func (s *Spreader) encodeBatch(b batch, alone bool) ([]*configpb.SequencedRecord, []*peerpb.PackedRecord) {
	if b.bytes() < minPackBytes {
		return b.records, nil
	}
	packed, err := s.history.pack(b, alone)
	if err != nil {
		s.opts.Logger.Error("spread: records not packed", "base", b.base, "error", err)
		return b.records, nil
	}
	return nil, packed
}

// isDigest reports whether a push holds an offset but no records.
func isDigest(m *peerpb.Push) bool { return len(m.GetRecords()) == 0 && len(m.GetPacked()) == 0 }

// startTreePush starts a push along this daemon's tree. It blocks while maxRootPushes pushes are in
// progress.
func (s *Spreader) startTreePush(m *peerpb.Push, tree []netip.AddrPort) {
	select {
	case s.pushSem <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	s.t.Go(func() error {
		defer func() { <-s.pushSem }()
		s.pushTree(m, tree)
		return nil
	})
}

// pushContent is what a root sends along its tree.
type pushContent uint8

const (
	sendRecords pushContent = iota
	sendDigest
	sendNothing
)

// contentFor returns what this root sends for records up to an offset.
func (s *Spreader) contentFor(end uint64) pushContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.opts.Redundancy == RedundancyEager:
		return sendRecords
	case s.coveredOffset >= end && s.opts.Redundancy == RedundancyNone:
		return sendNothing
	case s.coveredOffset >= end, s.maxPeerOffset >= end:
		// Most daemons have the records already: a reader that catches up after its start must not
		// send records that the fleet already has.
		return sendDigest
	}
	return sendRecords
}

// pushDigest sends the current offset along this daemon's tree and returns it.
func (s *Spreader) pushDigest(topo *topology) uint64 {
	m := s.newDigest(topo)
	s.startTreePush(m, topo.tree)
	return m.GetBase()
}

// newDigest returns a push of the current offset without records.
func (s *Spreader) newDigest(topo *topology) *peerpb.Push {
	return &peerpb.Push{Base: s.history.offset(), Root: s.opts.Host, Source: encodeAddr(topo.self)}
}

// isCovered reports whether another root of this availability zone has pushed the records up to an
// offset.
func (s *Spreader) isCovered(offset uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coveredOffset >= offset
}

// pushTree sends m to all targets through daemons that relay it, and returns when each target has
// been reached or given up.
func (s *Spreader) pushTree(m *peerpb.Push, targets []netip.AddrPort) {
	var wg sync.WaitGroup
	for _, part := range split(targets, s.opts.FanOut) {
		wg.Go(func() { s.pushPart(m, part) })
	}
	wg.Wait()
}

// pushPart sends m to the first daemon of a part, which relays it to the rest. If the first does
// not acknowledge, this daemon pushes to the rest itself, so that a failed daemon does not cut off
// the daemons below it.
func (s *Spreader) pushPart(m *peerpb.Push, part []netip.AddrPort) {
	err := s.pushOne(m, part[0], part[1:])
	if err == nil || s.ctx.Err() != nil {
		return
	}
	var wg sync.WaitGroup
	if !errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, errDiverged) {
		// The session may have failed while the daemon is alive; retry over a new session.
		wg.Go(func() { _ = s.pushOne(m, part[0], nil) })
	}
	s.pushTree(m, part[1:])
	wg.Wait()
}

// pushTimeout returns how long to wait for the acknowledgment of m. It grows with the size of m
// because the copies sent to FanOut daemons share this host's link. With a fixed timeout, a push of
// 200 kB would time out at every daemon on links of 5 Mbit/s, and the records would be pushed and
// pulled again over the same links: 21 hosts then receive a version after 4.2 to 5.2 s instead of
// 1.3 to 1.4 s.
func (s *Spreader) pushTimeout(m *peerpb.Push) time.Duration {
	bytes := time.Duration(proto.Size(m) * s.opts.FanOut)
	return s.opts.PushTimeout + min(bytes*time.Second/pushBytesPerSecond, maxPushTransferTime)
}

// pushOne sends m to one daemon, which is to relay it to the daemons below, and waits for the
// acknowledgment.
func (s *Spreader) pushOne(m *peerpb.Push, addr netip.AddrPort, below []netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.pushTimeout(m))
	defer cancel()
	ack, err := s.opts.Peers.Push(ctx, addr, &peerpb.Push{
		Base: m.GetBase(), BaseChain: m.GetBaseChain(), Records: m.GetRecords(),
		Root: m.GetRoot(), Depth: m.GetDepth() + 1, Targets: encodeAddrs(below),
		Source: m.GetSource(), Handoff: m.GetHandoff(), Packed: m.GetPacked(),
	})
	if err == nil && ack.GetDiverged() {
		err = errDiverged
	}
	s.opts.Meter.Pushed(isDigest(m), err)
	return err
}

// handoffLoop announces the offsets that this daemon read from the log to other availability zones.
func (s *Spreader) handoffLoop() error {
	announced := uint64(0)
	for s.handoffWake.Wait(s.ctx) {
		s.mu.Lock()
		logOffset := s.logOffset
		s.mu.Unlock()
		if logOffset <= announced || !s.pushesRecords() {
			continue
		}
		if !s.sleep(s.opts.BackupDelay) {
			return nil
		}
		announced = logOffset
		topo := s.topology.Load()
		if topo == nil || topo.rank != 0 && s.isCovered(logOffset) {
			// The root that covered this zone does the handoff.
			continue
		}
		s.handoff(topo)
	}
	return nil
}

// handoff sends the current offset to one daemon of each other availability zone, which then pushes
// in its zone.
func (s *Spreader) handoff(topo *topology) {
	m := s.newDigest(topo)
	m.Handoff = true
	var wg sync.WaitGroup
	for _, zone := range topo.zones {
		wg.Go(func() {
			for _, addr := range zone[:min(maxHandoffTargets, len(zone))] {
				if s.pushOne(m, addr, nil) == nil {
					return
				}
			}
		})
	}
	wg.Wait()
}

// raiseAssignedOffset makes this daemon push up to an offset in its availability zone although it
// may not be a reader.
func (s *Spreader) raiseAssignedOffset(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignedOffset = max(s.assignedOffset, offset)
}
