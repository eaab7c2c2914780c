package spread

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Peers reaches other daemons.
type Peers interface {
	// Push passes records on and returns the acknowledgement.
	Push(ctx context.Context, addr netip.AddrPort, m *peerpb.Push) (*peerpb.PushAck, error)
	// Pull asks for what follows an offset.
	Pull(ctx context.Context, addr netip.AddrPort, m *peerpb.Pull) (*peerpb.PullAnswer, error)
}

// exchangeTimeout bounds how long a daemon that began an exchange may take
// over its part.
const exchangeTimeout = 5 * time.Second

// PoolPeers reaches daemons over a pool of sessions.
//
// The pool must not be shared with callers' requests: a session on which an
// answer is overdue is dropped, because something between the ends may have
// lost track of it while new ones work, and a drop ends all its streams.
type PoolPeers struct {
	pool *peer.Pool
}

// NewPoolPeers returns Peers over a pool.
func NewPoolPeers(pool *peer.Pool) *PoolPeers { return &PoolPeers{pool: pool} }

// Push implements Peers.
func (p *PoolPeers) Push(ctx context.Context, addr netip.AddrPort, m *peerpb.Push) (*peerpb.PushAck, error) {
	ack := &peerpb.PushAck{}
	err := p.pool.Call(ctx, addr, peerpb.Kind_KIND_PUSH, m, ack)
	return ack, p.dropSilent(addr, err)
}

// Pull implements Peers.
func (p *PoolPeers) Pull(ctx context.Context, addr netip.AddrPort, m *peerpb.Pull) (*peerpb.PullAnswer, error) {
	answer := &peerpb.PullAnswer{}
	err := p.pool.Call(ctx, addr, peerpb.Kind_KIND_PULL, m, answer)
	return answer, p.dropSilent(addr, err)
}

// dropSilent closes the session to a daemon that did not answer in time. A
// session gone silent would otherwise fail every later exchange, too.
func (p *PoolPeers) dropSilent(addr netip.AddrPort, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		p.pool.Drop(addr)
	}
	return err
}

// HandlePush serves streams of KIND_PUSH; it is a peer.HandlerFunc.
func (s *Spreader) HandlePush(_ context.Context, st *peer.Stream) error {
	_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
	var m peerpb.Push
	if err := st.Recv(&m); err != nil {
		return err
	}
	return s.servePush(&m, func(ack *peerpb.PushAck) error { return st.Send(ack) })
}

// HandlePull serves streams of KIND_PULL; it is a peer.HandlerFunc.
func (s *Spreader) HandlePull(_ context.Context, st *peer.Stream) error {
	_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
	var m peerpb.Pull
	if err := st.Recv(&m); err != nil {
		return err
	}
	return st.Send(s.servePull(&m))
}
