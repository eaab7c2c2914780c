// Package recovery decides what configuration a daemon starts from. A daemon
// forgets everything when it restarts; what its host had in force before is
// the floor below which it must not serve, or callers would see a contract
// revert. The floor comes from what other daemons heard and from the log.
package recovery

import (
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// Position is a point in the configuration's history. The zero Chain means that
// the digest is not known.
type Position struct {
	Offset uint64
	Chain  fold.Chain
}

// PositionOf returns where a state stands.
func PositionOf(st *fold.State) Position { return Position{st.Offset, st.Chain} }

// PeerAnswer is what one daemon said.
type PeerAnswer struct {
	// Host of the daemon. It may be the asking host's own: an earlier life of
	// the process that has not ended yet.
	Host string
	// Position is what the daemon has in force, zero while it has nothing.
	Position
	// Floor is the highest offset that the daemon has heard the asking host had
	// in force, in any life of its process.
	Floor uint64
	// Unusable is set where the daemon's state could not be had: the daemon has
	// gone, or runs a newer program under a later rule. What it said of offsets
	// still counts.
	Unusable bool
}

// PeerAnswers is what was heard from other daemons.
type PeerAnswers struct {
	// Known is the number of other daemons known of. Those believed dead count:
	// they may be alive on the other side of a cut.
	Known   int
	Answers []PeerAnswer
}

// LogFacts is what the platform's log said.
type LogFacts struct {
	// Readable is unset while the log is down.
	Readable bool
	// Bounds of the configuration stream, taken after the daemons answered: a
	// version that one of them has in force is in the log by then.
	Bounds eventlog.Bounds
	// Checkpoint is the newest usable one, nil if there is none or it has not
	// been looked for.
	Checkpoint *Position
	// Looked is whether the checkpoint has been looked for.
	Looked bool
	// Rewritten is set where the log holds another record than Own at Own's
	// offset.
	Rewritten bool
	// Unusable is set where the log is there and the newest configuration in it is
	// not valid.
	Unusable bool
	// Blocked is set where the log holds a record of a later rule that this
	// program cannot fold, so that its end cannot be reached.
	Blocked bool
}

// Input is all that Decide goes by.
type Input struct {
	Host    string
	Hearing PeerAnswers
	Log     LogFacts
	// Own is the state at hand, nil in a process that has just started.
	Own *Position
	// MinAnswers is how many daemons must answer where the log cannot bound the
	// floor. A majority of the daemons known of is enough in a small fleet.
	MinAnswers int
	// Forked is set where folding the log has led to another chain than a daemon
	// or a checkpoint has at the same offset.
	Forked bool
}

// Origin is where a state comes from.
type Origin uint8

// The origins, the cheapest first.
const (
	FromNowhere Origin = iota
	FromOwn
	FromPeer
	FromCheckpoint
	// FromScratch is the empty state before the log's first record.
	FromScratch
)

// String returns the name used in logs.
func (o Origin) String() string {
	switch o {
	case FromOwn:
		return "own state"
	case FromPeer:
		return "peer"
	case FromCheckpoint:
		return "checkpoint"
	case FromScratch:
		return "empty state"
	}
	return "nowhere"
}

// Start is a state to start from.
type Start struct {
	From Origin
	// Host is set for FromPeer.
	Host string
	Position
}

// Problem is what operators have to know. Its value is the text for them.
type Problem string

// The problems.
const (
	NoProblem Problem = ""
	// ProblemForked means that two histories hold different records under the
	// same offsets. No state can be trusted to hold what was in force here.
	ProblemForked Problem = "daemons and log hold different records under the same offsets"
	// ProblemLogWentBack means that the log ends before a version that is in
	// force, or has given its offset out again. Nothing that it holds is a
	// reason to go back.
	ProblemLogWentBack Problem = "the log has lost records that are in force"
	// ProblemHistoryLost means that the log no longer holds the records after
	// any state at hand.
	ProblemHistoryLost Problem = "the log has dropped records that no daemon and no checkpoint holds"
	// ProblemNoSource means that neither the log nor enough daemons have
	// answered, so that the floor is unknown.
	ProblemNoSource Problem = "the log is down and too few daemons have answered"
	// ProblemUnusable means that the newest configuration in the log is not valid
	// and too few daemons have answered. Only the operator's next one ends that.
	ProblemUnusable Problem = "the newest configuration in the log is not valid and too few daemons have answered"
	// ProblemBehind means that all states at hand are below the floor.
	ProblemBehind Problem = "no state at hand is as new as what this host had in force"
	// ProblemBlocked means that a record needs a newer program.
	ProblemBlocked Problem = "the log holds a record that needs a newer program"
)

// Decision is what to do.
type Decision struct {
	// Floor is the offset below which nothing may be served. Nothing may be
	// served at all unless FloorKnown is set.
	Floor      uint64
	FloorKnown bool
	// Start is the state to start from.
	Start Start
	// CatchUp is whether the log holds all records that follow Start.
	CatchUp bool
	// LookForCheckpoint asks to look for a checkpoint and to decide again.
	LookForCheckpoint bool
	Problem           Problem
}

// Serve reports whether the state to start from may be served at once. The
// empty state may where the log itself says that nothing has been published:
// daemons that have something in force tell that there is more, even if their
// states cannot be had.
func (d Decision) Serve() bool {
	if eventlog.Index(d.Start.Offset) == 0 && !d.CatchUp {
		return false
	}
	return d.FloorKnown && d.Start.Offset >= d.Floor
}

// Decide chooses the state to start from and the floor.
//
// The highest state at hand is the one to start from: states of one history
// contain each other. The floor is the highest of what daemons heard of this
// host and, where the log can be read up to its end, the last record there: no
// host can have had a later one in force. A log that lost its end would set the
// floor too low; it is told by a daemon or, where few have answered, by a
// checkpoint that is beyond the end. Where the log cannot be read, what daemons
// heard is taken for the floor once enough of them have answered. What remains
// then is a version that was in force here and that none of those who answered
// knows of.
func Decide(in Input) Decision {
	d := Decision{Start: in.highest()}
	for _, a := range in.Hearing.Answers {
		d.Floor = max(d.Floor, a.Floor)
		if a.Host == in.Host {
			d.Floor = max(d.Floor, a.Offset)
		}
	}
	if in.Forked || in.forked() {
		d.Problem = ProblemForked
		return d
	}
	enough := in.enoughAnswers()
	wentBack := in.Log.Readable && (in.Log.Rewritten || max(d.Floor, in.furthest()) >= in.Log.Bounds.End)
	tail := in.Log.Readable && !wentBack && d.Start.From != FromNowhere && d.Start.Offset+1 >= in.Log.Bounds.First
	if in.Log.Readable && !in.Log.Looked && !wentBack && !(tail && enough) {
		d.LookForCheckpoint = true
		return d
	}
	d.CatchUp = tail && !in.Log.Blocked
	if d.CatchUp {
		d.Floor = max(d.Floor, in.Log.Bounds.End-1)
	}
	d.FloorKnown = d.CatchUp || enough
	d.Problem = in.problem(d, wentBack)
	return d
}

// highest returns the state at hand with the highest offset.
func (in Input) highest() Start {
	var best Start
	consider := func(s Start) {
		if best.From == FromNowhere || s.Offset > best.Offset {
			best = s
		}
	}
	if in.Own != nil {
		consider(Start{From: FromOwn, Position: *in.Own})
	}
	for _, a := range in.Hearing.Answers {
		if a.Offset > 0 && !a.Unusable {
			consider(Start{From: FromPeer, Host: a.Host, Position: a.Position})
		}
	}
	if c := in.Log.Checkpoint; c != nil {
		consider(Start{From: FromCheckpoint, Position: *c})
	}
	if in.Log.Readable && in.Log.Bounds.First == 1 {
		consider(Start{From: FromScratch})
	}
	return best
}

// forked reports whether two states at the same offset have different chains.
func (in Input) forked() bool {
	chains := in.chains()
	for _, p := range in.positions() {
		if p.Chain != (fold.Chain{}) && chains[p.Offset] != p.Chain {
			return true
		}
	}
	return false
}

// chains returns the chain at each offset for which one is known.
func (in Input) chains() map[uint64]fold.Chain {
	chains := make(map[uint64]fold.Chain)
	for _, p := range in.positions() {
		if p.Chain != (fold.Chain{}) {
			chains[p.Offset] = p.Chain
		}
	}
	return chains
}

// furthest returns the highest offset that anything at hand has reached.
func (in Input) furthest() uint64 {
	offset := uint64(0)
	for _, p := range in.positions() {
		offset = max(offset, p.Offset)
	}
	return offset
}

// positions returns all positions that are known.
func (in Input) positions() []Position {
	var list []Position
	for _, a := range in.Hearing.Answers {
		list = append(list, a.Position)
	}
	if in.Own != nil {
		list = append(list, *in.Own)
	}
	if in.Log.Checkpoint != nil {
		list = append(list, *in.Log.Checkpoint)
	}
	return list
}

// enoughAnswers reports whether enough daemons have answered to take what they
// heard for the floor. One that has nothing in force has just started itself
// and heard nothing.
func (in Input) enoughAnswers() bool {
	n := 0
	for _, a := range in.Hearing.Answers {
		if a.Offset > 0 {
			n++
		}
	}
	return n > 0 && n >= min(in.MinAnswers, in.Hearing.Known/2+1)
}

func (in Input) problem(d Decision, wentBack bool) Problem {
	switch {
	case wentBack:
		return ProblemLogWentBack
	case in.Log.Blocked:
		return ProblemBlocked
	case in.Log.Readable && !d.CatchUp:
		return ProblemHistoryLost
	case !d.FloorKnown && in.Log.Unusable:
		return ProblemUnusable
	case !d.FloorKnown:
		return ProblemNoSource
	case !d.CatchUp && !d.Serve():
		return ProblemBehind
	}
	return NoProblem
}
