package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A caller has just connected when the daemon ends: it sends its request when
// nobody else is let in any more. It must get its answer. Closed with the
// listener, the connection would be reset under the request.
func TestDaemon_LastConnectionIsServed(t *testing.T) {
	f := setUp(t, 2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	d := f.daemons[0]
	d.linger = waitLimit
	addr := d.ln.callers.Addr().String()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	d.stop()
	f.eventually("no more callers are let in", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	_, err = fmt.Fprintf(conn, "GET /signs/1 HTTP/1.1\r\nHost: x\r\nX-Customer: garage\r\n\r\n")
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, resp.Close)
}

// A caller is still sending the header of its request when all else has ended at a
// drain. Its request begins then, and takes longer than the listeners get to close: it
// must be answered all the same. Cut off, it has reached its backend server for nothing.
func TestDaemon_RequestThatBeginsLastIsAnswered(t *testing.T) {
	f := setUp(t, 2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(4 * closeTimeout) }))
	d := f.daemons[0]
	d.linger = 0
	addr := d.ln.callers.Addr().String()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /signs/1 HTTP/1.1\r\nHost: x\r\n")
	must.NoError(t, err)
	d.stop()
	f.eventually("no more callers are let in", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	_, err = fmt.Fprintf(conn, "X-Customer: garage\r\n\r\n")
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, resp.Close)
}
