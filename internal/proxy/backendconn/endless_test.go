package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// endlessCalls is how many calls get bytes without end at the same time.
	endlessCalls = 32
	// endlessTimeout is the deadline of each call.
	endlessTimeout = 500 * time.Millisecond
	// maxEndlessHeap bounds the memory of all these calls together: half of what a daemon may use.
	maxEndlessHeap = 32 << 20
)

// endless are responses that begin with the first string and go on with the second one without end.
var endless = map[string][2]string{
	"status line":     {"HTTP/1.1 200 ", "x"},
	"header field":    {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"header fields":   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"interim fields":  {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	"no response":     {"", "\x00"},
	"lines":           {"", "x\r\n"},
	"other responses": {"", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 4\r\n\r\nbody"},
	"other response":  {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n\r\n", "x"},
	"chunk extension": {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	"chunk size":      {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"trailer":         {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"body":            {"HTTP/1.1 500 Oops\r\n" + idHeader + ": a\r\n\r\n", "x"},
}

// Guards against a daemon that runs out of memory, or callers that wait beyond their deadline, since a
// server in trouble sends bytes without end in place of a response.
func TestClient_EndlessResponses(t *testing.T) {
	for name, parts := range endless {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(parts[1], 1+(32<<10)/len(parts[1])))
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				if _, ok := readRequest(br); !ok {
					return
				}
				_, err := io.WriteString(nc, parts[0])
				for err == nil {
					_, err = nc.Write(block)
				}
			})
			c := s.client(t)
			highest := watchHeap(t)
			var all sync.WaitGroup
			for range endlessCalls {
				all.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
					defer cancel()
					begun := time.Now()
					resp, err := c.Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {"a"}}})
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					must.Error(t, err)
					must.Less(t, waitLimit, time.Since(begun))
				})
			}
			all.Wait()
			must.LessEq(t, maxEndlessHeap, highest())
		})
	}
}

// watchHeap returns a function that ends the watch and returns by how many bytes the heap has grown at most.
func watchHeap(t *testing.T) (highest func() int64) {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	before := int64(stats.HeapInuse)
	var most atomic.Int64
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			runtime.ReadMemStats(&stats)
			most.Store(max(most.Load(), int64(stats.HeapInuse)-before))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() int64 {
		stop()
		<-ended
		return most.Load()
	}
}

// Guards against a call that waits until its deadline for the rest of a rejection, which nobody needs, and
// could be sent to another server.
func TestDiscard_DoesNotWaitForTheRest(t *testing.T) {
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		id, _ := readRequest(br)
		_, _ = io.WriteString(nc, "HTTP/1.1 503 Full\r\n"+idHeader+": "+id+"\r\nContent-Length: 10\r\n\r\nno")
		_, _ = br.ReadByte()
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	resp, err := s.client(t).Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {"a"}}})
	must.NoError(t, err)
	Discard(resp, 1<<10)
	must.NoError(t, ctx.Err())
}

// Guards against a new connection for each call that a server rejects with a short response.
func TestDiscard_KeepsTheConnection(t *testing.T) {
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			id, ok := readRequest(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 503 Full\r\n"+idHeader+": "+id+"\r\nKeep-Alive: timeout=8\r\nContent-Length: 2\r\n\r\nno")
		}
	})
	c := s.client(t)
	for i := range 5 {
		resp, err := c.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {string(rune('a' + i))}}})
		must.NoError(t, err)
		Discard(resp, 1<<10)
	}
	must.Eq(t, 1, s.conns.Load())
}
