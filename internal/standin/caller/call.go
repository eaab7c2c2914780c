package caller

import (
	"net/http"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
)

// Verdict is what a caller knows of a call in the end.
type Verdict string

// The verdicts.
const (
	// OK is the whole answer to the call itself.
	OK Verdict = "ok"
	// Wrong is an answer that looks whole and is not, or belongs to another
	// call. There must be none.
	Wrong Verdict = "wrong"
	// BackendError is a status of the backend server's own, 4xx or 5xx.
	BackendError Verdict = "backend_error"
	// Refused is an error with the promise that the call has not run and never
	// will.
	Refused Verdict = "refused"
	// NotSent means that no daemon could be connected to.
	NotSent Verdict = "not_sent"
	// Unknown is an error without a promise, or a connection that broke.
	Unknown Verdict = "unknown"
)

// Call is one call with what became of it. Its last try decides, unless an
// earlier one may have run: a promise about one try says nothing about
// another.
type Call struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	// Target is the daemon of the last try.
	Target  string  `json:"target"`
	Tries   int     `json:"tries"`
	Verdict Verdict `json:"verdict"`
	Status  int     `json:"status,omitempty"`
	// Kind and Run are the error kind and the promise of the last try.
	Kind    errkind.Kind  `json:"kind,omitempty"`
	Run     errkind.Run   `json:"run,omitempty"`
	Latency time.Duration `json:"latency_ns"`
	Error   string        `json:"error,omitempty"`
	// Start is when the call was due.
	Start time.Time `json:"start"`
	// Log has one entry for each try.
	Log []Try `json:"log"`
}

// Try is one try of a call as it is recorded. Its number is its place in the
// log, from 1; an execution bears the same.
type Try struct {
	Target  string       `json:"target"`
	Start   time.Time    `json:"start"`
	End     time.Time    `json:"end"`
	Verdict Verdict      `json:"verdict"`
	Kind    errkind.Kind `json:"kind,omitempty"`
	Run     errkind.Run  `json:"run,omitempty"`
	// Config is the version that the daemon says it served the try with, 0 if it
	// does not say.
	Config uint64 `json:"config,omitempty"`
	Error  string `json:"error,omitempty"`
}

// try is the outcome of one try.
type try struct {
	start, end time.Time
	config     uint64

	verdict    Verdict
	status     int
	kind       errkind.Kind
	run        errkind.Run
	retryAfter time.Duration
	err        error
}

// notRun reports whether it is certain that the try has not run.
func (t try) notRun() bool { return t.verdict == Refused || t.verdict == NotSent }

// mayHelp reports whether another try could end better.
func (t try) mayHelp() bool {
	switch t.verdict {
	case OK, Wrong:
		return false
	case NotSent:
		return true
	}
	if t.kind != errkind.None {
		return t.kind.Response().Retry
	}
	return t.verdict == Unknown || t.status == http.StatusServiceUnavailable
}

// safe reports whether another try cannot double the call.
func (t try) safe(shape Shape, key string) bool {
	return !shape.nonIdempotent() || key != "" || t.notRun()
}

// add takes in the next try.
func (c *Call) add(t try) {
	before := c.Verdict
	c.Tries++
	c.Verdict, c.Status, c.Kind, c.Run = t.verdict, t.status, t.kind, t.run
	c.Error = ""
	if t.err != nil {
		c.Error = t.err.Error()
	}
	c.Log = append(c.Log, Try{
		Target: c.Target, Start: t.start, End: t.end, Verdict: t.verdict,
		Kind: t.kind, Run: t.run, Config: t.config, Error: c.Error,
	})
	if mayHaveRun(before) && t.notRun() {
		c.Verdict = before
	}
}

func mayHaveRun(v Verdict) bool { return v == Unknown || v == BackendError }
