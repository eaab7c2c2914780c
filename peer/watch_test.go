package peer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
)

// A session that keeps receiving data is not pinged: received data shows as much as a ping, and
// each ping wakes both daemons twice, which took 7% of their CPU time on small hosts under load.
// Once nothing is received any more the session is pinged, so that a broken one is still closed.
func TestSessionEntry_ReceivingSessionIsNotPinged(t *testing.T) {
	near, far := net.Pipe()
	server, err := yamux.Server(far, sessionConfig())
	must.NoError(t, err)
	defer server.Close()
	conn := &frameConn{Conn: near}
	sess, err := yamux.Client(conn, sessionConfig())
	must.NoError(t, err)
	defer sess.Close()
	_, err = sess.OpenStream()
	must.NoError(t, err)
	s := newSessionEntry(newRemote(netip.Addr{}, nil))
	s.sess.Store(sess)
	s.conn.Store(conn)

	silent := func(d time.Duration) { conn.lastRead.Store(int64(time.Since(clockStart) - d)) }
	silent(-time.Hour)
	must.Nil(t, s.sessionToPing())
	silent(checkInterval)
	must.NotNil(t, s.sessionToPing())
	must.Nil(t, s.sessionToPing(), must.Sprint("a ping is outstanding"))
}

// Any data read updates the time of the last receipt.
func TestFrameConn_ReadUpdatesLastRead(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	conn := &frameConn{Conn: near}
	conn.lastRead.Store(int64(time.Since(clockStart) - time.Hour))
	must.GreaterEq(t, time.Hour, conn.timeSinceRead())
	go func() {
		_, _ = far.Write([]byte{1})
		_ = far.Close()
	}()
	n, err := conn.Read(make([]byte, 1))
	must.NoError(t, err)
	must.Eq(t, 1, n)
	must.Less(t, time.Hour, conn.timeSinceRead())
}
