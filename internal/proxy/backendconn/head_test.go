package backendconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// expectNoResponse sends a call to a server that sends raw bytes and keeps the connection open, and checks
// that the call fails without waiting for more, is not reported as not sent, and ends its connection.
func expectNoResponse(t *testing.T, raw string) {
	t.Helper()
	closed := make(chan struct{})
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_, _ = io.WriteString(nc, raw)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	_, err := s.client(t).Do(ctx, getRequest("1"))
	must.ErrorIs(t, err, errNotHTTP)
	var notSent *NotSentError
	must.False(t, errors.As(err, &notSent))
	must.NoError(t, ctx.Err())
	<-closed
}

// Guards against calls that wait until their deadline, or receive another response, after a response whose
// status is no status of a final or interim response.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "-99", "101", "600", "999", "0", "20", "2000", "2x0", ""} {
		t.Run(status, func(t *testing.T) {
			raw := fmt.Sprintf("HTTP/1.1 %s Oops\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, idHeader)
			expectNoResponse(t, raw)
			expectNoResponse(t, raw+okResponse("1", "next"))
		})
	}
}

// Guards against the rejection of valid statuses.
func TestValidStatus(t *testing.T) {
	for _, status := range []int{200, 299, 404, 421, 599} {
		s := serve(t, func(nc net.Conn, br *bufio.Reader) {
			id, _ := readRequest(br)
			fmt.Fprintf(nc, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			fmt.Fprintf(nc, "HTTP/1.1 %d\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, idHeader, id)
		})
		resp, err := s.client(t).Do(t.Context(), getRequest("1"))
		must.NoError(t, err)
		must.Eq(t, status, resp.StatusCode)
		must.NoError(t, resp.Body.Close())
	}
}
