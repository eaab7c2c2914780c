package outbound

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
)

// Headers that a daemon adds to a backend server's response.
const (
	// HeaderServedBy names the host whose backend server answered.
	HeaderServedBy = "Crocuscross-Served-By"
	// HeaderConfig is the configuration offset that the call was served with.
	HeaderConfig = "Crocuscross-Config"
)

// copyBufferBytes is how much of a response is held in memory while it is copied to the caller.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// writeTo streams the response to the caller and ends the attempt.
func (s *pendingResponse) writeTo(w http.ResponseWriter) error {
	c := s.a.c
	s.setHeader(w.Header())
	w.Header().Set(HeaderServedBy, s.a.server.Host)
	w.Header().Set(HeaderConfig, strconv.FormatUint(c.snap.Offset, 10))
	w.WriteHeader(int(s.head.GetStatus()))
	n, err := copyFlushing(w, s.body, s.head.GetContentLength() < 0)
	if c.route != nil {
		c.h.responseSizes.observe(c.route.Name, n)
	}
	if err != nil {
		s.close(errkind.BackendFailed)
		return errors.Mark(errkind.Wrap(errkind.BackendFailed, err, "stream the response"), errResponseTruncated)
	}
	s.close(errkind.None)
	return nil
}

func (s *pendingResponse) setHeader(h http.Header) {
	body.SetFields(h, s.head.GetFields())
	if n := s.head.GetContentLength(); n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
}

// copyFlushing copies src to w and returns the number of bytes copied. With flush, as for a
// body of unknown length, the caller receives each part as soon as it arrives.
func copyFlushing(w http.ResponseWriter, src io.Reader, flush bool) (int64, error) {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	rc := http.NewResponseController(w)
	total := int64(0)
	for {
		n, err := src.Read(buf[:])
		total += int64(n)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return total, errors.Wrap(werr, "write to the caller")
			}
			if flush {
				_ = rc.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
