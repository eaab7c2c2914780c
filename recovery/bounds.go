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

// readBoundsOrPeer requests the bounds of the log, after LogDelay. With PreferPeers it queries the
// daemons periodically in the meantime, until a state of theirs may be served. In that case
// peerFirst is true, the state is in r.state, the answers are in the input, and the request to the
// log is canceled.
//
// After a simultaneous power loss of all hosts no daemon has a state. A few hosts read the complete
// newest configuration over their own links and send it to the others in compressed form. If all of
// them read it, that would take 3 s on 5 Mbit/s, during which callers are refused, and the calls to
// the platform would grow with the fleet.
func (r *recoverer) readBoundsOrPeer(ctx context.Context, in *Input) (end boundsResult, peerFirst bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !r.opts.PreferPeers || r.needLog {
		return r.readBounds(ctx, *in), false
	}
	read := make(chan boundsResult, 1)
	reading := false
	for {
		delay := r.opts.LogDelay()
		if !reading && delay <= 0 {
			reading = true
			input := *in
			go func() { read <- r.readBounds(ctx, input) }()
		}
		pause := r.opts.AskInterval/2 + rand.N(r.opts.AskInterval/2+1)
		if !reading {
			pause = min(pause, delay)
		}
		timer := time.NewTimer(pause)
		select {
		case end := <-read:
			timer.Stop()
			return end, false
		case <-timer.C:
		}
		if !reading && r.opts.LogDelay() <= 0 {
			continue
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

// readBounds requests the bounds of the log once.
func (r *recoverer) readBounds(ctx context.Context, in Input) boundsResult {
	ctx, cancel := context.WithTimeout(ctx, r.logTimeout(in))
	defer cancel()
	bounds, err := r.opts.Config.Bounds(ctx)
	return boundsResult{bounds, err}
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
