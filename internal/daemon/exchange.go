package daemon

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/memberpb"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/rollout/rolloutpb"
)

// exchangeTimeout bounds a unary exchange that another daemon has opened: the receipt of its request
// and the sending of the response.
const exchangeTimeout = 5 * time.Second

// registerHandlers registers the handler of each kind of exchange.
func (p *components) registerHandlers() {
	p.peerServer.Handle(peerpb.Kind_KIND_CALL, p.inbound)
	p.peerServer.Handle(peerpb.Kind_KIND_ASK, peer.HandlerFunc(p.inbound.ServeAttemptQuery))
	p.peerServer.Handle(peerpb.Kind_KIND_LANE, peer.HandlerFunc(p.inbound.ServeLane))
	p.peerServer.Handle(peerpb.Kind_KIND_KEYED_CALL, peer.HandlerFunc(p.outbound.ServeKeyedCall))
	p.peerServer.Handle(peerpb.Kind_KIND_PUSH, peer.HandlerFunc(p.spreader.HandlePush))
	p.peerServer.Handle(peerpb.Kind_KIND_PULL, peer.HandlerFunc(p.spreader.HandlePull))
	p.peerServer.Handle(peerpb.Kind_KIND_QUOTA, unaryHandler(func(_ context.Context, r *quotapb.Request) (proto.Message, error) {
		return p.quota.Serve(r), nil
	}))
	p.peerServer.Handle(peerpb.Kind_KIND_ROLLOUT, unaryHandler(func(_ context.Context, r *rolloutpb.Report) (proto.Message, error) {
		return p.rollouts.Serve(r)
	}))
	p.peerServer.Handle(peerpb.Kind_KIND_DIRECTORY, unaryHandler(p.serveDirectory))
	p.peerServer.Handle(peerpb.Kind_KIND_MEMBER_SYNC, unaryHandler(func(ctx context.Context, t *memberpb.Table) (proto.Message, error) {
		return p.membership.HandleSync(ctx, t), nil
	}))
}

// memberSync exchanges complete membership tables over peer sessions.
type memberSync struct{ pool *peer.Pool }

// Sync implements membership.Syncer.
func (s memberSync) Sync(ctx context.Context, addr netip.AddrPort, t *memberpb.Table) (*memberpb.Table, error) {
	ans := new(memberpb.Table)
	// Exchanges are rare and mostly go to daemons to which this daemon has no other traffic.
	// Sessions kept open would pile up at the contacts through which a whole fleet joins.
	err := s.pool.CallOnce(ctx, addr, peerpb.Kind_KIND_MEMBER_SYNC, t, ans)
	return ans, err
}

// operatorPeers sends operators' requests to all daemons, over sessions that are not kept open.
type operatorPeers struct{ pool *peer.Pool }

// Call implements fleet.Caller.
func (o operatorPeers) Call(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error {
	return o.pool.CallOnce(ctx, addr, kind, req, resp)
}

// quotaPeers sends quota requests to owners.
type quotaPeers struct{ pool *peer.Pool }

// SendClaims implements quota.Peers.
func (q quotaPeers) SendClaims(ctx context.Context, owner *membership.Member, req *quotapb.Request) (*quotapb.Answer, error) {
	ans := new(quotapb.Answer)
	err := q.pool.Call(ctx, owner.PeerAddr, peerpb.Kind_KIND_QUOTA, req, ans)
	return ans, err
}

// rolloutPeers sends rollout reports to the daemons that decide on the rollouts.
type rolloutPeers struct{ pool *peer.Pool }

// Report implements rollouts.Peers.
func (p rolloutPeers) Report(ctx context.Context, to *membership.Member, r *rolloutpb.Report) (*rolloutpb.Permit, error) {
	permit := new(rolloutpb.Permit)
	err := p.pool.Call(ctx, to.PeerAddr, peerpb.Kind_KIND_ROLLOUT, r, permit)
	return permit, err
}

// unaryHandler returns a handler for exchanges of one request and one response message.
func unaryHandler[Req any, PReq interface {
	*Req
	proto.Message
}](serve func(ctx context.Context, req PReq) (proto.Message, error)) peer.HandlerFunc {
	return func(ctx context.Context, st *peer.Stream) error {
		_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
		req := PReq(new(Req))
		if err := st.Recv(req); err != nil {
			return err
		}
		ans, err := serve(ctx, req)
		if err != nil {
			return err
		}
		return st.Send(ans)
	}
}
