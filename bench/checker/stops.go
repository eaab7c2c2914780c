package checker

import (
	"slices"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// stops checks backend servers that leave and hosts that are stopped on purpose.
func (c *check) stops() {
	for _, l := range c.Leaves {
		c.left(l)
	}
	for _, s := range c.Stops {
		c.failedBy(s)
		c.cutBy(s)
	}
}

// left finds work that began after the server had left.
func (c *check) left(l Leave) {
	for i := range c.Executions {
		e := &c.Executions[i]
		after := e.Server == l.Server && e.Start.After(l.At.Add(LeaveBound))
		if after && (l.Back.IsZero() || e.Start.Before(l.Back)) {
			c.report(NewWork, e.Start, "server "+l.Server, "request %s began %s after the server had left", e.RequestID, e.Start.Sub(l.At))
		}
	}
}

// failedBy finds the calls that did not end well during a planned stop.
func (c *check) failedBy(s Stop) {
	for i := range c.Calls {
		call := &c.Calls[i]
		if end(call).Before(s.From) || end(call).After(s.To) {
			continue
		}
		if call.Verdict != caller.OK {
			c.report(CutOff, end(call), "request "+call.RequestID, "%s %s ended as %s (%s) during a planned stop: %s",
				call.Method, call.Path, call.Verdict, call.Kind, call.Error)
			continue
		}
		for n, t := range call.Log {
			if t.Verdict == caller.Unknown && !refusal(t.Kind) && !t.End.Before(s.From) {
				c.report(CutOff, t.End, "request "+call.RequestID, "try %d at %s was cut off (%s) by a planned stop: %s", n+1, t.Target, t.Kind, t.Error)
			}
		}
	}
}

// refusal reports whether a daemon turns a request away by an error kind before
// it does anything. Under a key it cannot say that the call has not run, since an
// earlier try may have; this one was not cut off.
func refusal(k errkind.Kind) bool {
	switch k {
	case errkind.RateLimited, errkind.ConcurrencyLimit, errkind.NotReady, errkind.Overloaded, errkind.Draining:
		return true
	}
	return false
}

// cutBy finds the executions that did not end well on the hosts that stop.
func (c *check) cutBy(s Stop) {
	for i := range c.Executions {
		e := &c.Executions[i]
		if !slices.Contains(s.Hosts, e.Server) || e.Outcome == backendserver.Completed || e.Start.After(s.To) {
			continue
		}
		if e.End.IsZero() || e.End.After(s.From) {
			c.report(CutOff, e.Start, "request "+e.RequestID, "%s on %s ended as %q in a planned stop", e.Path, place(e), e.Outcome)
		}
	}
}
