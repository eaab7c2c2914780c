package backendconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
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

// Guards against a response whose fields are read in another way than its server meant them, so that the
// caller receives another body, or fields that are none.
func TestInvalidFieldName(t *testing.T) {
	for _, line := range []string{
		"X Y: 1", "X : 1", "X\t: 1", ": 1", " : 1", "X", "X\x00: 1", "\x01X: 1", "X\x0b: 1", "X\x7f: 1", "X\x80: 1", "X(Y): 1", "X\rY: 1",
		"Content-Length : 4", "Content Length: 4", "Content-Length\t: 4", "Transfer-Encoding : chunked",
		// Continuations of the line before.
		" X: 1", "\tX: 1", " Content-Length: 4", " ", "\t",
		idHeader + " : 1",
	} {
		for name, lines := range map[string]string{
			"first":  "%s\r\n" + idHeader + ": 1\r\n",
			"middle": idHeader + ": 1\r\n%s\r\nX-Last: 1\r\n",
			"last":   idHeader + ": 1\r\n%s\r\n",
			"LF":     idHeader + ": 1\r\n%s\nX-Last: 1\n",
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				expectNoResponse(t, "HTTP/1.1 200 OK\r\n"+fmt.Sprintf(lines, line)+"\r\n4\r\nbody\r\n0\r\n\r\n")
			})
		}
	}
}

// Guards against a caller that receives the framing of the chunks as part of the body: HTTP/1.0 has no
// transfer encodings, and http.ReadResponse ignores the field.
func TestTransferEncodingInHTTP10(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding: identity"} {
		expectNoResponse(t, fmt.Sprintf("HTTP/1.0 200 OK\r\n%s: 1\r\n%s\r\n\r\n4\r\nbody\r\n0\r\n\r\n", idHeader, field))
	}
}

// Guards against forwarding fields that apply to this connection only: http.ReadResponse removes the field
// that names them if it contains "close".
func TestConnectionFieldIsKept(t *testing.T) {
	for _, values := range [][]string{{"X-Hop"}, {"close"}, {"close, X-Hop"}, {"X-Hop", "close"}} {
		s := serve(t, func(nc net.Conn, br *bufio.Reader) {
			id, _ := readRequest(br)
			lines := "Connection: " + strings.Join(values, "\r\nconnection:  ")
			_, _ = io.WriteString(nc, strings.Replace(okResponse(id, ""), "\r\n", "\r\n"+lines+"\r\n", 1))
		})
		resp, err := s.client(t).Do(t.Context(), getRequest("1"))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, values, resp.Header["Connection"])
	}
}

// Guards against the loss of bytes behind a head that does not fit into the read buffer.
func TestLargeHead(t *testing.T) {
	field := "X-Long: " + strings.Repeat("x", 2*bufferSize) + "\r\n"
	s := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(nc, strings.Replace(okResponse(id, id+" body"), "\r\n", "\r\n"+field, 1))
		}
	})
	c := s.client(t)
	for i := range 3 {
		id := fmt.Sprint(i)
		got, err := get(t, c, id)
		must.NoError(t, err)
		must.Eq(t, id+" body", got)
	}
	must.Eq(t, 1, s.conns.Load())
}
