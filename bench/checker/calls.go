package checker

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/standin/backendserver"
	"github.com/crocuscross/crocuscross/internal/standin/caller"
)

// runs finds executions.
type runs struct {
	byRequest map[string][]*backendserver.Execution
	byKey     map[string][]*backendserver.Execution
}

func (c *check) index() {
	c.runs = runs{map[string][]*backendserver.Execution{}, map[string][]*backendserver.Execution{}}
	for i := range c.Executions {
		e := &c.Executions[i]
		c.runs.byRequest[e.RequestID] = append(c.runs.byRequest[e.RequestID], e)
		if e.IdempotencyKey != "" && nonIdempotent(e.Method) {
			c.runs.byKey[e.IdempotencyKey] = append(c.runs.byKey[e.IdempotencyKey], e)
		}
	}
}

func nonIdempotent(method string) bool {
	return method == http.MethodPost || method == http.MethodPatch
}

func (c *check) calls() {
	c.doubles()
	for i := range c.Calls {
		call := &c.Calls[i]
		c.answer(call)
		c.promises(call)
		c.dangling(call)
	}
	c.misrouted()
}

// doubles goes by executions alone: whatever callers were told, a second one is
// a breach.
func (c *check) doubles() {
	for id, list := range c.runs.byRequest {
		if len(list) > 1 && id != "" && nonIdempotent(list[0].Method) {
			c.double("request "+id, list)
		}
	}
	for key, list := range c.runs.byKey {
		if len(list) > 1 {
			c.double("key "+key, list)
		}
	}
}

func (c *check) double(subject string, list []*backendserver.Execution) {
	slices.SortFunc(list, func(a, b *backendserver.Execution) int { return a.Start.Compare(b.Start) })
	var places []string
	for _, e := range list {
		places = append(places, place(e))
	}
	c.report(Double, list[1].Start, subject, "%s ran %d times: %s", list[0].Path, len(list), strings.Join(places, ", "))
}

func place(e *backendserver.Execution) string {
	return e.Server + " at " + e.Start.Format("15:04:05.000")
}

// answer checks what a caller took for its answer.
func (c *check) answer(call *caller.Call) {
	switch call.Verdict {
	case caller.Wrong:
		c.report(WrongAnswer, end(call), "request "+call.RequestID, "%s %s from %s: %s", call.Method, call.Path, call.Target, call.Error)
	case caller.OK:
		if !c.ran(call) {
			c.report(Lost, end(call), "request "+call.RequestID, "%s %s was answered by %s and never ran", call.Method, call.Path, call.Target)
		}
	}
}

// ran reports whether the execution behind a good answer is on record. Under a
// key it may be that of an earlier try, whose answer was kept.
func (c *check) ran(call *caller.Call) bool {
	for _, e := range c.runs.byRequest[call.RequestID] {
		if call.IdempotencyKey != "" || e.Try == call.Tries {
			return true
		}
	}
	return false
}

// promises checks each try that was told "not run". Under a key the promise is
// about the key, so it covers the tries before as well.
func (c *check) promises(call *caller.Call) {
	for i, t := range call.Log {
		n := i + 1
		refused := t.Run == errkind.NotRun && t.Verdict == caller.Refused
		if !refused && t.Verdict != caller.NotSent {
			continue
		}
		for _, e := range c.runs.byRequest[call.RequestID] {
			if e.Try == n || refused && call.IdempotencyKey != "" && e.Try < n {
				c.report(RanAfterAll, t.End, "request "+call.RequestID, "try %d at %s was told %s (%s), try %d ran on %s",
					n, t.Target, t.Verdict, t.Kind, e.Try, place(e))
			}
		}
	}
}

func end(call *caller.Call) time.Time { return call.Start.Add(call.Latency) }

// dangling checks the calls to routes that were never without a target.
func (c *check) dangling(call *caller.Call) {
	for _, r := range c.Routes {
		if !r.Unbroken || !strings.HasPrefix(call.Path, r.Prefix) {
			continue
		}
		for _, t := range call.Log {
			nothing := t.Kind == errkind.NoRoute || t.Kind == errkind.NoBackend
			if nothing && t.Start.After(r.From) && t.End.Before(r.To) {
				c.report(Dangling, t.End, "route "+r.Prefix+" at "+t.Target, "%s for request %s: %s", t.Kind, call.RequestID, t.Error)
			}
		}
	}
}

func (c *check) misrouted() {
	for i := range c.Executions {
		e := &c.Executions[i]
		for _, r := range c.Routes {
			if strings.HasPrefix(e.Path, r.Prefix) && !slices.Contains(r.Services, c.Services[e.Server]) {
				c.report(Misrouted, e.Start, "request "+e.RequestID, "%s ran on %s of service %q", e.Path, place(e), c.Services[e.Server])
			}
		}
	}
}
