package pipeline

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against callers that take part of a response for the whole one, since the handler has aborted it: a
// caller of HTTP/1.0 takes the end of the connection for the end of the body.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, body := range []string{"", "Content-Length: 4\r\n\r\nbo"} {
			t.Run(proto+" "+body, func(t *testing.T) {
				_, dial := start(t, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}, nil)
				nc := dial()
				send(t, nc, "POST /1 "+proto+"\r\nHost: a\r\n"+body+"\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				must.Error(t, err)
			})
		}
	}
}

// Guards against the loss of a whole response without a length, and against taking a part for the whole one
// if the server closes its connections.
func TestResponseThatEndsWithConnection(t *testing.T) {
	for _, whole := range []bool{true, false} {
		proceed := make(chan struct{})
		s, dial := start(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			<-proceed
			_, _ = io.WriteString(w, " and rest")
		}, nil)
		nc := dial()
		send(t, nc, "GET /1 HTTP/1.0\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		must.NoError(t, err)
		if !whole {
			must.NoError(t, s.Close())
		}
		close(proceed)
		got, err := io.ReadAll(resp.Body)
		must.Eq(t, whole, err == nil)
		must.Eq(t, whole, string(got) == "part and rest")
	}
}
