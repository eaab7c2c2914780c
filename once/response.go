package once

import "bytes"

// HeaderField is one HTTP header field of a response.
type HeaderField struct {
	Name, Value string
}

// Response is a complete response of a backend server. It is shared by all
// requests that receive it, and must not be modified once it is stored.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Fields are the header fields.
	Fields []HeaderField
	// Body is the complete body.
	Body []byte
}

// Memory overhead of a Response and of each HeaderField in bytes, on a 64-bit
// machine.
const (
	responseOverhead    = 56
	headerFieldOverhead = 32
)

// size returns the memory used by the response in bytes.
func (r *Response) size() int64 {
	if r == nil {
		return 0
	}
	n := responseOverhead + cap(r.Body) + headerFieldOverhead*cap(r.Fields)
	for _, f := range r.Fields {
		n += len(f.Name) + len(f.Value)
	}
	return int64(n)
}

// Recorder copies a response while it is streamed to its recipient, up to a
// maximum body size.
type Recorder struct {
	limit    int
	response Response
	body     bytes.Buffer
	tooLarge bool
}

// NewRecorder returns a recorder for a response with a body of at most limit
// bytes.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// WriteHeader records the status and the header fields.
func (r *Recorder) WriteHeader(status int, fields []HeaderField) {
	r.response.Status = status
	r.response.Fields = fields
}

// Write appends p to the recorded body. It never returns an error.
func (r *Recorder) Write(p []byte) (int, error) {
	if r.tooLarge || r.body.Len()+len(p) > r.limit {
		r.tooLarge = true
		r.body = bytes.Buffer{}
		return len(p), nil
	}
	return r.body.Write(p)
}

// Response returns the complete response, or nil if its body exceeded the limit.
// It must be called once, after the end of the body.
func (r *Recorder) Response() *Response {
	if r.tooLarge {
		return nil
	}
	// The capacity of the buffer may be twice its content.
	r.response.Body = bytes.Clone(r.body.Bytes())
	return &r.response
}
