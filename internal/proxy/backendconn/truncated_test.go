package backendconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against taking a part of a response for a whole one, wherever its server stops: in the status line,
// in the fields, in the body, closed or reset, with and without an upload on its way.
func TestTruncatedResponse(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\n", idHeader)
	for name, whole := range map[string]string{
		"length": head + "Content-Length: 4\r\n\r\nbody",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n",
		"empty":  head + "Content-Length: 0\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head +
			"Content-Length: 4\r\n\r\nbody",
		"without length": head + "X-Last: 1\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for _, length := range []int64{0, 1 << 10, 1 << 20} {
				t.Run(fmt.Sprintf("%s reset %v upload %d", name, reset, length), func(t *testing.T) {
					for cut := range len(whole) {
						must.Error(t, truncatedCall(t, whole[:cut], reset, length), must.Sprintf("%q", whole[:cut]))
					}
				})
			}
		}
	}
}

// truncatedCall sends an upload to a server that sends the given bytes and ends the connection. It returns nil
// if there is a complete response.
func truncatedCall(t *testing.T, part string, reset bool, length int64) error {
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, part)
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = nc.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, br)
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	r := getRequest("1")
	r.Method, r.Body, r.Length = http.MethodPost, strings.NewReader(strings.Repeat("x", int(length))), length
	resp, err := s.client(t).Do(ctx, r)
	if err != nil {
		must.NoError(t, ctx.Err())
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
