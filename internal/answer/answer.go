// Package answer writes an error of the closed list as an HTTP answer, and
// reads such an answer back. All listeners that speak HTTP use it, so a kind
// looks the same wherever it comes from.
package answer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
)

// Header fields of an answer that crocuscross gives in place of the backend
// server. A caller tells the two apart by HeaderError.
const (
	HeaderError = "Crocuscross-Error"
	// HeaderRun is "no" where the call has not run and never will, or
	// "unknown".
	HeaderRun = "Crocuscross-Run"
)

const (
	headerRetryAfter = "Retry-After"
	// maxBodyBytes bounds the body that FromResponse reads.
	maxBodyBytes = 64 << 10
	// internalText stands in for the text of an error without a kind, which may
	// hold addresses and other things that are not a caller's business. The
	// text itself belongs in the log.
	internalText = "internal error"
)

// Body is the JSON body of an answer.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is what the body tells of the error.
type Detail struct {
	Kind errkind.Kind `json:"kind"`
	// Text is for people.
	Text string      `json:"text"`
	Run  errkind.Run `json:"run"`
}

// Write answers with the row of the error's kind: status, header fields and a
// short JSON body. It must come before any other write to w; header fields
// that describe another body are removed.
func Write(w http.ResponseWriter, err error) { WriteAs(w, err, wholeSeconds) }

// WriteAs is Write for callers that take Retry-After in another form.
func WriteAs(w http.ResponseWriter, err error, retryAfter func(time.Duration) string) {
	kind := errkind.Of(err)
	a := kind.Response()
	body, _ := json.Marshal(Body{Error: Detail{Kind: kind, Text: textOf(err), Run: errkind.RunOf(err)}})
	body = append(body, '\n')

	h := w.Header()
	for _, name := range []string{"Content-Encoding", "Etag", "Last-Modified", "Cache-Control", "Trailer"} {
		h.Del(name)
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set(HeaderError, string(kind))
	h.Set(HeaderRun, string(errkind.RunOf(err)))
	if after := errkind.RetryAfterOf(err); after > 0 {
		h.Set(headerRetryAfter, retryAfter(after))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}

// FromResponse returns the error that an answer of Write stands for, and nil
// for an answer that is not one of Write's. It reads the body of the former
// only, and closes none.
func FromResponse(resp *http.Response) error {
	kind := errkind.Kind(resp.Header.Get(HeaderError))
	if kind == errkind.None {
		return nil
	}
	text := string(kind)
	var body Body
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil && json.Unmarshal(raw, &body) == nil && body.Error.Text != "" {
		text = body.Error.Text
	}
	e := errkind.New(kind, text)
	if s, err := strconv.ParseUint(resp.Header.Get(headerRetryAfter), 10, 31); err == nil {
		e = e.WithRetryAfter(time.Duration(s) * time.Second)
	}
	return e
}

// wholeSeconds rounds up: a caller that comes back too early is refused again.
func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func textOf(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return err.Error()
	}
	return internalText
}
