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

// A caller connects just before the daemon stops accepting, and sends its request afterwards.
// Guards against closing the connection with the listener, which would reset it under the request.
func TestDaemon_ServesConnectionAcceptedBeforeDrain(t *testing.T) {
	f := newFleetWithBackend(t, 2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	d := f.daemons[0]
	d.linger = waitLimit
	addr := d.ln.callers.Addr().String()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	d.stop()
	f.waitRefusesConnections(addr)
	_, err = fmt.Fprintf(conn, "GET /signs/1 HTTP/1.1\r\nHost: x\r\nX-Customer: garage\r\n\r\n")
	must.NoError(t, err)
	mustServeLast(t, conn)
}

// A caller is still sending the header of its request when everything else has ended in a drain.
// The request then takes longer than the listeners get to close. Guards against aborting it after
// it has reached its backend server.
func TestDaemon_RequestThatBeginsLastIsAnswered(t *testing.T) {
	f := newFleetWithBackend(t, 2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(4 * closeTimeout) }))
	d := f.daemons[0]
	d.linger = 0
	addr := d.ln.callers.Addr().String()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /signs/1 HTTP/1.1\r\nHost: x\r\n")
	must.NoError(t, err)
	d.stop()
	f.waitRefusesConnections(addr)
	_, err = fmt.Fprintf(conn, "X-Customer: garage\r\n\r\n")
	must.NoError(t, err)
	mustServeLast(t, conn)
}

// waitRefusesConnections waits until no listener accepts connections at an address.
func (f *testFleet) waitRefusesConnections(addr string) {
	f.t.Helper()
	f.eventually("connections are no longer accepted", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

// mustServeLast asserts that the next response on a connection is a success and closes it.
func mustServeLast(t *testing.T, conn net.Conn) {
	t.Helper()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, resp.Close)
}
