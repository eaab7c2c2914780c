package network

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// silence is how long a test waits to see that nothing comes. It can only make
// a test pass that should fail, never the other way round.
const silence = 100 * time.Millisecond

// host is a host of a test: it answers each line and each datagram.
type host struct {
	Host
	listener net.Listener
	packets  *net.UDPConn
}

func newHost(t *testing.T, name string, ip byte) *host {
	addr := netip.AddrFrom4([4]byte{127, 77, 0, ip})
	ln, err := net.Listen("tcp", netip.AddrPortFrom(addr, 0).String())
	must.NoError(t, err)
	listen := ln.Addr().(*net.TCPAddr).AddrPort()
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	must.NoError(t, err)
	h := &host{
		Host:     Host{Name: name, Listen: listen, Advertise: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 78, 0, ip}), listen.Port())},
		listener: ln, packets: packets,
	}
	t.Cleanup(func() { _, _ = ln.Close(), packets.Close() })
	go h.answerLines()
	return h
}

func (h *host) answerLines() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			for s := bufio.NewScanner(conn); s.Scan(); {
				_, _ = fmt.Fprintln(conn, s.Text()+" "+h.Name)
			}
			_ = conn.Close()
		}()
	}
}

// connect opens a connection from a host to another's address in the network.
func connect(t *testing.T, from, to *host) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.Listen.Addr().AsSlice()}}
	conn, err := d.DialContext(t.Context(), "tcp", to.Advertise.String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a line and returns the answer, empty where none comes.
func ask(t *testing.T, conn net.Conn, wait time.Duration) string {
	_, _ = fmt.Fprintln(conn, "hello")
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}

// send sends a datagram and returns who it came from at the receiver, invalid
// where it does not come.
func send(t *testing.T, from, to *host, wait time.Duration) netip.AddrPort {
	_, err := from.packets.WriteToUDPAddrPort([]byte("hello"), to.Advertise)
	must.NoError(t, err)
	must.NoError(t, to.packets.SetReadDeadline(time.Now().Add(wait)))
	_, addr, _ := to.packets.ReadFromUDPAddrPort(make([]byte, 10))
	return addr
}

func TestNetwork(t *testing.T) {
	a, b := newHost(t, "a", 1), newHost(t, "b", 2)
	n, err := New([]Host{a.Host, b.Host})
	must.NoError(t, err)
	defer func() { must.NoError(t, n.Close()) }()

	ab, ba := connect(t, a, b), connect(t, b, a)
	must.Eq(t, "hello b\n", ask(t, ab, time.Minute))
	must.Eq(t, "hello a\n", ask(t, ba, time.Minute))
	must.Eq(t, a.Advertise, send(t, a, b, time.Minute))
	must.Eq(t, b.Advertise, send(t, b, a, time.Minute))

	// One way: neither a's questions nor a's answers reach b.
	n.CutWay("a", "b")
	must.Eq(t, "", ask(t, ab, silence))
	must.Eq(t, "", ask(t, ba, silence))
	must.False(t, send(t, a, b, silence).IsValid())
	must.Eq(t, b.Advertise, send(t, b, a, time.Minute))
	must.Eq(t, "", ask(t, connect(t, a, b), silence))

	// Healed: what has lost bytes stays silent, new connections work.
	n.Heal()
	must.Eq(t, "", ask(t, ab, silence))
	must.Eq(t, a.Advertise, send(t, a, b, time.Minute))
	ab = connect(t, a, b)
	must.Eq(t, "hello b\n", ask(t, ab, time.Minute))

	n.Forget()
	must.Eq(t, "", ask(t, ab, silence))
	ab = connect(t, a, b)
	must.Eq(t, "hello b\n", ask(t, ab, time.Minute))

	n.Reset()
	must.NoError(t, ab.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = ab.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, "hello b\n", ask(t, connect(t, a, b), time.Minute))
}
