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

// exchangeTimeout bounds how long another daemon may take over its part of a
// short exchange.
const exchangeTimeout = 5 * time.Second

// handle connects the kinds of exchange with the parts that serve them.
func (p *parts) handle() {
	p.server.Handle(peerpb.Kind_KIND_CALL, p.inbound)
	p.server.Handle(peerpb.Kind_KIND_ASK, peer.HandlerFunc(p.inbound.ServeAttemptQuery))
	p.server.Handle(peerpb.Kind_KIND_LANE, peer.HandlerFunc(p.inbound.ServeLane))
	p.server.Handle(peerpb.Kind_KIND_KEYED_CALL, peer.HandlerFunc(p.outbound.ServeKeyedCall))
	p.server.Handle(peerpb.Kind_KIND_PUSH, peer.HandlerFunc(p.spreader.HandlePush))
	p.server.Handle(peerpb.Kind_KIND_PULL, peer.HandlerFunc(p.spreader.HandlePull))
	p.server.Handle(peerpb.Kind_KIND_QUOTA, answering(func(ctx context.Context, r *quotapb.Request) (proto.Message, error) {
		return p.quota.Serve(ctx, "", r), nil
	}))
	p.server.Handle(peerpb.Kind_KIND_ROLLOUT, answering(func(_ context.Context, r *rolloutpb.Report) (proto.Message, error) {
		return p.rollouts.Serve(r)
	}))
	p.server.Handle(peerpb.Kind_KIND_MEMBER_SYNC, answering(func(ctx context.Context, t *memberpb.Table) (proto.Message, error) {
		return p.membership.HandleSync(ctx, t), nil
	}))
}

// memberSync carries full-table exchanges over peer sessions.
type memberSync struct{ pool *peer.Pool }

// Sync implements membership.Syncer.
func (s memberSync) Sync(ctx context.Context, addr netip.AddrPort, t *memberpb.Table) (*memberpb.Table, error) {
	ans := new(memberpb.Table)
	// Exchanges are rare and go to daemons that are seldom talked to else. Kept
	// sessions would pile up at the contacts by which a whole fleet joins.
	err := s.pool.CallOnce(ctx, addr, peerpb.Kind_KIND_MEMBER_SYNC, t, ans)
	return ans, err
}

// operatorPeers carries operators' questions to all daemons, over sessions that
// are not kept.
type operatorPeers struct{ pool *peer.Pool }

// Call implements fleet.Caller.
func (o operatorPeers) Call(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error {
	return o.pool.CallOnce(ctx, addr, kind, req, resp)
}

// quotaPeers carries quota requests to owners.
type quotaPeers struct{ pool *peer.Pool }

// SendClaims implements quota.Peers.
func (q quotaPeers) SendClaims(ctx context.Context, owner *membership.Member, req *quotapb.Request) (*quotapb.Answer, error) {
	ans := new(quotapb.Answer)
	err := q.pool.Call(ctx, owner.PeerAddr, peerpb.Kind_KIND_QUOTA, req, ans)
	return ans, err
}

// rolloutPeers carries reports on rollouts to the daemons that decide.
type rolloutPeers struct{ pool *peer.Pool }

// Report implements rollouts.Peers.
func (p rolloutPeers) Report(ctx context.Context, to *membership.Member, r *rolloutpb.Report) (*rolloutpb.Permit, error) {
	permit := new(rolloutpb.Permit)
	err := p.pool.Call(ctx, to.PeerAddr, peerpb.Kind_KIND_ROLLOUT, r, permit)
	return permit, err
}

// answering returns a handler of an exchange of one message each way.
func answering[Req any, PReq interface {
	*Req
	proto.Message
}](answer func(ctx context.Context, req PReq) (proto.Message, error)) peer.HandlerFunc {
	return func(ctx context.Context, st *peer.Stream) error {
		_ = st.SetDeadline(time.Now().Add(exchangeTimeout))
		req := PReq(new(Req))
		if err := st.Recv(req); err != nil {
			return err
		}
		ans, err := answer(ctx, req)
		if err != nil {
			return err
		}
		return st.Send(ans)
	}
}
