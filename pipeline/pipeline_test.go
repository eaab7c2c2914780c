package pipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// waitLimit bounds waits for events that always occur unless the test fails.
const waitLimit = 10 * time.Second

// start runs a server for the handler and returns it with a function that connects to it.
func start(t *testing.T, h http.HandlerFunc, change func(*Options)) (*Server, func() net.Conn) {
	t.Helper()
	opts := DefaultOptions()
	opts.Handler = h
	if change != nil {
		change(&opts)
	}
	s := NewServer(opts)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	t.Cleanup(func() {
		must.NoError(t, s.Close())
		must.ErrorIs(t, <-ended, ErrClosed)
	})
	return s, func() net.Conn {
		nc, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		must.NoError(t, nc.SetDeadline(time.Now().Add(waitLimit)))
		t.Cleanup(func() { _ = nc.Close() })
		return nc
	}
}

func send(t *testing.T, nc net.Conn, raw string) {
	t.Helper()
	_, err := io.WriteString(nc, raw)
	must.NoError(t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// read returns the next response and its body.
func read(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(b)
}

// A caller pipelines three requests. All three run concurrently, since each handler waits for the
// others to start, and the responses arrive in request order.
func TestPipelinedRequestsRunConcurrentlyAndRespondInOrder(t *testing.T) {
	var all sync.WaitGroup
	all.Add(3)
	_, dial := start(t, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait()
		fmt.Fprint(w, r.URL.Path)
	}, nil)
	nc := dial()
	send(t, nc, get("/1")+get("/2")+get("/3"))
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1", "/2", "/3"} {
		resp, body := read(t, br)
		must.Eq(t, want, body)
		must.False(t, resp.Close)
	}
}

// A caller disconnects while pipelined requests wait for their responses. The contexts of all of
// them are canceled.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	began, canceled := make(chan struct{}, 2), make(chan struct{}, 2)
	_, dial := start(t, func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		canceled <- struct{}{}
	}, nil)
	for _, raw := range []string{get("/1") + get("/2"), get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"} {
		nc := dial()
		send(t, nc, raw)
		<-began
		<-began
		must.NoError(t, nc.Close())
		<-canceled
		<-canceled
	}
}

// The server drains while two requests are in progress on one connection. Only the last response
// closes the connection: an earlier close would discard a running request.
func TestDrainClosesConnectionWithLastResponse(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 2)
	s, dial := start(t, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}, nil)
	nc := dial()
	send(t, nc, get("/1")+get("/2"))
	<-began
	<-began
	s.Drain()
	close(release)
	br := bufio.NewReader(nc)
	first, _ := read(t, br)
	must.False(t, first.Close)
	second, _ := read(t, br)
	must.True(t, second.Close)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	must.NoError(t, s.Shutdown(ctx))
}

// Small bodies, with a length or chunked, are buffered and do not block the requests behind them.
func TestBufferedBodies(t *testing.T) {
	_, dial := start(t, func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %d %v", b, r.ContentLength, err)
	}, nil)
	nc := dial()
	send(t, nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"+get("/"))
	br := bufio.NewReader(nc)
	for _, want := range []string{"abc 3 <nil>", "def 3 <nil>", " 0 <nil>"} {
		_, body := read(t, br)
		must.Eq(t, want, body)
	}
}

// A large body, with a length or chunked, is streamed to the handler, and the requests behind it
// are served.
func TestStreamedBodies(t *testing.T) {
	_, dial := start(t, func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %v", b, err)
	}, func(o *Options) { o.MaxBufferedBody = 2 })
	nc := dial()
	send(t, nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndefg\r\n0\r\n\r\n"+get("/"))
	br := bufio.NewReader(nc)
	for _, want := range []string{"abc <nil>", "defg <nil>", " <nil>"} {
		_, body := read(t, br)
		must.Eq(t, want, body)
	}
}

// Guards against treating a caller as disconnected because the read deadline of an earlier body
// has passed.
func TestBodyReadDeadlineDoesNotCancelLaterRequests(t *testing.T) {
	for _, maxBuffered := range []int64{2, 1 << 20} {
		t.Run(fmt.Sprint("buffered up to ", maxBuffered), func(t *testing.T) {
			_, dial := start(t, func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				must.NoError(t, err)
				must.NoError(t, http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)))
				fmt.Fprint(w, r.Context().Err())
			}, func(o *Options) { o.MaxBufferedBody = maxBuffered })
			nc := dial()
			br := bufio.NewReader(nc)
			for range 3 {
				send(t, nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
				resp, body := read(t, br)
				must.Eq(t, http.StatusOK, resp.StatusCode)
				must.False(t, resp.Close)
				must.Eq(t, "<nil>", body)
			}
		})
	}
}

