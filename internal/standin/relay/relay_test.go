package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// pipeListener hands out one end of a pipe for each connection made to it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

func (l *pipeListener) connect() net.Conn {
	a, b := net.Pipe()
	l.conns <- b
	return a
}

// end is one end of a connection; it collects what arrives.
type end struct {
	net.Conn
	got    []byte
	closed bool
}

func collect(c net.Conn) *end {
	e := &end{Conn: c}
	go func() {
		buf := make([]byte, 64)
		for {
			n, err := c.Read(buf)
			e.got = append(e.got, buf[:n]...)
			if err != nil {
				e.closed = true
				return
			}
		}
	}()
	return e
}

func (e *end) send(t *testing.T, s string) {
	_, err := io.WriteString(e.Conn, s)
	must.NoError(t, err)
	synctest.Wait()
}

type bench struct {
	relay   *Relay
	ln      *pipeListener
	targets chan net.Conn
}

func newBench() *bench {
	b := &bench{ln: newPipeListener(), targets: make(chan net.Conn, 1)}
	b.relay = New(b.ln, func(context.Context) (net.Conn, error) {
		near, far := net.Pipe()
		b.targets <- far
		return near, nil
	})
	return b
}

func (b *bench) connect() (caller, target *end) {
	caller = collect(b.ln.connect())
	return caller, collect(<-b.targets)
}

// One direction goes silent: what is sent that way does not arrive and nothing
// closes, the other direction works on. After healing, what was held back
// arrives first and in order. Closing ends also what is held back.
func TestSilentOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		caller, target := b.connect()
		caller.send(t, "a")
		b.relay.SetMode(ToTarget, Silent)
		caller.send(t, "b")
		target.send(t, "x")
		must.Eq(t, "a", string(target.got))
		must.Eq(t, "x", string(caller.got))
		b.relay.SetMode(ToTarget, Pass)
		caller.send(t, "c")
		must.Eq(t, "abc", string(target.got))
		must.False(t, target.closed || caller.closed)
		b.relay.SetMode(ToTarget, Silent)
		caller.send(t, "d")
		must.NoError(t, b.relay.Close())
	})
}

// Bytes are lost, then the network heals. A stream with a gap must not come
// back to life; only a new connection works.
func TestDropIsForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		caller, target := b.connect()
		b.relay.SetMode(ToTarget, Drop)
		caller.send(t, "a")
		b.relay.SetMode(ToTarget, Pass)
		caller.send(t, "b")
		must.Eq(t, "", string(target.got))
		caller2, target2 := b.connect()
		caller2.send(t, "c")
		must.Eq(t, "c", string(target2.got))
		must.NoError(t, b.relay.Close())
	})
}

// The open connection is forgotten in both directions, and even its end is not
// seen at the far side. A connection made afterwards works.
func TestForgetOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		caller, target := b.connect()
		synctest.Wait()
		b.relay.ForgetOpen()
		caller.send(t, "a")
		target.send(t, "x")
		must.NoError(t, caller.Close())
		synctest.Wait()
		must.Eq(t, "", string(target.got)+string(caller.got))
		must.False(t, target.closed)
		caller2, target2 := b.connect()
		caller2.send(t, "c")
		must.Eq(t, "c", string(target2.got))
		must.Eq(t, 2, b.relay.Connections())
		must.NoError(t, b.relay.Close())
		synctest.Wait()
		must.True(t, target.closed && target2.closed)
	})
}

// In pass mode an end is passed on like the bytes before it, also half-closed
// over TCP.
func TestPassesTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	r, err := Listen(ln.Addr().String())
	must.NoError(t, err)
	defer r.Close()
	caller, err := net.Dial("tcp", r.Addr().String())
	must.NoError(t, err)
	defer caller.Close()
	target, err := ln.Accept()
	must.NoError(t, err)
	defer target.Close()
	_, err = io.WriteString(caller, "question")
	must.NoError(t, err)
	must.NoError(t, caller.(*net.TCPConn).CloseWrite())
	asked, err := io.ReadAll(target)
	must.NoError(t, err)
	must.Eq(t, "question", string(asked))
	_, err = io.WriteString(target, "answer")
	must.NoError(t, err)
	must.NoError(t, target.Close())
	answered, err := io.ReadAll(caller)
	must.NoError(t, err)
	must.Eq(t, "answer", string(answered))
}

// One connection is cut behind so many bytes; the next ones pass whole.
func TestCutAfter(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	r, err := Listen(ln.Addr().String())
	must.NoError(t, err)
	defer r.Close()
	r.CutAfter(4)
	for _, want := range []string{"answ", "answer"} {
		caller, err := net.Dial("tcp", r.Addr().String())
		must.NoError(t, err)
		target, err := ln.Accept()
		must.NoError(t, err)
		_, err = io.WriteString(target, "answer")
		must.NoError(t, err)
		must.NoError(t, target.Close())
		got, err := io.ReadAll(caller)
		must.NoError(t, err)
		must.Eq(t, want, string(got))
		must.NoError(t, caller.Close())
	}
}
