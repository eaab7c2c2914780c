package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// earnedRetryCalls is a number of calls after which the retry budget allows a retry.
const earnedRetryCalls = 40

// repeatingServer rejects the first attempt of each DELETE. When it has begun to run the second one, it
// sends the rejection again, where the first attempt was received, and then responds.
type repeatingServer struct {
	*server
	status int

	mu sync.Mutex
	// reject sends the rejection, nil before the first attempt.
	reject func()
	runs   int
}

func newRepeatingServer(t *testing.T, id string, status int) *repeatingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &repeatingServer{
		server: &server{Server: &httptest.Server{URL: "http://" + ln.Addr().String()}, id: id},
		status: status,
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serveConn(nc)
		}
	}()
	return s
}

func (s *repeatingServer) serveConn(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.respond(nc, r)
	}
}

func (s *repeatingServer) respond(nc net.Conn, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(names.RequestID)
	head := fmt.Sprintf("%s: %s\r\nKeep-Alive: timeout=8\r\nContent-Length: 0\r\n\r\n", names.RequestID, id)
	if r.Method == http.MethodDelete {
		if s.reject == nil {
			s.reject = func() {
				fmt.Fprintf(nc, "HTTP/1.1 %d %s\r\n%s: 1\r\n%s", s.status, http.StatusText(s.status), names.NotRun, head)
			}
			s.reject()
			return
		}
		s.runs++
		s.reject()
	}
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: signed\r\n%s", names.Signature, head)
}

// Guards against the answer that a call has not run, though it runs: the only server of its service
// rejects the first attempt and sends that rejection again while it runs the second one.
func TestStore_LateRejectionIsNotTakenForRetry(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f := newStoreFleet(t, 2)
			f.putDocument(3)
			s := newRepeatingServer(t, "i-1", status)
			must.Eq(t, http.StatusOK, f.announce(f.daemons[1], s.server, "ready", 1))
			f.waitServerKnown(f.daemons[0])
			for range earnedRetryCalls {
				f.call(f.daemons[0], http.MethodGet, "/get/x", "")
			}
			resp, _ := f.call(f.daemons[0], http.MethodDelete, "/put/x", "")
			must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint("a call that ran"))
			must.Eq(t, 1, s.runs)
		})
	}
}
