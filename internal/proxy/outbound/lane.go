package outbound

import (
	"context"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peerpb"
)

// openLane requests a lane from a gate: a sequence of attempt IDs in which this daemon numbers its
// non-idempotent attempts at that gate. It is called for each gate that receives such attempts.
func (h *Handler) openLane(ctx context.Context, g once.GateID) (once.Lane, error) {
	view := h.opts.Board.Members.Load()
	m := view.Find(g.Host)
	if m == nil {
		return once.Lane{}, errkind.Newf(errkind.Unreachable, "host %s is not a known member", g.Host)
	}
	ans := new(peerpb.LaneAnswer)
	if err := h.opts.Pool.Call(ctx, m.PeerAddr, peerpb.Kind_KIND_LANE, &peerpb.LaneAsk{}, ans); err != nil {
		return once.Lane{}, err
	}
	if ans.GetErrorKind() != "" {
		return once.Lane{}, errkind.New(errkind.Kind(ans.GetErrorKind()), "the gate refused to open a lane")
	}
	return once.Lane{Boot: ans.GetBoot(), Number: ans.GetNumber()}, nil
}
