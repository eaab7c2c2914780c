package backendconn

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// attemptHeader tells the attempts of a request apart, which have the same request ID.
const attemptHeader = "Attempt"

// attemptResponse returns a response with a status whose body names the attempt that it belongs to.
func attemptResponse(status int, id, attempt string, chunked bool) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nKeep-Alive: timeout=8\r\n", status, http.StatusText(status), idHeader, id)
	if chunked {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(attempt), attempt)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(attempt), attempt)
}

// repeatingServer sends some responses a second time, where the next response on the connection is
// expected.
type repeatingServer struct {
	status  func() int
	chunked func() bool
	repeats func() bool
}

func (s repeatingServer) serve(nc net.Conn, br *bufio.Reader) {
	late := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		response := attemptResponse(s.status(), r.Header.Get(idHeader), r.Header.Get(attemptHeader), s.chunked())
		fmt.Fprint(nc, late+response)
		late = ""
		if s.repeats() {
			late = response
		}
	}
}

// attempt sends an attempt of a request and returns the attempt that the response belongs to.
func attempt(t *testing.T, c *Client, id, attempt string) string {
	t.Helper()
	r := getRequest(id)
	r.Method = http.MethodDelete
	r.Header.Set(attemptHeader, attempt)
	resp, err := c.Do(t.Context(), r)
	must.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return string(b)
}

// Guards against a late second response to one attempt of a request that is taken for the response to
// the next attempt: a rejection of the first one, while the second one runs.
func TestSecondResponseToEarlierAttemptIsNotTaken(t *testing.T) {
	for _, status := range []int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout,
		http.StatusInternalServerError, http.StatusOK,
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(status, " chunked ", chunked), func(t *testing.T) {
				s := serve(t, repeatingServer{
					status: func() int { return status }, chunked: func() bool { return chunked }, repeats: func() bool { return true },
				}.serve)
				c := s.client(t)
				for _, want := range []string{"first", "second", "third"} {
					must.Eq(t, want, attempt(t, c, "1", want))
				}
			})
		}
	}
}

// Guards against any response to another attempt or call, in random series of concurrent requests
// with up to three attempts, some of them without an ID, on a server that repeats a third of its
// responses.
func TestRepeatedResponses_Property(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 1))
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(n)
			}
			s := serve(t, repeatingServer{
				status: func() int {
					return []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusInternalServerError}[draw(3)]
				},
				chunked: func() bool { return draw(4) == 0 },
				repeats: func() bool { return draw(3) == 0 },
			}.serve)
			c := s.client(t)
			var wg sync.WaitGroup
			for caller := range 6 {
				wg.Go(func() {
					for request := range 60 {
						id := fmt.Sprint(caller, "-", request)
						if draw(20) == 0 {
							id = ""
						}
						for n := range 1 + draw(3) {
							want := fmt.Sprint(caller, "-", request, " attempt ", n)
							if got := attempt(t, c, id, want); got != want {
								t.Errorf("the response to %q was taken for that to %q", got, want)
								return
							}
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// Guards against a connection per call at a server that rejects every second attempt: each caller
// needs one connection more than it has attempts in progress, and opens few others.
func TestRejectingServerGetsFewConnections(t *testing.T) {
	const callers, requests = 8, 500
	var mu sync.Mutex
	rejected := map[string]bool{}
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			id, ok := readRequest(br)
			if !ok {
				return
			}
			mu.Lock()
			first := !rejected[id]
			rejected[id] = true
			mu.Unlock()
			if first {
				fmt.Fprint(nc, unavailableResponse(id))
			} else {
				fmt.Fprint(nc, okResponse(id, ""))
			}
		}
	})
	c := s.client(t)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for request := range requests {
				for range 2 {
					if _, err := get(t, c, fmt.Sprint(caller, "-", request)); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	wg.Wait()
	const calls = 2 * callers * requests
	t.Logf("%d connections for %d calls", s.conns.Load(), calls)
	must.LessEq(t, 2*callers+calls/maxRequestIDs, int(s.conns.Load()))
}
