package backendconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	idHeader  = "Request-Id"
	waitLimit = 10 * time.Second
)

// server is a backend server that runs a script on each connection.
type server struct {
	addr  string
	conns atomic.Int64
}

func serve(t *testing.T, script func(nc net.Conn, br *bufio.Reader)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &server{addr: ln.Addr().String()}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer nc.Close()
				script(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return s
}

func (s *server) client(t *testing.T) *Client {
	c := New(Options{Address: s.addr, RequestIDHeader: idHeader})
	t.Cleanup(c.Close)
	return c
}

// readRequest reads a request with its body and returns its ID.
func readRequest(br *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idHeader), err == nil
}

// okResponse returns a complete response with status 200 and the given ID and body.
func okResponse(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=8\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(text), text)
}

// unavailableResponse returns a response with status 503, the given ID and no body.
func unavailableResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nKeep-Alive: timeout=8\r\nContent-Length: 0\r\n\r\n", idHeader, id)
}

func getRequest(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a%2Fb?c=%20d", Host: "h", Header: http.Header{idHeader: {id}}}
}

// get sends a call and returns the body of its response.
func get(t *testing.T, c *Client, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	resp, err := c.Do(ctx, getRequest(id))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func TestConnectionIsKept(t *testing.T) {
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			fmt.Fprint(nc, okResponse(id, id))
		}
	})
	c := s.client(t)
	for i := range 3 {
		got, err := get(t, c, fmt.Sprint(i))
		must.NoError(t, err)
		must.Eq(t, fmt.Sprint(i), got)
	}
	must.Eq(t, 1, s.conns.Load())
}

// Guards against sending calls on idle connections after their context is done.
func TestCallWithDoneContextIsNotSent(t *testing.T) {
	var calls atomic.Int64
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			calls.Add(1)
			fmt.Fprint(nc, okResponse(id, id))
		}
	})
	c := s.client(t)
	_, err := get(t, c, "1")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		_, err := c.Do(ctx, getRequest("2"))
		var notSent *NotSentError
		must.True(t, errors.As(err, &notSent))
	}
	_, err = get(t, c, "3")
	must.NoError(t, err)
	must.Eq(t, 2, calls.Load())
	must.Eq(t, 1, s.conns.Load())
}

// A server sends a second response to a call. If it arrives at once, the connection is not used
// again. If it arrives after the next call has been sent, it precedes that call's own response
// and must be skipped. No caller may receive the response to another call.
func TestSecondResponseIsDiscarded(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				previous := ""
				for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
					switch {
					case late && previous != "":
						fmt.Fprint(nc, okResponse(previous, previous)+okResponse(id, id))
					case late:
						fmt.Fprint(nc, okResponse(id, id))
					default:
						fmt.Fprint(nc, okResponse(id, id)+okResponse(id, id))
					}
					previous = id
				}
			})
			c := s.client(t)
			for _, id := range []string{"1", "2", "3"} {
				got, err := get(t, c, id)
				must.NoError(t, err)
				must.Eq(t, id, got)
			}
		})
	}
}

// Responses that are cut short, are not HTTP, or belong to another call are errors of a call
// that may have run.
func TestBadResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"cut in the body": fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 9\r\n\r\nabc", idHeader),
		"cut in the head": "HTTP/1.1 200 OK\r\nContent-Le",
		"cut in a chunk":  fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", idHeader),
		"not HTTP":        "\x00\x01\x02\r\n\r\n",
		"nothing":         "",
		"other call":      okResponse("7", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				if _, ok := readRequest(br); ok {
					fmt.Fprint(nc, raw)
				}
			})
			_, err := get(t, s.client(t), "1")
			must.Error(t, err)
			var notSent *NotSentError
			must.False(t, errors.As(err, &notSent))
		})
	}
}

// A response without a length ends when its connection is closed. If the connection is reset,
// the response is incomplete.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				id, _ := readRequest(br)
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nabc", idHeader, id)
				if reset {
					_ = nc.(*net.TCPConn).SetLinger(0)
				}
			})
			got, err := get(t, s.client(t), "1")
			must.Eq(t, reset, err != nil)
			if !reset {
				must.Eq(t, "abc", got)
			}
		})
	}
}

// A server responds to a long body before it has read it and keeps the connection open. The
// next call must not be sent on that connection, where the server expects the rest of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprint(nc, okResponse(r.Header.Get(idHeader), "early"))
		_, _ = io.Copy(io.Discard, br)
	})
	c := s.client(t)
	body, more := io.Pipe()
	defer more.Close()
	r := getRequest("1")
	r.Method, r.Body, r.Length = http.MethodPost, body, 1<<20
	resp, err := c.Do(t.Context(), r)
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	got, err := get(t, c, "2")
	must.NoError(t, err)
	must.Eq(t, "early", got)
	must.Eq(t, 2, s.conns.Load())
}

