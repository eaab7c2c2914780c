package recovery

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/checkpoint"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// readLimit is the most records of one read.
const readLimit = 256

// errBehind means that a daemon's state is older than the daemon had said.
var errBehind = errors.New("state is older than announced")

// recoverer holds what is kept from one round to the next.
type recoverer struct {
	opts Options
	// state is the highest state at hand, nil if there is none, and from where
	// it was got.
	state *fold.State
	from  Origin
	// blocked is the offset of a record that needs a newer program, 0 if none
	// has been met.
	blocked uint64
	// staggered is whether the wait before the checkpoint is read is over.
	staggered bool
	// scanner goes on where it stopped, so that a later round reads only what
	// is new. loaded is the state of the checkpoint found.
	scanner *checkpoint.Scanner
	found   *checkpoint.Found
	loaded  *fold.State
	// askLog is set once the daemons alone have not been enough.
	askLog bool
	// noted is the problem logged last.
	noted Problem
	// logError is what kept the log from being used in this round, nil if nothing.
	logError error
}

func newRecoverer(opts Options) *recoverer {
	r := &recoverer{opts: opts, scanner: checkpoint.NewScanner(opts.Checkpoints)}
	r.reset()
	return r
}

// reset forgets all but what the daemon had in force when it began.
func (r *recoverer) reset() {
	r.state, r.from = r.opts.Own, FromNowhere
	if r.state != nil {
		r.from = FromOwn
	}
}

// round asks, decides, fetches and catches up once. Where the decision returned
// says so, the state at hand may be served.
func (r *recoverer) round(ctx context.Context) Decision {
	in := r.gather(ctx)
	d := r.settle(ctx, &in)
	if d.CatchUp {
		r.catchUp(ctx, &in, d.Floor)
		d = r.decide(&in)
	}
	if d.Problem == ProblemForked {
		// Whatever was fetched may be of the wrong history, and was never in
		// force here.
		r.reset()
	}
	return d
}

// gather asks the daemons first and the log second: a version that a daemon
// has in force is then below the log's end, or the log went back.
func (r *recoverer) gather(ctx context.Context) Input {
	r.logError = nil
	in := Input{Host: r.opts.Host, MinAnswers: r.opts.MinAnswers}
	askCtx, cancel := context.WithTimeout(ctx, r.opts.AskTimeout)
	defer cancel()
	in.Hearing = r.opts.Peers.Ask(askCtx)
	in.Hearing.Answers = slices.Clone(in.Hearing.Answers)
	if r.opts.PreferPeers && !r.askLog && in.enoughAnswers() {
		r.setOwn(&in)
		return in
	}

	end, peerFirst := r.readBeside(ctx, &in)
	if !peerFirst {
		r.noteLogError(end.err)
		in.Log = LogFacts{Readable: end.err == nil, Bounds: end.bounds}
	}
	r.setOwn(&in)
	return in
}

// logTimeout returns how long to wait for the log's end. A log may send much with it: the
// platform's store its newest configuration, which takes a link of 5 Mbit/s 8 s with 16,384
// routes. Callers of a host that starts wait for that only where nobody else has a state.
func (r *recoverer) logTimeout(in Input) time.Duration {
	if in.enoughAnswers() {
		return min(r.opts.LogTimeoutWithPeers, r.opts.LogTimeout)
	}
	return r.opts.LogTimeout
}

// noteLogError keeps the latest error met at the log in a round.
func (r *recoverer) noteLogError(err error) {
	if err != nil {
		r.logError = err
	}
}

// decide decides with the state at hand.
func (r *recoverer) decide(in *Input) Decision {
	r.setOwn(in)
	return Decide(*in)
}

func (r *recoverer) setOwn(in *Input) {
	if r.state == nil {
		return
	}
	own := PositionOf(r.state)
	in.Own = &own
	in.Log.Blocked = r.blocked == own.Offset+1
}

// findCheckpoint looks for the newest checkpoint that can be used. A failure
// counts as the log being down, never as there being none.
func (r *recoverer) findCheckpoint(ctx context.Context, facts *LogFacts) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.FetchTimeout)
	defer cancel()
	if err := r.loadCheckpoint(ctx); err != nil {
		r.noteLogError(errors.Wrap(err, "checkpoint"))
		facts.Readable = false
		facts.Unusable = errors.Is(err, fold.ErrBadDocument)
		return
	}
	facts.Looked = true
	if r.loaded != nil {
		p := PositionOf(r.loaded)
		facts.Checkpoint = &p
	}
}

func (r *recoverer) loadCheckpoint(ctx context.Context) error {
	if r.opts.LoadCheckpoint != nil {
		st, err := r.opts.LoadCheckpoint(ctx)
		if err == nil {
			r.loaded = st
		}
		return err
	}
	if err := r.scanner.Scan(ctx); err != nil {
		return err
	}
	if newest := r.scanner.Newest(); newest != nil && newest == r.found {
		return nil
	}
	st, err := r.scanner.Load(ctx)
	if err != nil && !errors.Is(err, checkpoint.ErrNone) {
		return err
	}
	r.found, r.loaded = r.scanner.Newest(), st
	return nil
}

// settle decides, gets what the decision asks for and decides again, until the
// state to start from is at hand or cannot be had. Each step adds a fact or
// rules out a daemon, so it ends.
func (r *recoverer) settle(ctx context.Context, in *Input) Decision {
	for {
		d := r.decide(in)
		switch {
		case d.LookForCheckpoint:
			if r.mustStagger(in) {
				return d
			}
			r.findCheckpoint(ctx, &in.Log)
		case d.Problem == ProblemForked, d.Start.From == FromNowhere, d.Start.From == FromOwn:
			return d
		default:
			r.fetch(ctx, in, d.Start)
		}
	}
}

