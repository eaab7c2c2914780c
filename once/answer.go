package once

import "bytes"

// HeaderField is one HTTP header line of an answer.
type HeaderField struct {
	Name, Value string
}

// Response is a whole answer of a backend server. It is shared by all who are
// given it and must not be changed once it is kept.
type Response struct {
	// Status is the HTTP status.
	Status int
	Fields []HeaderField
	Body   []byte
}

// Sizes of what an answer takes beside its bytes, on a 64-bit machine.
const (
	answerBytes = 56
	fieldBytes  = 32
)

// size is the memory of the answer in bytes.
func (a *Response) size() int64 {
	if a == nil {
		return 0
	}
	n := answerBytes + cap(a.Body) + fieldBytes*cap(a.Fields)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return int64(n)
}

// Recorder copies an answer while it is streamed elsewhere, up to a bound.
type Recorder struct {
	limit  int
	answer Response
	body   bytes.Buffer
	over   bool
}

// NewRecorder returns a recorder for an answer whose body has at most limit
// bytes.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// WriteHeader records what comes before the body.
func (r *Recorder) WriteHeader(status int, fields []HeaderField) {
	r.answer.Status = status
	r.answer.Fields = fields
}

// Write records a part of the body. It never fails.
func (r *Recorder) Write(p []byte) (int, error) {
	if r.over || r.body.Len()+len(p) > r.limit {
		r.over = true
		r.body = bytes.Buffer{}
		return len(p), nil
	}
	return r.body.Write(p)
}

// Response returns the whole answer, nil if it was larger than the limit. It is
// called once, after the body has ended.
func (r *Recorder) Response() *Response {
	if r.over {
		return nil
	}
	// The buffer may have grown to twice what is in it.
	r.answer.Body = bytes.Clone(r.body.Bytes())
	return &r.answer
}
