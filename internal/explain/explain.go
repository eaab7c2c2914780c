// Package explain finds what became of one request in the logs of several daemons and
// puts the lines in the order in which things happened.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLineBytes bounds a line that is looked at.
const maxLineBytes = 1 << 20

// Line is one log line of a request.
type Line struct {
	// Host of the daemon that wrote it.
	Host string `json:"host"`
	// Message begins with the part of the daemon that wrote it.
	Message string `json:"msg"`
	Request string `json:"request"`
	// To is the host that an attempt went to, set by outbound.
	To string `json:"to"`
	// Attempt is the attempt's number, from 1.
	Attempt int    `json:"attempt"`
	Kind    string `json:"kind"`
	Error   string `json:"error"`
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	// Refusals and Attempts are counted over the whole request.
	Refusals int    `json:"refusals"`
	Attempts int    `json:"attempts"`
	Service  string `json:"service"`
	// Nested is whether a service made the call for a request that it worked on, MadeFor the
	// requests of which one may be that.
	Nested  bool     `json:"nested"`
	MadeFor []string `json:"made_for"`
	// Raw is the line as it was written.
	Raw string `json:"-"`
}

func (l Line) inbound() bool { return strings.HasPrefix(l.Message, "inbound:") }

// ends are the messages of the last line of a request.
var ends = []string{"outbound: request ended", "outbound: request not admitted", "outbound: request not begun"}

// ended reports whether the line is the last of its request.
func (l Line) ended() bool {
	return slices.Contains(ends, l.Message)
}

// of reports whether the line is of a request, or of a call that its run may have made.
func (l Line) of(request string) bool {
	return l.Request == request || slices.Contains(l.MadeFor, request)
}

// Read returns the lines of a request in a log, and of the calls that its run may have
// made, in the order of the log. Text before the JSON of a line, such as another program's
// time stamp, is passed over, and so are lines that are no JSON.
func Read(r io.Reader, request string) ([]Line, error) {
	var lines []Line
	err := scan(r, func(text string) bool { return strings.Contains(text, request) }, func(l Line) {
		if l.of(request) {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// scan passes on the log lines whose text may be of interest.
func scan(r io.Reader, may func(text string) bool, take func(Line)) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for in.Scan() {
		text := in.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !may(text) {
			continue
		}
		var l Line
		if json.Unmarshal([]byte(text[start:]), &l) != nil {
			continue
		}
		l.Raw = text[start:]
		take(l)
	}
	return in.Err()
}

// Split parts the lines of a request from those of calls that its run may have made.
func Split(request string, lines []Line) (own, calls []Line) {
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		} else {
			calls = append(calls, l)
		}
	}
	return own, calls
}

// Order puts lines of one request, of any number of logs, in the order in which things
// happened. Wall clocks of hosts differ, so times do not count: what a gate wrote of an
// attempt comes before what the daemon that made it wrote of its end. Lines of one
// daemon keep their order.
func Order(lines []Line) []Line {
	var ordered, gate []Line
	for _, l := range lines {
		if l.inbound() {
			gate = append(gate, l)
		}
	}
	take := func(match func(Line) bool) {
		kept := gate[:0]
		for _, g := range gate {
			if match(g) {
				ordered = append(ordered, g)
			} else {
				kept = append(kept, g)
			}
		}
		gate = kept
	}
	for _, l := range lines {
		switch {
		case l.inbound():
			continue
		case l.ended():
			take(func(Line) bool { return true })
		default:
			take(func(g Line) bool { return g.Host == l.To && g.Attempt == l.Attempt })
		}
		ordered = append(ordered, l)
	}
	return append(ordered, gate...)
}

// meanings tells what decided a request that ended with a kind, for people.
var meanings = map[string]string{
	"no_route":          "no route of the document in force matches its host and path",
	"not_ready":         "the daemon had no configuration in force yet",
	"no_backend":        "the daemon knew of no backend server that takes calls of the service",
	"overloaded":        "the queues of the backend servers were too long for its latency objective; it has not run",
	"shed":              "the backend servers turned it away themselves; it has not run",
	"draining":          "the backend servers that were tried leave; it has not run",
	"unreachable":       "the backend servers that were tried could not be reached; it has not run",
	"deadline_not_run":  "too little time was left to run it",
	"deadline_exceeded": "its time, or its route's timeout, was over before the answer came",
	"outcome_unknown":   "the link to the backend server's host broke, and nobody can tell whether it ran",
	"backend_failed":    "the backend server broke off, or gave no answer that can be passed on",
	"canceled":          "the caller went away before the answer",
	"bad_request":       "the caller's request cannot be served as it is",
	"too_large":         "the caller's body is larger than allowed",
}

// FailedCalls says of each call that a run may have made and that failed what became of it.
// A run fails with a call that it needs, and its answer does not tell.
func FailedCalls(calls []Line) []string {
	var lost []string
	for _, l := range calls {
		if !l.ended() || l.Kind == "" {
			continue
		}
		lost = append(lost, fmt.Sprintf("A call that its run may have made, %s to %s, ended as %s at %s: %s. It may also be of %d other requests.",
			l.Request, l.Service, l.Kind, l.Host, meaningOf(l), len(l.MadeFor)-1))
	}
	return lost
}

func meaningOf(l Line) string {
	if meaning, ok := meanings[l.Kind]; ok {
		return meaning
	}
	return l.Error
}

// Verdict says in a sentence what decided a request, from its ordered lines.
func Verdict(lines []Line) string {
	for _, l := range lines {
		if !l.ended() {
			continue
		}
		if l.Kind == "" {
			return fmt.Sprintf("Answered by the backend server on %s with status %d, after %d attempts, %d of them refused by gates.",
				l.To, l.Status, l.Attempts, l.Refusals)
		}
		return fmt.Sprintf("Ended as %s at %s after %d attempts, %d of them refused by gates: %s.", l.Kind, l.Host, l.Attempts, l.Refusals, meaningOf(l))
	}
	if len(lines) == 0 {
		return "No line tells of the request: it may have gone well among many, or the log of its daemon is missing."
	}
	return "The end of the request is not told: the log of the daemon that took it is missing, or that daemon ended."
}
