package outbound

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an interrupted read of the HTTP server at the end of an upload. Here the
// response is complete while the last part of a body of unknown length is still being
// forwarded. If endUpload interrupted a read in any case, it would hit the server's own read,
// and every later request on the connection would be answered 499 as if its caller had
// disconnected.
func TestEndUpload_LeavesTheConnectionUsable(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		a := &attempt{uploadDone: make(chan struct{}), c: &call{
			stream: &streamedBody{src: r.Body}, responseController: http.NewResponseController(w),
		}}
		_ = a.c.responseController.SetReadDeadline(time.Now().Add(time.Minute))
		bodyRead := make(chan struct{})
		go func() {
			defer close(a.uploadDone)
			_, _ = io.Copy(io.Discard, a.c.stream)
			close(bodyRead)
			// Holds the last chunk until the response is complete.
			<-r.Context().Done()
		}()
		<-bodyRead
		// The server's own read began at the end of the body.
		done := make(chan struct{})
		go func() { a.endUpload(); close(done) }()
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(50 * time.Millisecond):
		}
	}))
	defer srv.Close()
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, srv.URL, io.MultiReader(strings.NewReader("count")))
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		_ = resp.Body.Close()
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
}
