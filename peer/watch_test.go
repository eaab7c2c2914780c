package peer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
)

// A call takes a while, and its session carries answers all the time. Each ping woke both
// daemons twice, and pings were 7% of their processor on narrow hosts under load; bytes that
// come tell as much. Once nothing comes any more the session is pinged, so that one whose
// ends have lost each other is still given up.
func TestSlot_SessionThatBringsBytesIsNotPinged(t *testing.T) {
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
	s := newSlot(newRemote(netip.Addr{}, nil))
	s.sess.Store(sess)
	s.conn.Store(conn)

	silent := func(d time.Duration) { conn.heard.Store(int64(time.Since(clockBegan) - d)) }
	silent(-time.Hour)
	must.Nil(t, s.busy())
	silent(watchInterval)
	must.NotNil(t, s.busy())
	must.Nil(t, s.busy(), must.Sprint("a ping is out"))
}

// What a read brings counts as heard.
func TestFrameConn_ReadIsHeard(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	conn := &frameConn{Conn: near}
	conn.heard.Store(int64(time.Since(clockBegan) - time.Hour))
	must.GreaterEq(t, time.Hour, conn.silentFor())
	go func() {
		_, _ = far.Write([]byte{1})
		_ = far.Close()
	}()
	n, err := conn.Read(make([]byte, 1))
	must.NoError(t, err)
	must.Eq(t, 1, n)
	must.Less(t, time.Hour, conn.silentFor())
}
