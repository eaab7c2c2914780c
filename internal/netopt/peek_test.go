package netopt

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// connect returns both ends of a loopback connection.
func connect(tb testing.TB) (dialed, accepted net.Conn) {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tb, err)
	defer ln.Close()
	dialed, err = net.Dial("tcp", ln.Addr().String())
	must.NoError(tb, err)
	accepted, err = ln.Accept()
	must.NoError(tb, err)
	tb.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed, accepted
}

// eventually waits until Peek returns want, since the kernel delivers data and resets asynchronously.
func eventually(t *testing.T, want Input, conn net.Conn) {
	t.Helper()
	for range 1000 {
		if Peek(conn) == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, want, Peek(conn))
}

func TestPeek(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			dialed, accepted := connect(t)
			must.Eq(t, NoInput, Peek(accepted))
			_, err := dialed.Write([]byte("x"))
			must.NoError(t, err)
			eventually(t, MoreInput, accepted)
			eventually(t, MoreInput, accepted)
			_, err = accepted.Read(make([]byte, 1))
			must.NoError(t, err)
			must.Eq(t, NoInput, Peek(accepted))
			if reset {
				must.NoError(t, dialed.(*net.TCPConn).SetLinger(0))
			}
			must.NoError(t, dialed.Close())
			eventually(t, InputEnded, accepted)
			must.NoError(t, accepted.Close())
			must.Eq(t, InputEnded, Peek(accepted))
		})
	}
	one, other := net.Pipe()
	defer other.Close()
	must.Eq(t, InputUnknown, Peek(one))
}

// Peek must not block while another goroutine is blocked in a read of the connection.
func TestPeekWhileAnotherReads(t *testing.T) {
	dialed, accepted := connect(t)
	read := make(chan error)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		read <- err
	}()
	for range 100 {
		must.Eq(t, NoInput, Peek(accepted))
	}
	_, err := dialed.Write([]byte("x"))
	must.NoError(t, err)
	must.NoError(t, <-read)
}

// Peek is called for each request. It costs one system call.
func BenchmarkPeek(b *testing.B) {
	_, accepted := connect(b)
	b.ReportAllocs()
	for b.Loop() {
		Peek(accepted)
	}
}
