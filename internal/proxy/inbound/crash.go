package inbound

import (
	"slices"
	"sync"

	"github.com/crocuscross/crocuscross/quarantine"
)

// runningCalls tracks the calls that one instance of a backend server is running, so that the
// calls in progress are known when the server exits.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*call]struct{}
	// check determines whether the server has exited. It is nil if no check is in progress and
	// the server has not exited. The check that finds that the server has exited stays.
	check *exitCheck
}

// exitCheck checks whether a server has exited, or only lost a connection, after a call failed.
type exitCheck struct {
	// done is closed when exited is set.
	done   chan struct{}
	exited bool
	// inProgress are the calls that were running when the first of them failed.
	inProgress []*call
}

func (r *runningCalls) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = make(map[*call]struct{})
	}
	r.calls[c] = struct{}{}
}

func (r *runningCalls) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// checkExit checks whether the server has exited, after a call's exchange with it failed. All
// calls that fail during the check share it, and so do later ones if the server has exited.
// first reports whether this call started the check.
func (r *runningCalls) checkExit(serverExited func() bool) (e *exitCheck, first bool) {
	r.mu.Lock()
	e = r.check
	first = e == nil
	if first {
		e = &exitCheck{done: make(chan struct{})}
		for c := range r.calls {
			e.inProgress = append(e.inProgress, c)
		}
		r.check = e
	}
	r.mu.Unlock()
	if !first {
		<-e.done
		return e, false
	}
	e.exited = serverExited()
	if !e.exited {
		r.mu.Lock()
		r.check = nil
		r.mu.Unlock()
	}
	close(e.done)
	return e, true
}

// identities returns the identities of the calls in progress without duplicates, the most
// recent call last.
func (e *exitCheck) identities() []quarantine.Identity {
	slices.SortFunc(e.inProgress, func(a, b *call) int { return a.start.Compare(b.start) })
	ids := make([]quarantine.Identity, 0, len(e.inProgress))
	for _, c := range e.inProgress {
		if !c.identity.IsZero() && !slices.Contains(ids, c.identity) {
			ids = append(ids, c.identity)
		}
	}
	return ids
}

// checkQuarantine returns the rejection of a request that is quarantined, or nil.
func (c *call) checkQuarantine() error {
	if left := c.h.opts.Quarantine.QuarantinedFor(c.identity); left > 0 {
		return quarantine.Refusal(left)
	}
	return nil
}

// detectCrash checks whether the server has exited after the call's exchange with it failed,
// and records a crash once for all calls in progress. It reports whether the server has
// crashed. An exit that the server has announced is not a crash.
func (c *call) detectCrash() bool {
	e, first := c.instance.running.checkExit(c.instance.client.ServerExited)
	if !e.exited || c.serverLeaving() {
		return false
	}
	if first {
		ids := e.identities()
		c.h.logCrash(c.instance, e)
		c.h.opts.Quarantine.RecordCrash(ids)
	}
	return true
}

// serverLeaving reports whether the server has announced its exit, or is no longer the
// announced instance.
func (c *call) serverLeaving() bool {
	local := c.h.opts.Local.Load()
	return local == nil || local.Draining || !c.instance.matches(local)
}

// logCrash logs the calls that a server was running when it exited. A request that appears in
// the lines of several exits is a likely cause.
func (h *Handler) logCrash(s *serverInstance, e *exitCheck) {
	h.opts.Logger.Warn("inbound: backend server ended under its calls", "server", s.id, "calls", len(e.inProgress))
	for _, c := range e.inProgress {
		h.opts.Logger.Info("inbound: call under which a backend server ended", "server", s.id,
			"request", c.head.GetRequestId(), "identity", c.identity.String(), "method", c.head.GetMethod(),
			"virtual_host", c.head.GetAuthority(), "target", c.head.GetTarget(), "from", c.head.GetSenderHost())
	}
}
