package fold

import (
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// AfterRestore returns the state that a daemon puts in force when it has prev in force and has
// read s from a log that was restored from an older copy. If both states are of the same epoch,
// it returns s. The copy may lack records whose effects are in force, and may contain what has
// been replaced or withdrawn since. If s were put in force unchanged, calls to recently added
// routes would get 404 and contracts would revert until the operator had written the lost records
// again.
//
// The document with the higher version is kept, as versions only rise. Rollouts have no version;
// see mergeOrder. The chain is that of the log, so that all daemons fold the following records
// alike, whatever they carried over.
func (s *State) AfterRestore(prev *State) *State {
	if prev == nil || eventlog.Epoch(s.Offset) <= eventlog.Epoch(prev.Offset) {
		return s
	}
	return s.carryOver(prev)
}

// WithNewerPeerState returns the state with the document and rollouts of another daemon's state
// carried over if the document there has a higher version, and otherwise s. A daemon that started
// from a log restored from an older copy uses it to get what the copy lacks.
func (s *State) WithNewerPeerState(theirs *State) *State {
	if theirs.document.GetVersion() <= s.document.GetVersion() {
		return s
	}
	return s.carryOver(theirs)
}

// carryOver returns the state with the document and the rollouts of prev where they take
// precedence.
func (s *State) carryOver(prev *State) *State {
	n := s.mutableCopy()
	if d := prev.document; d != nil && d.GetVersion() >= n.document.GetVersion() {
		n.document = d
	}
	for _, known := range prev.Rollouts() {
		n.setRollout(mergeOrder(n.Rollout(known.GetRollout().GetService()), known, prev.Offset))
	}
	n.rule = max(n.rule, prev.rule)
	return n
}

// mergeOrder returns the rollout order of a service that stays in force after a restore: the one
// in the log, nil if there is none, or the one known before. lastRead is the offset up to which
// the daemon has read the log before the restore.
//
// The same order keeps its offset: with a new one, a finished rollout would start again. A
// different order is newer if its index is higher than that of the known order and the known
// order was stated in the epoch of lastRead, so that the daemon has read that no other order
// followed it before the restore. In all other cases the order in the log may be an earlier one
// that the copy still contains, while it lacks the known order, which the operator writes again.
func mergeOrder(inLog, known *configpb.RolloutOrder, lastRead eventlog.Offset) *configpb.RolloutOrder {
	stated := lastStatedAt(known)
	switch {
	case inLog == nil:
		return known
	case proto.Equal(inLog.GetRollout(), known.GetRollout()):
		return withRestatedAt(known, inLog.GetOffset())
	case eventlog.Epoch(stated) == eventlog.Epoch(lastRead) && eventlog.Index(inLog.GetOffset()) > eventlog.Index(stated):
		return inLog
	}
	return known
}

// lastStatedAt returns the offset of the latest record that states an order.
func lastStatedAt(o *configpb.RolloutOrder) eventlog.Offset {
	return max(o.GetOffset(), o.GetRestated())
}

func withRestatedAt(o *configpb.RolloutOrder, at eventlog.Offset) *configpb.RolloutOrder {
	return &configpb.RolloutOrder{Rollout: o.GetRollout(), Offset: o.GetOffset(), Restated: at}
}

// isRestatement reports whether the record of rollout r at an offset states order o again in a
// later epoch, because a restore may have removed it from the log. Once an order is restated, the
// same order in another record of that epoch is a new one.
func isRestatement(o *configpb.RolloutOrder, r *configpb.Rollout, at eventlog.Offset) bool {
	return o != nil && eventlog.Epoch(lastStatedAt(o)) < eventlog.Epoch(at) && proto.Equal(o.GetRollout(), r)
}
