// Package explain extracts the lines of a request from the logs of several daemons, sorts them by
// cause and effect, and describes how the request ended.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLineBytes is the maximum length of a log line. A longer line is an error.
const maxLineBytes = 1 << 20

// Line is a log line about a request, or about one of its attempts.
type Line struct {
	// Host is the host of the daemon that wrote the line.
	Host string `json:"host"`
	// Message begins with the part of the daemon that wrote the line: "outbound:" at the daemon
	// that received the request from its caller, "inbound:" at the gate that an attempt was sent
	// to.
	Message string `json:"msg"`
	// Request is the ID of the request.
	Request string `json:"request"`
	// To is the host that an attempt was sent to. Lines of outbound have it.
	To string `json:"to"`
	// Attempt is the number of the attempt, starting at 1.
	Attempt int `json:"attempt"`
	// Kind is the kind of the error, empty if there was none.
	Kind  string `json:"kind"`
	Error string `json:"error"`
	// Reason is why a failed attempt was retried or not.
	Reason string `json:"reason"`
	// Status is the HTTP status of the backend server's response.
	Status int `json:"status"`
	// Refusals and Attempts are totals of the request: the attempts that gates refused, and all
	// attempts.
	Refusals int    `json:"refusals"`
	Attempts int    `json:"attempts"`
	Service  string `json:"service"`
	// Nested is whether the call was made by a service that was processing another request.
	// PossibleParents holds the IDs of the requests that it may have been processing.
	Nested          bool     `json:"nested"`
	PossibleParents []string `json:"made_for"`
	// Raw is the JSON of the line as it was written.
	Raw string `json:"-"`
}

// fromGate reports whether the line was written by the gate that an attempt was sent to.
func (l Line) fromGate() bool { return strings.HasPrefix(l.Message, "inbound:") }

// finalMessages are the messages of the line that is logged at the end of a request.
var finalMessages = []string{"outbound: request ended", "outbound: request not admitted", "outbound: request not begun"}

// isFinal reports whether the line was logged at the end of its request.
func (l Line) isFinal() bool {
	return slices.Contains(finalMessages, l.Message)
}

// concerns reports whether the line is about the request, or about a nested call that may have been
// made while the request was processed.
func (l Line) concerns(request string) bool {
	return l.Request == request || slices.Contains(l.PossibleParents, request)
}

// Read returns the lines of a log about a request, and about the nested calls that may have been
// made while it was processed, in the order of the log. Text before the JSON of a line, such as the
// timestamp of another program, is skipped, and so are lines without valid JSON.
func Read(r io.Reader, request string) ([]Line, error) {
	var lines []Line
	err := scan(r, func(text string) bool { return strings.Contains(text, request) }, func(l Line) {
		if l.concerns(request) {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// scan calls handle with each log line whose text satisfies mayMatch. mayMatch avoids decoding most
// of the other lines.
func scan(r io.Reader, mayMatch func(text string) bool, handle func(Line)) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for in.Scan() {
		text := in.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !mayMatch(text) {
			continue
		}
		var l Line
		if json.Unmarshal([]byte(text[start:]), &l) != nil {
			continue
		}
		l.Raw = text[start:]
		handle(l)
	}
	return in.Err()
}

// Split separates the lines about a request from those about the nested calls that may have been
// made while it was processed.
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

// Order sorts the lines of one request, from any number of logs, by cause and effect. It ignores
// timestamps, because the clocks of hosts differ: the lines of a gate about an attempt precede the
// line that the sending daemon logged at the end of the attempt. Lines of the same daemon keep
// their order.
func Order(lines []Line) []Line {
	var ordered, gateLines []Line
	for _, l := range lines {
		if l.fromGate() {
			gateLines = append(gateLines, l)
		}
	}
	appendMatching := func(match func(Line) bool) {
		remaining := gateLines[:0]
		for _, g := range gateLines {
			if match(g) {
				ordered = append(ordered, g)
			} else {
				remaining = append(remaining, g)
			}
		}
		gateLines = remaining
	}
	for _, l := range lines {
		switch {
		case l.fromGate():
			continue
		case l.isFinal():
			appendMatching(func(Line) bool { return true })
		default:
			appendMatching(func(g Line) bool { return g.Host == l.To && g.Attempt == l.Attempt })
		}
		ordered = append(ordered, l)
	}
	return append(ordered, gateLines...)
}

// kindDescriptions describes the cause of each error kind for people. "It" is the request.
var kindDescriptions = map[string]string{
	"no_route":          "no route of the configuration document in force matches its host and path",
	"not_ready":         "the daemon had no configuration in force yet",
	"no_backend":        "the daemon knew of no backend server that accepts calls of the service",
	"overloaded":        "the queues of the backend servers were too long for its latency objective; it has not run",
	"shed":              "the backend servers themselves rejected it; it has not run",
	"draining":          "the backend servers that were tried are draining; it has not run",
	"unreachable":       "the backend servers that were tried could not be reached; it has not run",
	"deadline_not_run":  "too little time was left to run it",
	"deadline_exceeded": "its deadline or the timeout of its route passed before the response arrived",
	"outcome_unknown":   "the connection to the backend server's host broke, and it is unknown whether it ran",
	"backend_failed":    "the backend server aborted its response, or sent none that can be forwarded",
	"canceled":          "the caller disconnected before the response",
	"bad_request":       "the request is invalid",
	"too_large":         "the request body is larger than the limit",
}

// FailedCalls describes each failed call among the nested calls that may have been made while a
// request was processed. A request fails if a nested call that it needs fails, and its response does
// not show that cause.
func FailedCalls(calls []Line) []string {
	var failed []string
	for _, l := range calls {
		if !l.isFinal() || l.Kind == "" {
			continue
		}
		failed = append(failed, fmt.Sprintf("A nested call that it may have made, %s to %s, ended as %s at %s: %s. The call may also belong to %d other requests.",
			l.Request, l.Service, l.Kind, l.Host, describeKind(l), len(l.PossibleParents)-1))
	}
	return failed
}

// describeKind describes the error kind of a line. For a kind without a description it returns the
// error of the line.
func describeKind(l Line) string {
	if description, ok := kindDescriptions[l.Kind]; ok {
		return description
	}
	return l.Error
}

// Verdict describes in one sentence how a request ended, given its lines as sorted by Order.
func Verdict(lines []Line) string {
	for _, l := range lines {
		if !l.isFinal() {
			continue
		}
		if l.Kind == "" {
			return fmt.Sprintf("The backend server on %s responded with status %d after %d attempts, %d of them refused by gates.",
				l.To, l.Status, l.Attempts, l.Refusals)
		}
		return fmt.Sprintf("Ended as %s at %s after %d attempts, %d of them refused by gates: %s.", l.Kind, l.Host, l.Attempts, l.Refusals, describeKind(l))
	}
	if len(lines) == 0 {
		return "No line is about the request: it may have succeeded without being logged, or the log of its daemon is missing."
	}
	return "The end of the request is not told: the log of the daemon that received it is missing, or that daemon stopped before the end."
}
