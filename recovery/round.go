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

// readLimit is the maximum number of records in one read of the log.
const readLimit = 256

// errStaleState means that a daemon's state is older than the position in its answer.
var errStaleState = errors.New("state is older than announced")

// recoverer holds the data that persists between rounds.
type recoverer struct {
	opts Options
	// state is the newest available state, nil if there is none, and from its origin.
	state *fold.State
	from  Origin
	// unsupportedOffset is the offset of a record that needs a newer program, 0 if none has
	// been read.
	unsupportedOffset uint64
	// staggered is set once the wait before the checkpoint is read has been requested.
	staggered bool
	// scanner resumes where it stopped, so that a later round reads new records only. found is
	// the checkpoint loaded last, loaded its state.
	scanner *checkpoint.Scanner
	found   *checkpoint.Checkpoint
	loaded  *fold.State
	// needLog is set once a round has shown that the answers of daemons are not sufficient.
	needLog bool
	// loggedProblem is the problem logged last.
	loggedProblem Problem
	// logError is the last error of the log in the current round, nil if there was none.
	logError error
}

// newRecoverer returns a recoverer without any data but opts.Own.
func newRecoverer(opts Options) *recoverer {
	r := &recoverer{opts: opts, scanner: checkpoint.NewScanner(opts.Checkpoints)}
	r.reset()
	return r
}

// reset drops a fetched state in favor of opts.Own.
func (r *recoverer) reset() {
	r.state, r.from = r.opts.Own, FromNone
	if r.state != nil {
		r.from = FromOwn
	}
}

// round queries daemons and the log once, obtains the state to start from, and folds the records
// of the log that follow it. If the returned decision allows it, r.state may be served.
func (r *recoverer) round(ctx context.Context) Decision {
	in := r.gather(ctx)
	d := r.obtainStart(ctx, &in)
	if d.CanCatchUp {
		r.catchUp(ctx, &in, d.Floor)
		d = r.updateAndDecide(&in)
	}
	if d.Problem == ProblemForked {
		// A fetched state may belong to the wrong history. It was never in force on this
		// host, so it can be dropped.
		r.reset()
	}
	return d
}

// gather queries the daemons first and the log second: a version in force at a daemon is then
// before the end of the log, unless the log has lost records.
func (r *recoverer) gather(ctx context.Context) Input {
	r.logError = nil
	in := Input{Host: r.opts.Host, MinAnswers: r.opts.MinAnswers}
	askCtx, cancel := context.WithTimeout(ctx, r.opts.AskTimeout)
	defer cancel()
	in.Peers = r.opts.Peers.Ask(askCtx)
	in.Peers.Answers = slices.Clone(in.Peers.Answers)
	if r.opts.PreferPeers && !r.needLog && in.enoughAnswers() {
		r.setOwn(&in)
		return in
	}

	end, peerFirst := r.readBoundsOrPeer(ctx, &in)
	if !peerFirst {
		r.noteLogError(end.err)
		in.Log = LogStatus{Readable: end.err == nil, Bounds: end.bounds}
	}
	r.setOwn(&in)
	return in
}

// logTimeout returns the timeout of a request for the bounds of the log. The answer can be large:
// the platform's store includes its newest configuration, which with 16,384 routes takes 8 s on a
// link of 5 Mbit/s. The callers on the starting host should wait that long only if no other daemon
// has a state.
func (r *recoverer) logTimeout(in Input) time.Duration {
	if in.enoughAnswers() {
		return min(r.opts.LogTimeoutWithPeers, r.opts.LogTimeout)
	}
	return r.opts.LogTimeout
}

// noteLogError stores the error of a request to the log, if any, for the log line of the round.
func (r *recoverer) noteLogError(err error) {
	if err != nil {
		r.logError = err
	}
}

// updateAndDecide updates the input with the current state and returns the decision.
func (r *recoverer) updateAndDecide(in *Input) Decision {
	r.setOwn(in)
	return Decide(*in)
}

// setOwn sets the parts of the input that depend on the current state.
func (r *recoverer) setOwn(in *Input) {
	if r.state == nil {
		return
	}
	own := PositionOf(r.state)
	in.Own = &own
	in.Log.NextUnsupported = r.unsupportedOffset == own.Offset+1
}

// findCheckpoint searches for the newest usable checkpoint. After an error the log counts as
// unavailable, never as one without a checkpoint.
func (r *recoverer) findCheckpoint(ctx context.Context, status *LogStatus) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.FetchTimeout)
	defer cancel()
	if err := r.loadCheckpoint(ctx); err != nil {
		r.noteLogError(errors.Wrap(err, "load checkpoint"))
		status.Readable = false
		status.NewestInvalid = errors.Is(err, fold.ErrBadDocument)
		return
	}
	status.CheckpointSearched = true
	if r.loaded != nil {
		p := PositionOf(r.loaded)
		status.Checkpoint = &p
	}
}

// loadCheckpoint sets r.loaded to the state of the newest usable checkpoint, nil if there is none.
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
	if err != nil && !errors.Is(err, checkpoint.ErrNoCheckpoint) {
		return err
	}
	r.found, r.loaded = r.scanner.Newest(), st
	return nil
}

// obtainStart decides and carries out what the decision requires, until the state to start from is
// available or known to be unavailable. It terminates because each step adds information or marks
// the state of one daemon as unavailable.
func (r *recoverer) obtainStart(ctx context.Context, in *Input) Decision {
	for {
		d := r.updateAndDecide(in)
		switch {
		case d.NeedCheckpoint:
			if r.mustStagger(in) {
				return d
			}
			r.findCheckpoint(ctx, &in.Log)
		case d.Problem == ProblemForked, d.Start.From == FromNone, d.Start.From == FromOwn:
			return d
		default:
			r.fetch(ctx, in, d.Start)
		}
	}
}

