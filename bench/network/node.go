package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/standin/relay"
)

const (
	maxPacketBytes = 64 << 10
	dialTimeout    = 2 * time.Second
)

// node is the network's end of one host.
type node struct {
	network  *Network
	number   int
	host     Host
	listener net.Listener
	packets  *net.UDPConn
}

func newNode(n *Network, number int, h Host) (*node, error) {
	ln, err := net.Listen("tcp", h.Advertise.String())
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.Advertise))
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	return &node{network: n, number: number, host: h, listener: ln, packets: packets}, nil
}

// acceptLoop hands each connection to the relay of the host that it comes from.
func (nd *node) acceptLoop() error {
	for {
		conn, err := nd.listener.Accept()
		if err != nil {
			return nd.ended(err)
		}
		remote := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
		from := nd.network.sender(remote.Addr())
		if from < 0 {
			_ = conn.Close()
			continue
		}
		nd.network.line(pair{from, nd.number}).accept(conn)
	}
}

// packetLoop passes datagrams on. They leave from the sender's own address in
// the network, so that the receiver answers to it.
func (nd *node) packetLoop() error {
	buf := make([]byte, maxPacketBytes)
	for {
		size, addr, err := nd.packets.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nd.ended(err)
		}
		from := nd.network.sender(addr.Addr())
		if err != nil || from < 0 || nd.network.isCut(pair{from, nd.number}) {
			continue
		}
		_, _ = nd.network.nodes[from].packets.WriteToUDPAddrPort(buf[:size], nd.host.Listen)
	}
}

// ended is nil where the network itself was closed.
func (nd *node) ended(err error) error {
	if !nd.network.t.Alive() {
		return nil
	}
	return err
}

// line is the relay of the connections from one host to another.
type line struct {
	relay *relay.Relay
	conns chan net.Conn
	done  chan struct{}

	once sync.Once
	mu   sync.Mutex
	list map[net.Conn]struct{}
}

func newLine(target netip.AddrPort) *line {
	l := &line{conns: make(chan net.Conn), done: make(chan struct{}), list: map[net.Conn]struct{}{}}
	l.relay = relay.New(l, func(ctx context.Context) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		return d.DialContext(ctx, "tcp", target.String())
	})
	return l
}

// accept gives a connection to the relay.
func (l *line) accept(conn net.Conn) {
	tracked := &trackedConn{TCPConn: conn.(*net.TCPConn), line: l}
	l.mu.Lock()
	l.list[tracked] = struct{}{}
	l.mu.Unlock()
	select {
	case l.conns <- tracked:
	case <-l.done:
		_ = tracked.Close()
	}
}

// reset breaks the open connections.
func (l *line) reset() {
	l.mu.Lock()
	list := make([]net.Conn, 0, len(l.list))
	for c := range l.list {
		list = append(list, c)
	}
	l.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *line) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *line) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *line) Addr() net.Addr { return &net.TCPAddr{} }

// trackedConn leaves its line's list when it is closed.
type trackedConn struct {
	*net.TCPConn
	line *line
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.line.mu.Lock()
	delete(c.line.list, c)
	c.line.mu.Unlock()
	return c.TCPConn.Close()
}
