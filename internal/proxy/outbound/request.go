package outbound

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/internal/proxy/body"
	"github.com/crocuscross/crocuscross/peerpb"
)

// forwardedFields returns the header fields that the backend server receives.
func (c *call) forwardedFields(h http.Header) []*peerpb.Field {
	fields := body.Fields(h)
	if !c.dropKey {
		return fields
	}
	return slices.DeleteFunc(fields, func(f *peerpb.Field) bool { return f.GetName() == apikey.HeaderAuthorization })
}

// receiveBody buffers a body of up to maxBufferedBody bytes. A larger one, or one of unknown
// length, is streamed.
func (c *call) receiveBody(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	limited := http.MaxBytesReader(w, r.Body, c.maxBody)
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		_ = c.responseController.SetReadDeadline(c.deadline)
		c.stream = &streamedBody{src: limited}
		c.head.ExpectContinue = true
		return nil
	}
	// A slow caller must not keep the call open past its deadline.
	_ = c.responseController.SetReadDeadline(c.deadline)
	defer c.responseController.SetReadDeadline(time.Time{})
	c.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(limited, c.buffered); err != nil {
		return bodyError(ctx, err)
	}
	c.head.ExpectContinue = len(c.buffered) > maxEagerBody
	return nil
}

// rawTarget returns the path and query as the caller sent them.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func bodyError(ctx context.Context, err error) error {
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		return errkind.Wrap(errkind.TooLarge, err, "read request body")
	case errors.As(err, &netErr) && netErr.Timeout():
		return errkind.Wrap(errkind.DeadlineNotRun, err, "the request body was not received in time")
	case ctx.Err() != nil:
		return contextError(ctx, errkind.DeadlineNotRun)
	}
	return errkind.Wrap(errkind.BadRequest, err, "read request body")
}

// bufferedBody returns a new reader of the buffered body.
func (c *call) bufferedBody() io.Reader { return bytes.NewReader(c.buffered) }

// streamedBody is a request body that is forwarded as it arrives.
type streamedBody struct {
	src io.Reader
	// ended is set once the body has been read to its end.
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// interruptBodyRead makes a pending read of the request body return, so that nothing reads it
// after the call has ended.
func (c *call) interruptBodyRead() { _ = c.responseController.SetReadDeadline(time.Unix(1, 0)) }

// clearReadDeadline removes the read deadline, which would otherwise fail the caller's
// connection when it is used for the next request.
func (c *call) clearReadDeadline() { _ = c.responseController.SetReadDeadline(time.Time{}) }
