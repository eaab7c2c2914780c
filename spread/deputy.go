package spread

import (
	"context"
	"time"

	"github.com/crocuscross/crocuscross/peerpb"
)

// readRequestInterval is the average time between two requests of a reader that the log does not
// serve. If the log serves two thirds of the hosts, and takes 1.25 s to show that it does not serve a
// deputy, the first few requests are enough for a version to be in force within the 7 s in which it has to
// be while the log serves only a part of the hosts. While it serves none, each reader causes no more
// calls than by its own attempts.
const readRequestInterval = 1250 * time.Millisecond

// deputyLoop asks other daemons to read the log while this one is a reader and its reads fail.
func (s *Spreader) deputyLoop() error {
	for s.deputyWake.Wait(s.ctx) {
		for s.needsDeputy() {
			s.requestRead()
			if !s.sleep(s.jitterAround(readRequestInterval)) {
				return nil
			}
		}
	}
	return nil
}

// needsDeputy reports whether this daemon is to read the log for its availability zone and the last
// read failed.
func (s *Spreader) needsDeputy() bool {
	return s.ctx.Err() == nil && s.opts.Mode != ModeDirect && s.readsLog() && s.Status().LogError != ""
}

// requestRead asks a random daemon of this availability zone that is not a reader to read the log. Which of
// them the log serves is not known.
func (s *Spreader) requestRead() {
	topo := s.topology.Load()
	if topo == nil || len(topo.deputies) == 0 {
		return
	}
	addr := topo.deputies[int(s.opts.Rand()*float64(len(topo.deputies)))]
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.PushTimeout)
	defer cancel()
	m := &peerpb.Push{Base: s.history.offset(), Root: s.opts.Host, Source: encodeAddr(topo.self), ReadLog: true}
	if _, err := s.opts.Peers.Push(ctx, addr, m); err != nil {
		s.opts.Logger.Debug("spread: deputy not reached", "peer", addr, "error", err)
	}
}

// serveReadRequest reads the log in place of a reader that it does not serve, and pushes what is new in
// this availability zone. It acknowledges first: the sender asks another daemon soon anyway.
func (s *Spreader) serveReadRequest(m *peerpb.Push, reply func(*peerpb.PushAck) error) error {
	before := s.history.offset()
	if err := reply(&peerpb.PushAck{Offset: before}); err != nil {
		return err
	}
	if s.readsLog() || s.State() == nil {
		return nil
	}
	select {
	case s.deputySem <- struct{}{}:
		defer func() { <-s.deputySem }()
	default:
		return nil
	}
	s.setDeputy(true)
	err := s.readToEnd()
	offset := s.history.offset()
	s.raiseAssignedOffset(offset)
	s.setDeputy(false)
	switch {
	case err != nil:
		s.opts.Logger.Debug("spread: read for another daemon failed", "reader", m.GetRoot(), "error", err)
	case offset > before:
		s.opts.Logger.Info("spread: log read for another daemon", "reader", m.GetRoot(), "from", before, "to", offset)
	}
	return nil
}

// setDeputy makes this daemon push what it reads, or no longer.
func (s *Spreader) setDeputy(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deputy = on
}
