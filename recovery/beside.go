package recovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// logEnd is the result of a request for the bounds of the log.
type logEnd struct {
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
func (r *recoverer) readBeside(ctx context.Context, in *Input) (end logEnd, peerFirst bool) {
	ctx, cancel := context.WithTimeout(ctx, r.logTimeout(*in))
	defer cancel()
	read := make(chan logEnd, 1)
	go func() {
		bounds, err := r.opts.Config.Bounds(ctx)
		read <- logEnd{bounds, err}
	}()
	if !r.opts.PreferPeers || r.askLog {
		return <-read, false
	}
	for {
		pause := time.NewTimer(r.opts.AskPause/2 + rand.N(r.opts.AskPause/2+1))
		select {
		case end := <-read:
			pause.Stop()
			return end, false
		case <-pause.C:
		}
		// Answers without a state to serve are discarded: the bounds of the log must be compared
		// with answers that were received before the request for the bounds.
		if heard, st := r.stateOfMany(ctx); st != nil {
			r.state, r.from = st, FromPeer
			in.Hearing = heard
			return logEnd{}, true
		}
	}
}

// stateOfMany queries the daemons once. It returns their answers and a state that may be served
// without the log, nil if there is none.
func (r *recoverer) stateOfMany(ctx context.Context) (PeerAnswers, *fold.State) {
	askCtx, cancel := context.WithTimeout(ctx, r.opts.AskTimeout)
	defer cancel()
	in := Input{Host: r.opts.Host, MinAnswers: r.opts.MinAnswers, Hearing: r.opts.Peers.Ask(askCtx)}
	r.setOwn(&in)
	d := Decide(in)
	if !d.Serve() || d.Start.From != FromPeer {
		return in.Hearing, nil
	}
	st, err := r.stateOf(ctx, d.Start)
	if err != nil || st.Offset < d.Floor {
		return in.Hearing, nil
	}
	return in.Hearing, st
}