// A handler responds without reading a large body. The caller receives the response with
// Connection: close, and the rest of the body is not parsed as a request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	served := 0
	_, dial := start(t, func(w http.ResponseWriter, _ *http.Request) {
		served++
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(o *Options) { o.MaxBufferedBody = 2 })
	nc := dial()
	rest := get("/smuggled")
	send(t, nc, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest))
	br := bufio.NewReader(nc)
	resp, _ := read(t, br)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.True(t, resp.Close)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 1, served)
}

// A response that ends early must be recognizable as incomplete: the connection closes before the
// declared length is reached or before the last chunk.
func TestTruncatedResponseIsDetectable(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"short": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "abc")
		},
		"aborted": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "abc")
			must.NoError(t, http.NewResponseController(w).Flush())
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, dial := start(t, h, nil)
			nc := dial()
			send(t, nc, get("/"))
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			must.Error(t, err)
		})
	}
}

func TestMalformedInput(t *testing.T) {
	for name, c := range map[string]struct {
		raw    string
		status int
	}{
		"no HTTP":      {"\x16\x03\x01\r\n\r\n", http.StatusBadRequest},
		"no host":      {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"large header": {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"two lengths":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			reported := make(chan error, 1)
			_, dial := start(t, func(http.ResponseWriter, *http.Request) { t.Error("handled") }, func(o *Options) {
				o.OnMalformed = func(_ net.Addr, err error) { reported <- err }
			})
			nc := dial()
			send(t, nc, c.raw)
			resp, _ := read(t, bufio.NewReader(nc))
			must.Eq(t, c.status, resp.StatusCode)
			must.True(t, resp.Close)
			must.Error(t, <-reported)
		})
	}
}

// A connection without requests is closed after the idle timeout; a header that takes too long is
// answered with status 408.
func TestTimeouts(t *testing.T) {
	limits := Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: 10 * time.Millisecond, IdleTimeout: 10 * time.Millisecond}
	_, dial := start(t, func(http.ResponseWriter, *http.Request) {}, func(o *Options) {
		o.Limits = func() Limits { return limits }
	})
	idle := dial()
	_, err := idle.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	slow := dial()
	send(t, slow, "GET / HT")
	resp, _ := read(t, bufio.NewReader(slow))
	must.Eq(t, http.StatusRequestTimeout, resp.StatusCode)
}

func TestExpectContinue(t *testing.T) {
	_, dial := start(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }, nil)
	nc := dial()
	send(t, nc, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	br := bufio.NewReader(nc)
	line, err := br.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = br.ReadString('\n')
	must.NoError(t, err)
	send(t, nc, "ok")
	_, body := read(t, br)
	must.Eq(t, "ok", body)
}

// A response of unknown length is sent in chunks as it is written.
func TestFlushedResponse(t *testing.T) {
	more := make(chan struct{})
	_, dial := start(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "a")
		if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		<-more
		fmt.Fprint(w, "b")
	}, nil)
	nc := dial()
	send(t, nc, get("/"))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	must.NoError(t, err)
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	must.NoError(t, err)
	must.Eq(t, "a", string(first))
	close(more)
	rest, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "b", string(rest))
}

// Above MaxKeepAliveConns each response closes its connection, so that callers which open a
// connection for each attempt do not exhaust the file descriptors of the process.
func TestConnectionsAboveMaxKeepAliveConnsAreClosed(t *testing.T) {
	_, dial := start(t, func(http.ResponseWriter, *http.Request) {}, func(o *Options) { o.MaxKeepAliveConns = 1 })
	for _, closes := range []bool{false, true} {
		nc := dial()
		send(t, nc, get("/"))
		resp, _ := read(t, bufio.NewReader(nc))
		must.Eq(t, closes, resp.Close)
	}
}

// Guards against a drain that never ends because the caller always has another request behind the
// current one: the connection would stay open until the process is killed, which loses a request.
// The connection closes after the responses to the requests in progress. Requests behind the last
// response count as not received, and the caller sends them again.
func TestDrainClosesConnectionThatIsNeverIdle(t *testing.T) {
	began, release := make(chan struct{}, 1), make(chan struct{})
	s, dial := start(t, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}, nil)
	nc := dial()
	send(t, nc, get("/1"))
	<-began
	s.Drain()
	send(t, nc, get("/2"))
	select {
	case <-began:
		t.Error("a pipelined request started while the server was draining")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	br := bufio.NewReader(nc)
	first, _ := read(t, br)
	must.True(t, first.Close)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
