package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// newAbortingServer returns a backend server that aborts its first response to a path that ends in
// "cut" halfway through the body.
func newAbortingServer(t *testing.T) *server {
	s := &server{id: "i-1"}
	var aborted atomic.Bool
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "signed")
		if r.URL.Path[len(r.URL.Path)-3:] == "cut" && !aborted.Swap(true) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half an answer")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(s.Close)
	return s
}

// sendPipelined sends requests with a header line back to back on one connection and returns a
// reader of the responses.
func sendPipelined(t *testing.T, d *testDaemon, line string, requests ...string) *bufio.Reader {
	t.Helper()
	nc, err := net.Dial("tcp", d.ln.callers.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	for _, r := range requests {
		_, err := fmt.Fprintf(nc, "%s HTTP/1.1\r\nHost: h.example\r\n%s\r\nContent-Length: 0\r\n\r\n", r, line)
		must.NoError(t, err)
	}
	return bufio.NewReader(nc)
}

// A backend server's response ends halfway, with pipelined requests behind it on the caller's
// connection. No part of it has reached the caller, so the caller gets another response to this
// request, and the responses to the requests behind it. Guards against closing the caller's
// connection, as after a response that the caller has partly received, which would leave all of
// them unanswered.
func TestStore_TruncatedResponseKeepsPipelinedRequests(t *testing.T) {
	for _, method := range []string{"GET /get", "POST /put"} {
		t.Run(method, func(t *testing.T) {
			f := newStoreFleet(t, 2)
			f.putDocument(3)
			s := newAbortingServer(t)
			f.announce(f.daemons[1], s, "ready", 1)
			f.eventually("calls reach the server", func() bool {
				resp, _ := f.call(f.daemons[0], http.MethodGet, "/get/x", "")
				return resp.StatusCode == http.StatusOK
			})
			answers := sendPipelined(t, f.daemons[0], names.Remaining+": 3000", method+"/cut", "GET /get/a", "GET /get/b")
			first, err := http.ReadResponse(answers, nil)
			must.NoError(t, err)
			must.NotEq(t, "half an answer", readAll(t, first.Body))
			if method == "POST /put" {
				must.Eq(t, http.StatusBadGateway, first.StatusCode, must.Sprint("the request ran and is not retried"))
			}
			for range 2 {
				resp, err := http.ReadResponse(answers, nil)
				must.NoError(t, err)
				must.Eq(t, http.StatusOK, resp.StatusCode)
				must.Eq(t, "whole", readAll(t, resp.Body))
			}
		})
	}
}