// mustStagger reports whether to wait before the checkpoint is read, once. A round that ends
// for a wait of nothing would ask for the log's end again, which a store sends with its whole
// newest configuration: callers of a narrow host were refused for as long once more.
func (r *recoverer) mustStagger(in *Input) bool {
	if r.staggered || r.opts.Stagger == 0 || in.Hearing.Known == 0 || in.Log.Bounds.End == 1 {
		return false
	}
	r.staggered = true
	return true
}

// fetch takes over a state, or rules out the daemon that cannot give it.
func (r *recoverer) fetch(ctx context.Context, in *Input, from Start) {
	st, err := r.stateOf(ctx, from)
	if err == nil {
		r.state, r.from = r.carryOver(ctx, in, st), from.From
		r.readEnd(ctx, in)
		return
	}
	r.opts.Logger.Debug("recovery: state not fetched", "host", from.Host, "error", err)
	for i, a := range in.Hearing.Answers {
		if a.Host == from.Host {
			in.Hearing.Answers[i].Unusable = true
		}
	}
}

// carryOver returns a state with what daemons have in force that have not heard yet that the
// log was restored from an older copy: it may lack that.
func (r *recoverer) carryOver(ctx context.Context, in *Input, st *fold.State) *fold.State {
	st = st.After(r.state)
	var before PeerAnswer
	for _, a := range in.Hearing.Answers {
		if !a.Unusable && a.Offset > before.Offset && eventlog.Epoch(a.Offset) < eventlog.Epoch(st.Offset) {
			before = a
		}
	}
	if before.Offset == 0 {
		return st
	}
	theirs, err := r.stateOf(ctx, Start{From: FromPeer, Host: before.Host, Position: before.Position})
	if err != nil {
		r.opts.Logger.Warn("recovery: state from before the log's restore not fetched", "host", before.Host, "error", err)
		return st
	}
	return st.After(theirs)
}

// readEnd reads the log's end again where the state at hand is beyond it: the state is
// newer than its daemon had said, and so may be the end. A log that has lost its end
// still ends before the state then.
func (r *recoverer) readEnd(ctx context.Context, in *Input) {
	if !in.Log.Readable || r.state.Offset < in.Log.Bounds.End {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.LogTimeout)
	defer cancel()
	bounds, err := r.opts.Config.Bounds(ctx)
	r.noteLogError(err)
	in.Log.Readable = err == nil
	in.Log.Bounds = bounds
}

func (r *recoverer) stateOf(ctx context.Context, s Start) (*fold.State, error) {
	switch s.From {
	case FromCheckpoint:
		return r.loaded, nil
	case FromScratch:
		return fold.Empty(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.FetchTimeout)
	defer cancel()
	st, err := r.opts.Peers.State(ctx, s.Host)
	if err != nil {
		return nil, err
	}
	if st.Offset < s.Offset {
		return nil, errors.Wrapf(errBehind, "%d instead of %d", st.Offset, s.Offset)
	}
	return st, nil
}

// verifyLog reports whether the log holds the record that the state at hand
// folded last. A log that lost its end and has grown beyond the state since is
// told by nothing else: folding on would mix two histories.
func (r *recoverer) verifyLog(ctx context.Context, facts *LogFacts) bool {
	at := r.state.Offset
	if at < facts.Bounds.First {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.LogTimeout)
	defer cancel()
	records, err := r.opts.Config.Read(ctx, at, 1, 0)
	if err == nil && len(records) == 0 {
		err = errors.Newf("log lacks record %d", at)
	}
	if err != nil {
		r.noteLogError(errors.Wrap(err, "last record"))
		facts.Readable = false
		return false
	}
	facts.Rewritten = !r.state.LastIs(records[0].Data)
	r.state = r.state.WithLastDocument(records[0].Data)
	return !facts.Rewritten
}

// catchUp folds the log's records up to an offset and notes in the input why
// that was not possible. What was folded until then is kept.
func (r *recoverer) catchUp(ctx context.Context, in *Input, to uint64) {
	if !r.verifyLog(ctx, &in.Log) {
		return
	}
	chains := in.chains()
	for r.state.Offset < to {
		err := r.readSome(ctx, to, chains)
		if err == nil {
			continue
		}
		r.noteLogError(errors.Wrap(err, "log's tail"))
		var unknown *fold.UnknownRuleError
		if errors.As(err, &unknown) {
			r.blocked = unknown.Offset
		}
		var fork *fold.ForkError
		in.Forked = errors.As(err, &fork)
		return
	}
}

// readSome folds the next records and compares the chain with all that is known
// on the way.
func (r *recoverer) readSome(ctx context.Context, to uint64, chains map[uint64]fold.Chain) error {
	ctx, cancel := context.WithTimeout(ctx, r.opts.LogTimeout)
	defer cancel()
	from := r.state.Offset + 1
	limit := int(min(readLimit, to-r.state.Offset))
	records, err := r.opts.Config.Read(ctx, from, limit, 0)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return errors.Newf("log lacks record %d", from)
	}
	for _, rec := range records {
		st, verdict, err := fold.Apply(r.state, rec.Offset, rec.Data)
		if err != nil {
			return err
		}
		if !verdict.Accepted && len(rec.Data) > 0 {
			r.opts.Logger.Warn("recovery: record rejected",
				"offset", rec.Offset, "bytes", len(rec.Data), "reasons", verdict.Reasons)
		}
		if theirs, ok := chains[st.Offset]; ok && theirs != st.Chain {
			return &fold.ForkError{Offset: st.Offset, Ours: st.Chain, Theirs: theirs}
		}
		r.state = st
	}
	return nil
}
