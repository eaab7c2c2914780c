package inbound

import (
	"slices"
	"sync"

	"github.com/crocuscross/crocuscross/quarantine"
)

// runs are the calls that one life of a backend server works on, so that it can be told
// which of them it ended under.
type runs struct {
	mu      sync.Mutex
	running map[*call]struct{}
	// ending is the question whether the server has ended, nil where nobody asks or it has
	// not. A server that has ended does so once.
	ending *ending
}

// ending is the end of a server, or of a connection alone, under its calls.
type ending struct {
	// asked is closed once gone is known.
	asked chan struct{}
	gone  bool
	// under are the calls that ran when the first of them broke off.
	under []*call
}

func (r *runs) begin(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[*call]struct{})
	}
	r.running[c] = struct{}{}
}

func (r *runs) end(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, c)
}

// brokeOff finds out whether the server has ended, after a call's exchange with it broke
// off. All calls that break off meanwhile, or later where it has ended, share one question,
// of which first reports whether it was this call's.
func (r *runs) brokeOff(gone func() bool) (e *ending, first bool) {
	r.mu.Lock()
	e = r.ending
	first = e == nil
	if first {
		e = &ending{asked: make(chan struct{})}
		for c := range r.running {
			e.under = append(e.under, c)
		}
		r.ending = e
	}
	r.mu.Unlock()
	if !first {
		<-e.asked
		return e, false
	}
	e.gone = gone()
	if !e.gone {
		r.mu.Lock()
		r.ending = nil
		r.mu.Unlock()
	}
	close(e.asked)
	return e, true
}

// identities returns the identities of the calls under which the server ended, the latest
// call last.
func (e *ending) identities() []quarantine.Identity {
	slices.SortFunc(e.under, func(a, b *call) int { return a.start.Compare(b.start) })
	ids := make([]quarantine.Identity, 0, len(e.under))
	for _, c := range e.under {
		if !c.identity.IsZero() && !slices.Contains(ids, c.identity) {
			ids = append(ids, c.identity)
		}
	}
	return ids
}

// quarantined is the refusal of a call that would end the server.
func (c *call) quarantined() error {
	if left := c.h.opts.Quarantine.QuarantinedFor(c.identity); left > 0 {
		return quarantine.Refusal(left)
	}
	return nil
}

// noteEnding looks whether the server has ended where the call's exchange with it broke
// off, and tells of it once for all calls that were in progress. It reports whether it has:
// a server that said that it leaves may end.
func (c *call) noteEnding() bool {
	e, first := c.site.runs.brokeOff(c.site.client.ServerExited)
	if !e.gone || c.leaving() {
		return false
	}
	if first {
		ids := e.identities()
		c.h.logEnding(c.site, e)
		c.h.opts.Quarantine.RecordCrash(ids)
	}
	return true
}

// leaving reports whether the server has said that it leaves.
func (c *call) leaving() bool {
	local := c.h.opts.Local.Load()
	return local == nil || local.Draining || !c.site.serves(local)
}

// logEnding tells what a server that ended was working on. What is in all such lines of
// one time is what ends servers.
func (h *Handler) logEnding(s *site, e *ending) {
	h.opts.Logger.Warn("inbound: backend server ended under its calls", "server", s.id, "calls", len(e.under))
	for _, c := range e.under {
		h.opts.Logger.Info("inbound: call under which a backend server ended", "server", s.id,
			"request", c.head.GetRequestId(), "identity", c.identity.String(), "method", c.head.GetMethod(),
			"virtual_host", c.head.GetAuthority(), "target", c.head.GetTarget(), "from", c.head.GetSenderHost())
	}
}
