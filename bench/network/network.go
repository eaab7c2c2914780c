// Package network stands between the daemons of a trial: each is told to the
// others under an address of the network's, which passes on what it gets until
// it is told to fail. It tells hosts apart by the address that they send from,
// so a cut can be between any two, and one way only.
package network

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/internal/standin/relay"
)

// Host is one host's address for the other daemons, by TCP and UDP.
type Host struct {
	Name string
	// Listen is where its daemon listens and what it sends from.
	Listen netip.AddrPort
	// Advertise is what the others are told.
	Advertise netip.AddrPort
}

// Network passes on streams and datagrams between hosts. It is safe for
// concurrent use.
type Network struct {
	t     tomb.Tomb
	nodes []*node

	mu sync.Mutex
	// cut holds the pairs of which the first cannot reach the second.
	cut map[pair]bool
	// lines are the relays in use, by who connects to whom.
	lines map[pair]*line
}

// pair is one direction between two hosts, by their numbers.
type pair struct{ from, to int }

// New starts a network between hosts.
func New(hosts []Host) (*Network, error) {
	n := &Network{cut: map[pair]bool{}, lines: map[pair]*line{}}
	for i, h := range hosts {
		nd, err := newNode(n, i, h)
		if err != nil {
			n.closeNodes()
			return nil, errors.Wrap(err, h.Name)
		}
		n.nodes = append(n.nodes, nd)
	}
	for _, nd := range n.nodes {
		n.t.Go(nd.acceptLoop)
		n.t.Go(nd.packetLoop)
	}
	return n, nil
}

// Close ends the network and all connections through it.
func (n *Network) Close() error {
	n.t.Kill(nil)
	n.closeNodes()
	err := n.t.Wait()
	for _, l := range n.open() {
		_ = l.relay.Close()
	}
	return err
}

func (n *Network) closeNodes() {
	for _, nd := range n.nodes {
		_ = nd.listener.Close()
		_ = nd.packets.Close()
	}
}

// CutWay loses all that a host sends to another; the way back stays. Neither is
// told.
func (n *Network) CutWay(from, to string) { n.set(n.number(from), n.number(to), true) }

// Cut loses everything between two groups of hosts, both ways.
func (n *Network) Cut(group, others []string) {
	for _, a := range group {
		for _, b := range others {
			n.CutWay(a, b)
			n.CutWay(b, a)
		}
	}
}

// Heal ends all cuts. Connections that have lost bytes stay silent for good; new
// ones work.
func (n *Network) Heal() {
	n.mu.Lock()
	cut := n.cut
	n.cut = map[pair]bool{}
	n.mu.Unlock()
	for p := range cut {
		n.apply(p, relay.Pass)
	}
}

// Forget makes all open connections go silent for good while new ones work, as
// a device in between does that has lost its table.
func (n *Network) Forget() {
	for _, l := range n.open() {
		l.relay.ForgetOpen()
	}
}

// Reset breaks all open connections.
func (n *Network) Reset() {
	for _, l := range n.open() {
		l.reset()
	}
}

func (n *Network) number(name string) int {
	return slices.IndexFunc(n.nodes, func(nd *node) bool { return nd.host.Name == name })
}

func (n *Network) set(from, to int, cut bool) {
	if from < 0 || to < 0 || from == to {
		return
	}
	p := pair{from, to}
	n.mu.Lock()
	n.cut[p] = cut
	n.mu.Unlock()
	n.apply(p, relay.Drop)
}

// apply sets the mode of one direction on the lines of both who may have
// connected.
func (n *Network) apply(p pair, m relay.Mode) {
	n.mu.Lock()
	forth, back := n.lines[p], n.lines[pair{p.to, p.from}]
	n.mu.Unlock()
	if forth != nil {
		forth.relay.SetMode(relay.ToTarget, m)
	}
	if back != nil {
		back.relay.SetMode(relay.FromTarget, m)
	}
}

func (n *Network) isCut(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[p]
}

func (n *Network) open() []*line {
	n.mu.Lock()
	defer n.mu.Unlock()
	lines := make([]*line, 0, len(n.lines))
	for _, l := range n.lines {
		lines = append(lines, l)
	}
	return lines
}

// line returns the relay from one host to another.
func (n *Network) line(p pair) *line {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.lines[p]
	if l == nil {
		l = newLine(n.nodes[p.to].host.Listen)
		l.relay.SetMode(relay.ToTarget, modeOf(n.cut[p]))
		l.relay.SetMode(relay.FromTarget, modeOf(n.cut[pair{p.to, p.from}]))
		n.lines[p] = l
	}
	return l
}

func modeOf(cut bool) relay.Mode {
	if cut {
		return relay.Drop
	}
	return relay.Pass
}

// sender returns the number of the host that sends from an address, -1 if none
// does.
func (n *Network) sender(ip netip.Addr) int {
	return slices.IndexFunc(n.nodes, func(nd *node) bool { return nd.host.Listen.Addr() == ip.Unmap() })
}
