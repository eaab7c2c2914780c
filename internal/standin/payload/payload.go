// Package payload makes bodies that belong to one request only, so that the
// receiver of another's bytes, or of a part, can tell.
package payload

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Header names that the stand-ins share.
const (
	// HeaderRequestID names a call; it is the same for all its attempts.
	HeaderRequestID = "X-Request-Id"
	// HeaderTry numbers a caller's tries of one call from 1, so that an execution
	// can be told to be that of a try whose answer promised that it has not run.
	HeaderTry = "X-Try"
	// HeaderBodySHA256 is the hex digest of the request body that was received.
	HeaderBodySHA256 = "X-Body-Sha256"
)

// ErrMismatch means that bytes are not the payload expected.
var ErrMismatch = errors.New("payload does not belong to the request")

const chunkBytes = 16 << 10

// reader yields the request's id and a newline again and again.
type reader struct {
	block []byte
	pos   int
	left  int64
}

// NewReader returns the size bytes of a request's payload.
func NewReader(requestID string, size int64) io.Reader {
	line := requestID + "\n"
	return &reader{block: bytes.Repeat([]byte(line), chunkBytes/len(line)+1), left: size}
}

// Read fills p as far as the block allows.
func (r *reader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n := copy(p, r.block[r.pos:])
	r.pos = (r.pos + n) % len(r.block)
	r.left -= int64(n)
	return n, nil
}

// Verify reads body to its end. The error is ErrMismatch where the body ends
// well but is not the whole payload of the request and nothing more, and the
// body's own error where it breaks off.
func Verify(body io.Reader, requestID string, size int64) error {
	want := NewReader(requestID, size)
	got, expect := make([]byte, chunkBytes), make([]byte, chunkBytes)
	var seen int64
	for {
		n, err := body.Read(got)
		seen += int64(n)
		if _, short := io.ReadFull(want, expect[:n]); short != nil || !bytes.Equal(got[:n], expect[:n]) {
			return errors.Wrapf(ErrMismatch, "before byte %d", seen)
		}
		if errors.Is(err, io.EOF) && seen < size {
			return errors.Wrapf(ErrMismatch, "%d bytes of %d", seen, size)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
