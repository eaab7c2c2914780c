// Package answer encodes errors of package errkind as HTTP responses and decodes such responses. All
// HTTP listeners of a daemon use it, so that each error kind has the same form everywhere.
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

// Header fields of a response that crocuscross sends instead of a response of the backend server.
const (
	// HeaderError is the error kind. Callers recognize responses of crocuscross by it.
	HeaderError = "Crocuscross-Error"
	// HeaderRun is "no" if the call has not run and never will, or "unknown".
	HeaderRun = "Crocuscross-Run"
)

const (
	headerRetryAfter = "Retry-After"
	// headerChallenge names the scheme by which callers authenticate. A response with status 401
	// needs it (RFC 9110, section 15.5.2).
	headerChallenge = "Www-Authenticate"
	challenge       = "Bearer"
	// maxBodyBytes is the maximum size of the body that FromResponse reads.
	maxBodyBytes = 64 << 10
	// internalText replaces the text of an error without a kind, which may contain addresses and
	// other details that callers must not see. The text itself belongs in the log.
	internalText = "internal error"
)

// Body is the JSON body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes the error in a Body.
type Detail struct {
	Kind errkind.Kind `json:"kind"`
	// Text is a description for people.
	Text string `json:"text"`
	// Run is the value of HeaderRun.
	Run errkind.Run `json:"run"`
}

// Write sends the response for the kind of err: status, header fields and a short JSON body.
// It must be called before any other write to w. It removes header fields that describe another
// body. Retry-After is in seconds, rounded up.
func Write(w http.ResponseWriter, err error) { WriteAs(w, err, wholeSeconds) }

// WriteAs is like Write, but formats the value of Retry-After with the given function.
func WriteAs(w http.ResponseWriter, err error, retryAfter func(time.Duration) string) {
	kind := errkind.Of(err)
	response := kind.Response()
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
	if response.Status == http.StatusUnauthorized {
		h.Set(headerChallenge, challenge)
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(body)
}

// FromResponse returns the error that a response of Write encodes, and nil for any other response.
// It reads the body only of a response of Write, and never closes it. A Retry-After that is not a
// number of seconds is ignored.
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

// wholeSeconds formats d in seconds, rounded up: a caller that retries too early is refused again.
func wholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// textOf returns the text of err that callers may see.
func textOf(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return err.Error()
	}
	return internalText
}