// mustStagger reports whether the round must end for a wait before the checkpoint is read. That
// happens at most once, and not if the wait is zero: the next round requests the bounds of the log
// again, and a store sends its complete newest configuration with them. On a host with a slow link,
// callers would be refused for the time of a second transfer.
func (r *recoverer) mustStagger(in *Input) bool {
	if r.staggered || r.opts.Stagger == 0 || in.Peers.Known == 0 || in.Log.Bounds.End == 1 {
		return false
	}
	r.staggered = true
	return true
}

// fetch obtains the state to start from. If that fails, it marks the state of the daemon as
// unavailable.
func (r *recoverer) fetch(ctx context.Context, in *Input, from StartPoint) {
	st, err := r.stateOf(ctx, from)
	if err == nil {
		r.state, r.from = r.mergeEarlierEpoch(ctx, in, st), from.From
		r.refreshBounds(ctx, in)
		return
	}
	r.opts.Logger.Debug("recovery: cannot fetch state", "host", from.Host, "error", err)
	for i, a := range in.Peers.Answers {
		if a.Host == from.Host {
			in.Peers.Answers[i].StateUnavailable = true
		}
	}
}

// mergeEarlierEpoch returns a state with newer configuration from before a restore of the log. A
// log that was restored from an older copy may lack versions that are in force on this host, or on
// daemons that have not yet received the new epoch. The newest state of such a daemon is fetched
// and merged; if that fails, only the state of this host is.
func (r *recoverer) mergeEarlierEpoch(ctx context.Context, in *Input, st *fold.State) *fold.State {
	st = st.AfterRestore(r.state)
	var earlier PeerAnswer
	for _, a := range in.Peers.Answers {
		if !a.StateUnavailable && a.Offset > earlier.Offset && eventlog.Epoch(a.Offset) < eventlog.Epoch(st.Offset) {
			earlier = a
		}
	}
	if earlier.Offset == 0 {
		return st
	}
	theirs, err := r.stateOf(ctx, StartPoint{From: FromPeer, Host: earlier.Host, Position: earlier.Position})
	if err != nil {
		r.opts.Logger.Warn("recovery: cannot fetch state of earlier epoch", "host", earlier.Host, "error", err)
		return st
	}
	return st.AfterRestore(theirs)
}

// refreshBounds reads the bounds of the log again if the current state is beyond its end. Records
// may have been appended since the daemon answered, so that its state is newer than its answer and
// the bounds are out of date. A log that has lost records still ends before the state.
func (r *recoverer) refreshBounds(ctx context.Context, in *Input) {
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

// stateOf returns the state for a starting point. A daemon's state that is older than announced
// results in errStaleState.
func (r *recoverer) stateOf(ctx context.Context, s StartPoint) (*fold.State, error) {
	switch s.From {
	case FromCheckpoint:
		return r.loaded, nil
	case FromEmpty:
		return fold.Empty(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.FetchTimeout)
	defer cancel()
	st, err := r.opts.Peers.State(ctx, s.Host)
	if err != nil {
		return nil, err
	}
	if st.Offset < s.Offset {
		return nil, errors.Wrapf(errStaleState, "offset %d instead of %d", st.Offset, s.Offset)
	}
	return st, nil
}

// verifyLog reports whether the log may be folded onto the current state: it holds the record that
// was folded last, or has dropped it by retention. This is the only check that detects a log that
// lost records and has since grown beyond the state. Folding it would mix two histories.
//
// It also adds the document of that record to a state that lacks it because the daemon that sent
// the state has narrower limits and rejected the document.
func (r *recoverer) verifyLog(ctx context.Context, status *LogStatus) bool {
	at := r.state.Offset
	if at < status.Bounds.First {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.LogTimeout)
	defer cancel()
	records, err := r.opts.Config.Read(ctx, at, 1, 0)
	if err == nil && len(records) == 0 {
		err = errors.Newf("log does not hold record %d", at)
	}
	if err != nil {
		r.noteLogError(errors.Wrap(err, "read last folded record"))
		status.Readable = false
		return false
	}
	status.Rewritten = !r.state.LastRecordIs(records[0].Data)
	r.state = r.state.WithLastDocument(records[0].Data)
	return !status.Rewritten
}

// catchUp folds the records of the log up to an offset into the current state. If that fails, it
// records the reason in the input and keeps the state as folded so far.
func (r *recoverer) catchUp(ctx context.Context, in *Input, to uint64) {
	if !r.verifyLog(ctx, &in.Log) {
		return
	}
	chains := in.chains()
	for r.state.Offset < to {
		err := r.foldNext(ctx, to, chains)
		if err == nil {
			continue
		}
		r.noteLogError(errors.Wrap(err, "fold records of the log"))
		var unknown *fold.UnknownRuleError
		if errors.As(err, &unknown) {
			r.unsupportedOffset = unknown.Offset
		}
		var fork *fold.ForkError
		in.Forked = errors.As(err, &fork)
		return
	}
}

// foldNext reads and folds the next records, at most readLimit of them. It returns a
// *fold.ForkError at an offset where the resulting chain differs from the known one.
func (r *recoverer) foldNext(ctx context.Context, to uint64, chains map[uint64]fold.Chain) error {
	ctx, cancel := context.WithTimeout(ctx, r.opts.LogTimeout)
	defer cancel()
	from := r.state.Offset + 1
	limit := int(min(readLimit, to-r.state.Offset))
	records, err := r.opts.Config.Read(ctx, from, limit, 0)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return errors.Newf("log does not hold record %d", from)
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
