package recovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// logEnd is what a question for the log's end led to.
type logEnd struct {
	bounds eventlog.Bounds
	err    error
}

// readBeside reads the log's end and asks the daemons again and again meanwhile, where they
// are taken at their word. It reports whether a state of theirs was had first; what they said
// then is in the input, and the read has been given up.
//
// Where all hosts lose power at once nobody has a state, and each reads the whole newest
// configuration over its own link: 3 s on 5 Mbit/s, in which its callers are refused. The
// hosts with wide links have it at once, and hand it on packed.
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
		// What the log says counts against what was heard before it was asked.
		if heard, st := r.stateOfMany(ctx); st != nil {
			r.state, r.from = st, FromPeer
			in.Hearing = heard
			return logEnd{}, true
		}
	}
}

// stateOfMany asks the daemons once, and returns a state that may be served by their word
// alone, nil where they have none.
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
