package recovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// boundsResult is the result of a request for the bounds of the log.
type boundsResult struct {
	bounds eventlog.Bounds
	err    error
}

// readBoundsOrPeer requests the bounds of the log. With PreferPeers it queries the daemons
// periodically in the meantime, until a state of theirs may be served. In that case peerFirst is
// true, the state is in r.state, the answers are in the input, and the request to the log is
// canceled.
//
// After a simultaneous power loss of all hosts no daemon has a state, and each host reads the
// complete newest configuration over its own link. That takes 3 s on 5 Mbit/s, during which callers
// are refused. Hosts with fast links have the configuration almost immediately and send it to
// other daemons in compressed form.
func (r *recoverer) readBoundsOrPeer(ctx context.Context, in *Input) (end boundsResult, peerFirst bool) {
	ctx, cancel := context.WithTimeout(ctx, r.logTimeout(*in))
	defer cancel()
	read := make(chan boundsResult, 1)
	go func() {
		bounds, err := r.opts.Config.Bounds(ctx)
		read <- boundsResult{bounds, err}
	}()
	if !r.opts.PreferPeers || r.needLog {
		return <-read, false
	}
	for {
		pause := time.NewTimer(r.opts.AskInterval/2 + rand.N(r.opts.AskInterval/2+1))
		select {
		case end := <-read:
			pause.Stop()
			return end, false
		case <-pause.C:
		}
		// Answers without a state to serve are discarded: the bounds of the log must be compared
		// with answers that were received before the request for the bounds.
		if answers, st := r.queryPeers(ctx); st != nil {
			r.state, r.from = st, FromPeer
			in.Peers = answers
			return boundsResult{}, true
		}
	}
}

// queryPeers queries the daemons once. It returns their answers and a state that may be served
// without the log, nil if there is none.
func (r *recoverer) queryPeers(ctx context.Context) (PeerAnswers, *fold.State) {
	askCtx, cancel := context.WithTimeout(ctx, r.opts.AskTimeout)
	defer cancel()
	in := Input{Host: r.opts.Host, MinAnswers: r.opts.MinAnswers, Peers: r.opts.Peers.Ask(askCtx)}
	r.setOwn(&in)
	d := Decide(in)
	if !d.CanServe() || d.Start.From != FromPeer {
		return in.Peers, nil
	}
	st, err := r.stateOf(ctx, d.Start)
	if err != nil || st.Offset < d.Floor {
		return in.Peers, nil
	}
	return in.Peers, st
}
