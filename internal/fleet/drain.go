package fleet

import (
	"context"
	"slices"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Target selects the daemons to drain: the daemon on one host, the daemons of one availability zone
// or, if both are empty, the daemon that receives the request.
type Target struct {
	Host             string
	AvailabilityZone string
}

// DrainResult is the result of a drain request to one daemon. Err is nil if the daemon accepted it.
type DrainResult struct {
	Host string
	Err  error
}

// Drain requests the daemons of a target to begin a graceful shutdown and doesn't wait until it is
// complete. The error is of kind BadRequest if the target selects no live daemon or sets both a
// host and an availability zone, and of kind NotReady if this daemon has no member table yet.
func (f *Fleet) Drain(ctx context.Context, target Target, reason string) ([]DrainResult, error) {
	members, err := f.resolve(target)
	if err != nil {
		return nil, err
	}
	results := make([]DrainResult, len(members))
	f.forEach(ctx, members, func(ctx context.Context, i int, m *membership.Member) {
		results[i] = DrainResult{Host: m.Host, Err: f.drainOne(ctx, m, reason)}
	})
	return results, nil
}

// drainOne requests one daemon to drain.
func (f *Fleet) drainOne(ctx context.Context, m *membership.Member, reason string) error {
	if f.isSelf(m) {
		f.opts.Drain(reason)
		return nil
	}
	req := &peerpb.DrainAsk{Reason: reason}
	return f.opts.Peers.Call(ctx, m.PeerAddr, peerpb.Kind_KIND_DRAIN, req, &peerpb.DrainAnswer{})
}

// resolve returns the live members that a target selects. For this daemon, only the host is set.
func (f *Fleet) resolve(target Target) ([]*membership.Member, error) {
	self := &membership.Member{Host: f.opts.Local.opts.Host}
	if target.Host != "" && target.AvailabilityZone != "" {
		return nil, errkind.New(errkind.BadRequest, "name either a host or an availability zone")
	}
	if target == (Target{}) || target.Host == self.Host {
		return []*membership.Member{self}, nil
	}
	view := f.opts.Board.Members.Load()
	if view == nil {
		return nil, errkind.New(errkind.NotReady, "this daemon has not joined the others yet")
	}
	members := slices.DeleteFunc(view.Live(), func(m *membership.Member) bool {
		return m.Host != target.Host && m.AvailabilityZone != target.AvailabilityZone
	})
	if len(members) == 0 {
		return nil, errkind.Newf(errkind.BadRequest, "no live daemon on %s", target)
	}
	return members, nil
}

// String returns a description of the target.
func (t Target) String() string {
	switch {
	case t.Host != "":
		return "host " + t.Host
	case t.AvailabilityZone != "":
		return "availability zone " + t.AvailabilityZone
	}
	return "this host"
}

// ServeDrain serves KIND_DRAIN: it begins a graceful shutdown of this daemon.
func (f *Fleet) ServeDrain(_ context.Context, st *peer.Stream) error {
	var req peerpb.DrainAsk
	if err := st.RecvMax(&req, maxRequestBytes); err != nil {
		return err
	}
	f.opts.Drain(req.GetReason())
	return st.Send(&peerpb.DrainAnswer{})
}
