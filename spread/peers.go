package spread

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Peers sends requests to other daemons.
type Peers interface {
	// Push sends a push and returns the acknowledgment.
	Push(ctx context.Context, addr netip.AddrPort, m *peerpb.Push) (*peerpb.PushAck, error)
	// Pull requests the records that follow an offset.
	Pull(ctx context.Context, addr netip.AddrPort, m *peerpb.Pull) (*peerpb.PullAnswer, error)
}

// exchangeTimeout bounds receiving the request and sending the reply on a stream that another
// daemon opened.
const exchangeTimeout = 5 * time.Second

// PoolPeers implements Peers over a pool of sessions.
//
// The pool must not be shared with callers' requests: a session on which an answer is overdue is
// closed, which ends all its streams. A middlebox on the path may have lost the state of that
// connection while new connections still work.
type PoolPeers struct {
	pool *peer.Pool
}

// NewPoolPeers returns Peers that use the sessions of a pool.
func NewPoolPeers(pool *peer.Pool) *PoolPeers { return &PoolPeers{pool: pool} }

// Push implements Peers.
func (p *PoolPeers) Push(ctx context.Context, addr netip.AddrPort, m *peerpb.Push) (*peerpb.PushAck, error) {
	ack := &peerpb.PushAck{}
	err := p.pool.Call(ctx, addr, peerpb.Kind_KIND_PUSH, m, ack)
	return ack, p.dropOnTimeout(addr, err)
}

// Pull implements Peers.
func (p *PoolPeers) Pull(ctx context.Context, addr netip.AddrPort, m *peerpb.Pull) (*peerpb.PullAnswer, error) {
	answer := &peerpb.PullAnswer{}
	err := p.pool.Call(ctx, addr, peerpb.Kind_KIND_PULL, m, answer)
	return answer, p.dropOnTimeout(addr, err)
}

// dropOnTimeout closes the session to a daemon that did not answer in time, since every later
// exchange on a dead session would fail as well. It returns err unchanged.
func (p *PoolPeers) dropOnTimeout(addr netip.AddrPort, err error) error {
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
