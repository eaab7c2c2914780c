// Package recovery determines the configuration state that a daemon starts from. A daemon stores
// nothing across restarts. The version that was in force on its host before the restart is the
// floor: the daemon must not serve an older one, or its callers would see a contract revert. The
// floor is derived from the log and from the offsets that other daemons have received for the
// host by gossip.
//
// A version is in force at a daemon while the daemon serves it.
package recovery

import (
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// Position is an offset of the configuration stream and the digest over all records up to it. The
// zero Chain means that the digest is unknown.
type Position struct {
	Offset uint64
	Chain  fold.Chain
}

// PositionOf returns the position of the last record folded into a state.
func PositionOf(st *fold.State) Position { return Position{st.Offset, st.Chain} }

// PeerAnswer is one daemon's answer to Peers.Ask.
type PeerAnswer struct {
	// Host is the daemon's host. It may be the asking host itself, if an earlier process of the
	// daemon has not ended yet.
	Host string
	// Position is that of the version in force at the daemon, zero if there is none.
	Position
	// Floor is the highest offset that the daemon knows to have been in force on the asking
	// host, including earlier processes of the daemon there.
	Floor uint64
	// StateUnavailable is set if the daemon's state could not be fetched: the daemon has ended,
	// or its state follows a later rule version that this program cannot decode. The offsets in
	// its answer still count.
	StateUnavailable bool
}

// PeerAnswers holds the answers of one round of Peers.Ask.
type PeerAnswers struct {
	// Known is the number of other daemons in the member table. Members considered dead are
	// included, because they may be alive on the other side of a network partition.
	Known   int
	Answers []PeerAnswer
}

// LogStatus holds what was read from the platform's log in one round.
type LogStatus struct {
	// Readable is set if the log could be read.
	Readable bool
	// Bounds are those of the configuration stream. They are read after the daemons have
	// answered, so that the log already holds each version in force at one of them.
	Bounds eventlog.Bounds
	// Checkpoint is the position of the newest usable checkpoint. It is nil if there is none,
	// and unless CheckpointSearched is set.
	Checkpoint *Position
	// CheckpointSearched is set once the log has been searched for a checkpoint.
	CheckpointSearched bool
	// Rewritten is set if the record at the offset of Input.Own is not the one that was folded
	// into that state.
	Rewritten bool
	// NewestInvalid is set if the log is available but the newest configuration in it is invalid.
	NewestInvalid bool
	// NextUnsupported is set if the record after Input.Own has a later rule version that this
	// program cannot fold. The end of the log then cannot be reached.
	NextUnsupported bool
}

// Input holds everything that Decide depends on.
type Input struct {
	Host  string
	Peers PeerAnswers
	Log   LogStatus
	// Own is the position of the state that the daemon holds, nil if it holds none.
	Own *Position
	// MinAnswers is the number of daemons with a version in force that must answer before the
	// floor is known without the log. A majority of the known daemons is sufficient if that is
	// fewer.
	MinAnswers int
	// Forked is set if folding the log resulted in another chain than a daemon or a checkpoint
	// has at the same offset.
	Forked bool
}

// Origin is the source of a state.
type Origin uint8

// The origins, in the order of preference for states at the same offset: the cheapest one first.
const (
	// FromNone means that there is no state.
	FromNone Origin = iota
	// FromOwn is the state that the daemon already holds.
	FromOwn
	// FromPeer is the state of another daemon.
	FromPeer
	// FromCheckpoint is the newest checkpoint in the platform's log or store.
	FromCheckpoint
	// FromEmpty is the empty state before the log's first record.
	FromEmpty
)

// String returns the name used in log lines.
func (o Origin) String() string {
	switch o {
	case FromOwn:
		return "own state"
	case FromPeer:
		return "peer"
	case FromCheckpoint:
		return "checkpoint"
	case FromEmpty:
		return "empty state"
	}
	return "nowhere"
}

// StartPoint identifies a state to start from.
type StartPoint struct {
	From Origin
	// Host is the host that has the state, set for FromPeer only.
	Host string
	Position
}

// Problem is a condition that operators need to know of. Its value is the text that is logged and
// reported to them.
type Problem string

const (
	NoProblem Problem = ""
	// ProblemForked means that there are two histories with different records at the same
	// offsets. It is unknown which of them was in force on this host.
	ProblemForked Problem = "daemons and log hold different records under the same offsets"
	// ProblemLogLostRecords means that the log ends before a version that is in force, or has
	// assigned its offset to another record. The daemon never reverts to an older version for
	// that reason.
	ProblemLogLostRecords Problem = "the log has lost records that are in force"
	// ProblemRetentionGap means that for every available state, the log has dropped records
	// that follow it.
	ProblemRetentionGap Problem = "the log has dropped records that no daemon and no checkpoint holds"
	// ProblemNoSource means that neither the log nor enough daemons have answered, so that the
	// floor is unknown.
	ProblemNoSource Problem = "the log is down and too few daemons have answered"
	// ProblemInvalidConfig means that the newest configuration in the log is invalid and too
	// few daemons have answered. It lasts until the operator publishes a valid one.
	ProblemInvalidConfig Problem = "the newest configuration in the log is not valid and too few daemons have answered"
	// ProblemBelowFloor means that all available states are below the floor.
	ProblemBelowFloor Problem = "no state at hand is as new as what this host had in force"
	// ProblemUnsupportedRecord means that the log holds a record whose rule version only a
	// newer program supports.
	ProblemUnsupportedRecord Problem = "the log holds a record that needs a newer program"
)

// Decision is the result of Decide.
type Decision struct {
	// Floor is the lowest offset that may be served. Nothing may be served unless FloorKnown is
	// set.
	Floor      uint64
	FloorKnown bool
	// Start identifies the state to start from.
	Start StartPoint
	// CanCatchUp is set if the log holds all records that follow Start, and this program can
	// fold them.
	CanCatchUp bool
	// NeedCheckpoint is set if the caller must search for a checkpoint and decide again.
	NeedCheckpoint bool
	// Problem is the problem found, NoProblem if there is none.
	Problem Problem
}

// CanServe reports whether the state to start from may be served immediately. An empty state may
// be served only if the log can be read up to its end: where daemons have a version in force,
// there is more than the empty state, even if none of their states can be fetched.
func (d Decision) CanServe() bool {
	if eventlog.Index(d.Start.Offset) == 0 && !d.CanCatchUp {
		return false
	}
	return d.FloorKnown && d.Start.Offset >= d.Floor
}

// Decide determines the state to start from and the floor.
//
// The starting state is the available one with the highest offset: within one history, a state
// includes all states at lower offsets. The floor is the highest offset that any daemon knows to
// have been in force on this host. Where the log can be read up to its end, the floor is at least
// the last record, since no host can have had a later one in force.
//
// A log that lost its last records would result in too low a floor. This is detected if a daemon
// or, where few daemons have answered, a checkpoint is beyond the end of the log.
//
// Where the log cannot be read, the floor is known once enough daemons have answered. It is then
// too low if the version in force on this host was known to none of the daemons that answered.
func Decide(in Input) Decision {
	d := Decision{Start: in.highest()}
	for _, a := range in.Peers.Answers {
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
	logLostRecords := in.Log.Readable && (in.Log.Rewritten || max(d.Floor, in.highestOffset()) >= in.Log.Bounds.End)
	holdsTail := in.Log.Readable && !logLostRecords && d.Start.From != FromNone && d.Start.Offset+1 >= in.Log.Bounds.First
	if in.Log.Readable && !in.Log.CheckpointSearched && !logLostRecords && !(holdsTail && enough) {
		d.NeedCheckpoint = true
		return d
	}
	d.CanCatchUp = holdsTail && !in.Log.NextUnsupported
	if d.CanCatchUp {
		d.Floor = max(d.Floor, in.Log.Bounds.End-1)
	}
	d.FloorKnown = d.CanCatchUp || enough
	d.Problem = in.problem(d, logLostRecords)
	return d
}

// highest returns the available state with the highest offset, the first origin in the order of
// the constants if several have that offset.
func (in Input) highest() StartPoint {
	var best StartPoint
	consider := func(s StartPoint) {
		if best.From == FromNone || s.Offset > best.Offset {
			best = s
		}
	}
	if in.Own != nil {
		consider(StartPoint{From: FromOwn, Position: *in.Own})
	}
	for _, a := range in.Peers.Answers {
		if a.Offset > 0 && !a.StateUnavailable {
			consider(StartPoint{From: FromPeer, Host: a.Host, Position: a.Position})
		}
	}
	if c := in.Log.Checkpoint; c != nil {
		consider(StartPoint{From: FromCheckpoint, Position: *c})
	}
	if in.Log.Readable && in.Log.Bounds.First == 1 {
		consider(StartPoint{From: FromEmpty})
	}
	return best
}

// forked reports whether two known positions have the same offset and different chains.
func (in Input) forked() bool {
	chains := in.chains()
	for _, p := range in.positions() {
		if p.Chain != (fold.Chain{}) && chains[p.Offset] != p.Chain {
			return true
		}
	}
	return false
}

// chains returns the known chains by offset.
func (in Input) chains() map[uint64]fold.Chain {
	chains := make(map[uint64]fold.Chain)
	for _, p := range in.positions() {
		if p.Chain != (fold.Chain{}) {
			chains[p.Offset] = p.Chain
		}
	}
	return chains
}

// highestOffset returns the highest offset of all known positions.
func (in Input) highestOffset() uint64 {
	offset := uint64(0)
	for _, p := range in.positions() {
		offset = max(offset, p.Offset)
	}
	return offset
}

// positions returns the known positions of daemons, the held state and the checkpoint.
func (in Input) positions() []Position {
	var list []Position
	for _, a := range in.Peers.Answers {
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

// enoughAnswers reports whether enough daemons have answered for the floor to be known without the
// log. Daemons without a version in force don't count: they have just started themselves and have
// not yet received the offsets of other hosts.
func (in Input) enoughAnswers() bool {
	n := 0
	for _, a := range in.Peers.Answers {
		if a.Offset > 0 {
			n++
		}
	}
	return n > 0 && n >= min(in.MinAnswers, in.Peers.Known/2+1)
}

// problem returns the problem to report for a decision.
func (in Input) problem(d Decision, logLostRecords bool) Problem {
	switch {
	case logLostRecords:
		return ProblemLogLostRecords
	case in.Log.NextUnsupported:
		return ProblemUnsupportedRecord
	case in.Log.Readable && !d.CanCatchUp:
		return ProblemRetentionGap
	case !d.FloorKnown && in.Log.NewestInvalid:
		return ProblemInvalidConfig
	case !d.FloorKnown:
		return ProblemNoSource
	case !d.CanCatchUp && !d.CanServe():
		return ProblemBelowFloor
	}
	return NoProblem
}
