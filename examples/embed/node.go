package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/memberpb"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

const (
	loopback = "127.0.0.1:0"
	readWait = time.Second
	// readLimit is the most records of one read.
	readLimit = 64
	pollPause = 5 * time.Millisecond
)

// node is one of the program's processes; here they share one.
type node struct {
	addr     netip.AddrPort
	sessions net.Listener
	log      eventlog.Log
	members  *membership.Membership
	quota    *quota.Manager
	keys     *once.KeyStore
	pool     *peer.Pool
	server   *peer.Server

	// view and inForce are replaced as a whole, so that a call sees one version.
	view    atomic.Pointer[membership.View]
	inForce atomic.Pointer[snapshot.Snapshot]
	tomb    tomb.Tomb
}

// startNodes starts nodes that join by the first one.
func startNodes(log eventlog.Log, hosts ...string) ([]*node, error) {
	var nodes []*node
	for _, host := range hosts {
		n, err := newNode(log, host)
		if err != nil {
			stopNodes(nodes)
			return nil, err
		}
		nodes = append(nodes, n)
		n.start(nodes[0].addr)
	}
	return nodes, nil
}

func stopNodes(nodes []*node) {
	for _, n := range nodes {
		n.tomb.Kill(nil)
		_ = n.server.Close()
		_ = n.pool.Close()
		_ = n.tomb.Wait()
	}
}

func newNode(log eventlog.Log, host string) (*node, error) {
	sessions, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// Probes go to the same port as the sessions.
	addr := sessions.Addr().(*net.TCPAddr).AddrPort()
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	n := &node{
		addr:     addr,
		sessions: sessions,
		log:      log,
		pool:     peer.NewPool(peer.DefaultPoolOptions()),
		server:   peer.NewServer(peer.DefaultServerOptions()),
	}
	boot := rand.Uint64() | 1
	n.keys = once.NewKeyStore(once.DefaultKeyStoreOptions(host, boot))
	quotas := quota.DefaultOptions()
	quotas.Host, quotas.Peers = host, n
	n.quota = quota.New(quotas)

	m := membership.DefaultOptions()
	m.Host, m.Boot, m.AvailabilityZone = host, boot, "boston"
	m.PeerAddr = n.addr
	m.Packets, m.Sync = packets, n
	n.members, err = membership.New(m)
	return n, err
}

// start runs the node's parts until it is stopped.
func (n *node) start(contact netip.AddrPort) {
	n.server.Handle(peerpb.Kind_KIND_MEMBER_SYNC, peer.HandlerFunc(n.serveSync))
	n.server.Handle(peerpb.Kind_KIND_QUOTA, peer.HandlerFunc(n.serveQuota))
	ctx := n.tomb.Context(context.Background())
	n.tomb.Go(func() error { return n.server.Serve(n.sessions) })
	n.tomb.Go(func() error { return n.members.Run(ctx) })
	n.tomb.Go(func() error { return n.quota.Run(ctx) })
	n.tomb.Go(func() error { return n.followLog(ctx) })
	n.tomb.Go(func() error { return n.followMembers(ctx) })
	n.tomb.Go(func() error {
		_, err := n.members.Join(ctx, []membership.Contact{{Addr: contact}})
		return err
	})
}

// followLog folds each record and puts the result in force.
func (n *node) followLog(ctx context.Context) error {
	n.quota.SetContracts(map[string]*snapshot.Contract{}, 0)
	for state := fold.Empty(); ctx.Err() == nil; {
		records, err := n.log.Read(ctx, state.Offset+1, readLimit, readWait)
		if err != nil || len(records) == 0 {
			continue
		}
		if state, _, err = fold.ApplyAll(state, records); err != nil {
			return err
		}
		next := snapshot.Build(n.inForce.Load(), state, backend.NewSet(nil))
		n.quota.SetContracts(next.Contracts(), state.Offset)
		n.inForce.Store(next)
	}
	return nil
}

// followMembers tells who shares the contracts.
func (n *node) followMembers(ctx context.Context) error {
	for {
		changed := n.members.Watch()
		view := n.members.View()
		n.quota.SetView(view)
		n.view.Store(view)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// admit admits one call of a customer.
func (n *node) admit(ctx context.Context, customer string) error {
	contract := n.inForce.Load().Contract(customer)
	if contract == nil {
		return errkind.Newf(errkind.UnknownCustomer, "no contract for customer %q", customer)
	}
	grant, err := n.quota.AdmitWait(ctx, contract)
	if err != nil {
		return err
	}
	grant.Done()
	return nil
}

// Sync implements membership.Syncer.
func (n *node) Sync(ctx context.Context, addr netip.AddrPort, t *memberpb.Table) (*memberpb.Table, error) {
	answer := new(memberpb.Table)
	return answer, n.pool.Call(ctx, addr, peerpb.Kind_KIND_MEMBER_SYNC, t, answer)
}

func (n *node) serveSync(ctx context.Context, st *peer.Stream) error {
	var t memberpb.Table
	if err := st.Recv(&t); err != nil {
		return err
	}
	return st.Send(n.members.HandleSync(ctx, &t))
}

// SendClaims implements quota.Peers.
func (n *node) SendClaims(ctx context.Context, owner *membership.Member, req *quotapb.Request) (*quotapb.Answer, error) {
	answer := new(quotapb.Answer)
	return answer, n.pool.Call(ctx, owner.PeerAddr, peerpb.Kind_KIND_QUOTA, req, answer)
}

func (n *node) serveQuota(ctx context.Context, st *peer.Stream) error {
	var req quotapb.Request
	if err := st.Recv(&req); err != nil {
		return err
	}
	return st.Send(n.quota.Serve(&req))
}

// awaitMembers returns when as many nodes are seen alive.
func (n *node) awaitMembers(ctx context.Context, count int) error {
	return n.await(ctx, func() bool {
		v := n.view.Load()
		return v != nil && len(v.Live()) == count
	})
}

// awaitVersion returns when a version is in force.
func (n *node) awaitVersion(ctx context.Context, offset uint64) error {
	return n.await(ctx, func() bool {
		s := n.inForce.Load()
		return s != nil && s.Offset >= offset
	})
}

func (n *node) await(ctx context.Context, done func() bool) error {
	poll := time.NewTicker(pollPause)
	defer poll.Stop()
	for !done() {
		select {
		case <-poll.C:
		case <-n.tomb.Dying():
			return n.tomb.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
