package backendserver

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/internal/standin/payload"
)

// Outcome is how an execution ended.
type Outcome string

// The outcomes. An execution that has none yet is running, or was when the
// process died.
const (
	// Completed means that the whole answer was written.
	Completed Outcome = "completed"
	// Canceled means that the request was taken back while it ran.
	Canceled Outcome = "canceled"
	// BodyCut means that the request's body did not come whole.
	BodyCut Outcome = "body_cut"
	// AnswerCut means that the answer could not be written whole.
	AnswerCut Outcome = "answer_cut"
)

// Execution is one run of one request. It begins when the request's header has
// come and a slot is free: from then on a real backend server may have effects,
// so a call told not to have run must not show up here at all.
type Execution struct {
	// Boot sets one life of a server apart from the next, which may record into
	// the same file. Seq numbers the executions of one life from 1.
	Boot      uint64 `json:"boot"`
	Seq       uint64 `json:"seq"`
	Server    string `json:"server"`
	RequestID string `json:"request_id,omitempty"`
	// Try is the caller's own number of the try, 0 if it sent none.
	Try            int       `json:"try,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Start          time.Time `json:"start"`
	End            time.Time `json:"end,omitzero"`
	Outcome        Outcome   `json:"outcome,omitempty"`
}

const headerIdempotencyKey = "Idempotency-Key"

// recorder keeps the executions.
type recorder struct {
	server string
	boot   uint64
	max    int
	// lines gets each execution as a JSON line when it begins and again when it
	// ends. It is written to without a buffer, so that a killed process leaves
	// the record of what it had begun.
	lines io.Writer

	mu        sync.Mutex
	list      []Execution
	forgotten uint64
	err       error
}

func newRecorder(server string, maxKept int, lines io.Writer) *recorder {
	// 53 bits survive JSON readers that keep numbers as floats.
	return &recorder{server: server, boot: rand.Uint64() >> 11, max: maxKept, lines: lines}
}

func (r *recorder) begin(req *http.Request) Execution {
	try, _ := strconv.Atoi(req.Header.Get(payload.HeaderTry))
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Execution{
		Boot:           r.boot,
		Seq:            uint64(len(r.list)) + r.forgotten + 1,
		Server:         r.server,
		RequestID:      req.Header.Get(payload.HeaderRequestID),
		Try:            try,
		IdempotencyKey: req.Header.Get(headerIdempotencyKey),
		Method:         req.Method,
		Path:           req.URL.Path,
		Start:          time.Now(),
	}
	if len(r.list) < r.max {
		r.list = append(r.list, e)
	} else {
		r.forgotten++
	}
	r.write(e)
	return e
}

func (r *recorder) end(e Execution, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.End = time.Now()
	e.Outcome = o
	if e.Seq <= uint64(len(r.list)) {
		r.list[e.Seq-1] = e
	}
	r.write(e)
}

func (r *recorder) write(e Execution) {
	if r.lines == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = r.lines.Write(append(line, '\n'))
	}
	if err != nil && r.err == nil {
		r.err = err
	}
}

func (r *recorder) count() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint64(len(r.list)) + r.forgotten
}

// since returns a copy of the executions after a number.
func (r *recorder) since(seq uint64) Executions {
	r.mu.Lock()
	defer r.mu.Unlock()
	seq = min(seq, uint64(len(r.list)))
	out := Executions{Executions: append([]Execution{}, r.list[seq:]...), Forgotten: r.forgotten}
	if r.err != nil {
		out.RecordError = r.err.Error()
	}
	return out
}

// Executions is the answer to GET /admin/executions.
type Executions struct {
	Executions []Execution `json:"executions"`
	// Forgotten is how many more there were than are kept. A proof that finds
	// any is void.
	Forgotten uint64 `json:"forgotten"`
	// RecordError is the first failure to write the file of the record.
	RecordError string `json:"record_error,omitempty"`
}
