package fleet

import (
	"context"
	"slices"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Target names the daemons to drain: one host, one availability zone, or, with
// both empty, the daemon that is asked.
type Target struct {
	Host             string
	AvailabilityZone string
}

// DrainResult tells whether a daemon took the request to drain.
type DrainResult struct {
	Host string
	Err  error
}

// Drain asks the daemons of a target to begin a graceful shutdown and does not
// wait for its end. The error is of kind BadRequest where the target names no
// live daemon.
func (f *Fleet) Drain(ctx context.Context, target Target, reason string) ([]DrainResult, error) {
	members, err := f.resolve(target)
	if err != nil {
		return nil, err
	}
	results := make([]DrainResult, len(members))
	f.each(ctx, members, func(ctx context.Context, i int, m *membership.Member) {
		results[i] = DrainResult{Host: m.Host, Err: f.drainOne(ctx, m, reason)}
	})
	return results, nil
}

func (f *Fleet) drainOne(ctx context.Context, m *membership.Member, reason string) error {
	if f.isSelf(m) {
		f.opts.Drain(reason)
		return nil
	}
	ask := &peerpb.DrainAsk{Reason: reason}
	return f.opts.Peers.Call(ctx, m.PeerAddr, peerpb.Kind_KIND_DRAIN, ask, &peerpb.DrainAnswer{})
}

// resolve returns the live members of a target.
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

// String names the target.
func (t Target) String() string {
	switch {
	case t.Host != "":
		return "host " + t.Host
	case t.AvailabilityZone != "":
		return "availability zone " + t.AvailabilityZone
	}
	return "this host"
}

// ServeDrain answers KIND_DRAIN.
func (f *Fleet) ServeDrain(_ context.Context, st *peer.Stream) error {
	var ask peerpb.DrainAsk
	if err := st.RecvMax(&ask, maxAskBytes); err != nil {
		return err
	}
	f.opts.Drain(ask.GetReason())
	return st.Send(&peerpb.DrainAnswer{})
}