// A server rejects an upload before it has read it, keeps the connection open and reads the
// body a second later. The body fits into the TCP windows of the connection and looks sent. A
// call that is sent behind it is read only after the body, when its caller may have
// disconnected, or gets its response too late. When these connections were kept, a call started
// 0.99 s after it was sent and 0.73 s after its connection was closed, and 96 of 142 such
// rejections were followed by a call that failed on the connection.
func TestRejectionOfUnreadBodyClosesConnection(t *testing.T) {
	readOn := make(chan struct{})
	defer close(readOn)
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get(idHeader)
			if r.Method == http.MethodPost {
				fmt.Fprint(nc, unavailableResponse(id))
				<-readOn
				_, _ = io.Copy(io.Discard, r.Body)
				continue
			}
			fmt.Fprint(nc, okResponse(id, id))
		}
	})
	for _, length := range []int{1 << 10, maxDirectBody, 60 << 10} {
		t.Run(fmt.Sprint(length, " bytes"), func(t *testing.T) {
			c := s.client(t)
			r := getRequest("upload")
			r.Method, r.Body, r.Length = http.MethodPost, strings.NewReader(strings.Repeat("x", length)), int64(length)
			resp, err := c.Do(t.Context(), r)
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
			<-resp.Body.(*responseBody).writer.done
			_, err = io.ReadAll(resp.Body)
			must.NoError(t, err)
			got, err := get(t, c, "lookup")
			must.NoError(t, err, must.Sprint("a call behind unread bytes"))
			must.Eq(t, "lookup", got)
		})
	}
}

// A server that responds with success has read the body of the call, and a call without a body
// leaves nothing to read. Both connections are kept.
func TestConnectionIsKeptAfterCompleteRead(t *testing.T) {
	for name, test := range map[string]struct {
		method, body string
		response     func(id string) string
	}{
		"success with a body":      {http.MethodPost, strings.Repeat("x", 60<<10), func(id string) string { return okResponse(id, "") }},
		"rejection without a body": {http.MethodGet, "", unavailableResponse},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
					fmt.Fprint(nc, test.response(id))
				}
			})
			c := s.client(t)
			for i := range 3 {
				r := getRequest(fmt.Sprint(i))
				r.Method, r.Body, r.Length = test.method, strings.NewReader(test.body), int64(len(test.body))
				resp, err := c.Do(t.Context(), r)
				must.NoError(t, err)
				<-resp.Body.(*responseBody).writer.done
				_, err = io.ReadAll(resp.Body)
				must.NoError(t, err)
			}
			must.Eq(t, 1, s.conns.Load())
		})
	}
}

// Small, large and chunked bodies reach the server unchanged, and so do the path and the query.
func TestRequestIsSentUnchanged(t *testing.T) {
	type received struct{ target, body, te string }
	got := make(chan received, 1)
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b, _ := io.ReadAll(r.Body)
		got <- received{r.RequestURI, string(b), strings.Join(r.TransferEncoding, ",")}
		fmt.Fprint(nc, okResponse(r.Header.Get(idHeader), ""))
	})
	large := strings.Repeat("x", 200<<10)
	for _, c := range []struct {
		body, te string
		length   int64
	}{{"abc", "", 3}, {large, "", int64(len(large))}, {large, "chunked", -1}, {"", "", 0}} {
		r := getRequest("1")
		r.Method, r.Body, r.Length = http.MethodPost, strings.NewReader(c.body), c.length
		resp, err := s.client(t).Do(t.Context(), r)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, received{"/a%2Fb?c=%20d", c.body, c.te}, <-got)
	}
}

// A closed idle connection is detected before a byte is sent on it. A refused connection proves
// that the call has not run.
func TestNothingIsSentOnClosedConnection(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		if id, ok := readRequest(br); ok {
			fmt.Fprint(nc, okResponse(id, id))
		}
		_ = nc.Close()
		closed <- struct{}{}
	})
	c := s.client(t)
	for _, id := range []string{"1", "2"} {
		_, err := get(t, c, id)
		must.NoError(t, err)
		<-closed
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, ln.Close())
	_, err = get(t, New(Options{Address: ln.Addr().String()}), "1")
	var notSent *NotSentError
	must.True(t, errors.As(err, &notSent))
}

// Canceling a call closes its connection, so that the server can stop processing it.
func TestCanceledCallClosesConnection(t *testing.T) {
	began, gone := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		close(began)
		_, _ = br.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := s.client(t).Do(ctx, getRequest("1"))
	must.Error(t, err)
	<-gone
}
