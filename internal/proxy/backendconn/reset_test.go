package backendconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// uploadBytes is more than the buffers of both ends of a connection hold.
const uploadBytes = 64 << 20

// zeros yields zeros without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// earlyResponder is a server that responds to a call without reading its body.
type earlyResponder struct {
	*server
	// end is closed to let the connection end.
	end chan struct{}
}

// serveEarly returns a server that sends a response to an upload at once, and whose connection ends as
// endConn does.
func serveEarly(t *testing.T, response string, endConn func(nc *net.TCPConn)) *earlyResponder {
	e := &earlyResponder{end: make(chan struct{})}
	e.server = serve(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprint(nc, response)
		<-e.end
		endConn(nc.(*net.TCPConn))
	})
	return e
}

// upload sends a call with a body and returns the head of the response.
func (e *earlyResponder) upload(t *testing.T, body io.Reader, length int64) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	t.Cleanup(cancel)
	r := getRequest("1")
	r.Method, r.Body, r.Length = http.MethodPost, body, length
	resp, err := e.client(t).Do(ctx, r)
	must.NoError(t, err)
	return resp
}

// reset closes a connection with a reset.
func reset(nc *net.TCPConn) {
	_ = nc.SetLinger(0)
	_ = nc.Close()
}

// withoutLength returns a response with a body whose end is the end of the connection.
func withoutLength(proto, text string) string {
	return fmt.Sprintf("%s 200 OK\r\n%s: 1\r\nConnection: close\r\n\r\n%s", proto, idHeader, text)
}

// Guards against taking the part of a response that arrived before a reset for the whole response, if the
// write of an upload gets the error of the reset and the read of the response does not.
func TestResponseWithoutLength_ResetDuringUpload(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for name, length := range map[string]int64{"length": uploadBytes, "chunks": -1} {
			t.Run(proto+" "+name, func(t *testing.T) {
				e := serveEarly(t, withoutLength(proto, "part"), reset)
				resp := e.upload(t, io.LimitReader(zeros{}, uploadBytes), length)
				close(e.end)
				writer := resp.Body.(*responseBody).writer
				<-writer.done
				must.ErrorIs(t, writer.err, syscall.ECONNRESET)
				got, err := io.ReadAll(resp.Body)
				must.Eq(t, "part", string(got))
				must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			})
		}
	}
}

// Guards against the loss of an early response that is whole: the server ends its side in an orderly way
// and either reads on, or does not read and resets the connection later.
func TestResponseWithoutLength_OrderlyEndDuringUpload(t *testing.T) {
	body, more := io.Pipe()
	t.Cleanup(func() { _ = more.Close() })
	for name, test := range map[string]struct {
		body    io.Reader
		endConn func(nc *net.TCPConn)
		// reset is whether endConn resets the connection after the end.
		reset bool
	}{
		"upload waits for its caller": {body: body, endConn: func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			_, _ = io.Copy(io.Discard, nc)
		}},
		"upload waits for the server": {body: zeros{}, endConn: func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			<-t.Context().Done()
		}},
		"reset later": {body: zeros{}, reset: true, endConn: func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			reset(nc)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e := serveEarly(t, withoutLength("HTTP/1.1", "whole"), test.endConn)
			resp := e.upload(t, io.LimitReader(test.body, uploadBytes), uploadBytes)
			close(e.end)
			if test.reset {
				writer := resp.Body.(*responseBody).writer
				<-writer.done
				must.Error(t, writer.err)
				must.False(t, errors.Is(writer.err, syscall.ECONNRESET))
			}
			got, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, "whole", string(got))
		})
	}
}
