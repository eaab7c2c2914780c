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

// A caller sends a body of unknown length and the answer is there while the
// body's last part is still being passed on. The next request on the connection
// must find its context live. When the end of an upload interrupted a read in any
// case, it interrupted the HTTP library's own, and every later request on the
// connection was answered 499 as if its caller had gone.
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
		read := make(chan struct{})
		go func() {
			defer close(a.uploadDone)
			_, _ = io.Copy(io.Discard, a.c.stream)
			close(read)
			// Holds the last chunk until the answer is there.
			<-r.Context().Done()
		}()
		<-read
		// The library's own read has begun with the body's end.
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
