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
	idField   = "Request-Id"
	waitLimit = 10 * time.Second
)

// server is a backend server that behaves as script says on each connection.
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
	c := New(Options{Address: s.addr, RequestIDHeader: idField})
	t.Cleanup(c.Close)
	return c
}

// readRequest reads a request with its body and returns its id.
func readRequest(br *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idField), err == nil
}

func reply(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nKeep-Alive: timeout=8\r\nContent-Length: %d\r\n\r\n%s", idField, id, len(text), text)
}

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nKeep-Alive: timeout=8\r\nContent-Length: 0\r\n\r\n", idField, id)
}

func call(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a%2Fb?c=%20d", Host: "h", Header: http.Header{idField: {id}}}
}

// get makes a call and returns the body of its answer.
func get(t *testing.T, c *Client, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	resp, err := c.Do(ctx, call(id))
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
			fmt.Fprint(nc, reply(id, id))
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

// Guards against sending calls on kept connections whose callers have left.
func TestCallWhoseContextHasEndedIsNotSent(t *testing.T) {
	var calls atomic.Int64
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			calls.Add(1)
			fmt.Fprint(nc, reply(id, id))
		}
	})
	c := s.client(t)
	_, err := get(t, c, "1")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		_, err := c.Do(ctx, call("2"))
		var notSent *NotSentError
		must.True(t, errors.As(err, &notSent))
	}
	_, err = get(t, c, "3")
	must.NoError(t, err)
	must.Eq(t, 2, calls.Load())
	must.Eq(t, 1, s.conns.Load())
}

// The server sends a second answer to a call. If it comes at once, the connection is
// not used again; if it comes when the next call has been sent, it stands before
// that call's own answer and is passed over. No caller gets another one's answer.
func TestSecondAnswerReachesNobody(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				previous := ""
				for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
					switch {
					case late && previous != "":
						fmt.Fprint(nc, reply(previous, previous)+reply(id, id))
					case late:
						fmt.Fprint(nc, reply(id, id))
					default:
						fmt.Fprint(nc, reply(id, id)+reply(id, id))
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

// Answers that break off, are no HTTP, or belong to another call are errors of a
// call that may have run.
func TestBadAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"cut in the body": fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 9\r\n\r\nabc", idField),
		"cut in the head": "HTTP/1.1 200 OK\r\nContent-Le",
		"cut in a chunk":  fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", idField),
		"no HTTP":         "\x00\x01\x02\r\n\r\n",
		"nothing":         "",
		"another's":       reply("7", "x"),
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

// An answer without a length ends with its connection. One whose connection is reset
// has not come whole.
func TestUnframedAnswer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				id, _ := readRequest(br)
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nabc", idField, id)
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

// The server answers a long body before it has read it and keeps the connection. The
// next call must not go where the rest of that body is due.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprint(nc, reply(r.Header.Get(idField), "early"))
		_, _ = io.Copy(io.Discard, br)
	})
	c := s.client(t)
	body, more := io.Pipe()
	defer more.Close()
	r := call("1")
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

// The server turns an upload away before it has read it, keeps the connection and reads
// on a second later. The body fits into the connection's windows and looks sent. A call
// sent behind it reaches the server only then, for a caller that has left, or gets no
// answer in time. Seen: a call 0.99 s after it was sent, 0.73 s after its connection was
// closed; of 142 such refusals 96 were followed by a call that failed on the connection.
func TestRefusalOfAnUnreadBodyEndsTheConnection(t *testing.T) {
	readOn := make(chan struct{})
	defer close(readOn)
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get(idField)
			if r.Method == http.MethodPost {
				fmt.Fprint(nc, refusal(id))
				<-readOn
				_, _ = io.Copy(io.Discard, r.Body)
				continue
			}
			fmt.Fprint(nc, reply(id, id))
		}
	})
	for _, length := range []int{1 << 10, directBytes, 60 << 10} {
		t.Run(fmt.Sprint(length, " bytes"), func(t *testing.T) {
			c := s.client(t)
			r := call("upload")
			r.Method, r.Body, r.Length = http.MethodPost, strings.NewReader(strings.Repeat("x", length)), int64(length)
			resp, err := c.Do(t.Context(), r)
			must.NoError(t, err)
			must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
			<-resp.Body.(*answerBody).up.done
			_, err = io.ReadAll(resp.Body)
			must.NoError(t, err)
			got, err := get(t, c, "lookup")
			must.NoError(t, err, must.Sprint("a call behind unread bytes"))
			must.Eq(t, "lookup", got)
		})
	}
}

// A server has read the body of a call that it answers with success, and nothing is left
// to read of a call without a body: their connections are kept.
func TestConnectionIsKeptBehindWhatWasRead(t *testing.T) {
	for name, test := range map[string]struct {
		method, body string
		answer       func(id string) string
	}{
		"success with a body":    {http.MethodPost, strings.Repeat("x", 60<<10), func(id string) string { return reply(id, "") }},
		"refusal without a body": {http.MethodGet, "", refusal},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(nc net.Conn, br *bufio.Reader) {
				for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
					fmt.Fprint(nc, test.answer(id))
				}
			})
			c := s.client(t)
			for range 3 {
				r := call("1")
				r.Method, r.Body, r.Length = test.method, strings.NewReader(test.body), int64(len(test.body))
				resp, err := c.Do(t.Context(), r)
				must.NoError(t, err)
				<-resp.Body.(*answerBody).up.done
				_, err = io.ReadAll(resp.Body)
				must.NoError(t, err)
			}
			must.Eq(t, 1, s.conns.Load())
		})
	}
}

// Bodies with a length, large ones and those of unknown length reach the server as
// they are, and so do path and query.
func TestRequestIsPassedOnAsItIs(t *testing.T) {
	type seen struct{ target, body, te string }
	got := make(chan seen, 1)
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b, _ := io.ReadAll(r.Body)
		got <- seen{r.RequestURI, string(b), strings.Join(r.TransferEncoding, ",")}
		fmt.Fprint(nc, reply(r.Header.Get(idField), ""))
	})
	large := strings.Repeat("x", 200<<10)
	for _, c := range []struct {
		body, te string
		length   int64
	}{{"abc", "", 3}, {large, "", int64(len(large))}, {large, "chunked", -1}, {"", "", 0}} {
		r := call("1")
		r.Method, r.Body, r.Length = http.MethodPost, strings.NewReader(c.body), c.length
		resp, err := s.client(t).Do(t.Context(), r)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, seen{"/a%2Fb?c=%20d", c.body, c.te}, <-got)
	}
}

// The server has closed a kept connection, or is gone. The first shows before a byte
// is sent; the second proves that the call has not run.
func TestNothingIsSentToAClosedConnection(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		if id, ok := readRequest(br); ok {
			fmt.Fprint(nc, reply(id, id))
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

// A caller that goes away closes the connection, so that the server can stop.
func TestCanceledCallClosesItsConnection(t *testing.T) {
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
	_, err := s.client(t).Do(ctx, call("1"))
	must.Error(t, err)
	<-gone
}
