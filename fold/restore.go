package fold

import (
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// AfterRestore returns the state that a daemon puts in force at s if it has prev in force and the
// log was restored from an older copy in between; s itself if both are of one epoch. The
// copy may lack what is in force, and hold what has been replaced or withdrawn since. Taken
// as it is, callers of routes added lately would get 404, and contracts would revert, until
// the operator has written again what was lost.
//
// Of two documents the one with the higher version stays, as versions only rise. Rollouts
// have no number of their own; see orderAfter. The chain is that of the log, so that what
// follows folds alike at all daemons, whatever they have carried over.
func (s *State) AfterRestore(prev *State) *State {
	if prev == nil || eventlog.Epoch(s.Offset) <= eventlog.Epoch(prev.Offset) {
		return s
	}
	return s.carry(prev)
}

// WithNewerPeerState returns the state with what another daemon has in force beyond it, s itself if
// that is no newer. A daemon that has started from a log restored from an older copy learns so
// what the copy lacks.
func (s *State) WithNewerPeerState(theirs *State) *State {
	if theirs.document.GetVersion() <= s.document.GetVersion() {
		return s
	}
	return s.carry(theirs)
}

func (s *State) carry(prev *State) *State {
	n := s.next()
	if d := prev.document; d != nil && d.GetVersion() >= n.document.GetVersion() {
		n.document = d
	}
	for _, known := range prev.Rollouts() {
		n.setRollout(orderAfter(n.Rollout(known.GetRollout().GetService()), known, prev.Offset))
	}
	n.rule = max(n.rule, prev.rule)
	return n
}

// orderAfter returns which order for a service stands after a restore: the one in the log,
// nil if there is none, or the one known before.
//
// The same order keeps its offset, or a finished rollout would begin anew. Another one is
// newer if it stands behind the known one, where the daemon has read that there was none.
// Elsewhere it may be an earlier one that the copy still holds, while it lacks the known one,
// which the operator writes again.
func orderAfter(inLog, known *configpb.RolloutOrder, read eventlog.Offset) *configpb.RolloutOrder {
	stated := statedAt(known)
	switch {
	case inLog == nil:
		return known
	case proto.Equal(inLog.GetRollout(), known.GetRollout()):
		return restated(known, inLog.GetOffset())
	case eventlog.Epoch(stated) == eventlog.Epoch(read) && eventlog.Index(inLog.GetOffset()) > eventlog.Index(stated):
		return inLog
	}
	return known
}

// statedAt returns the offset of the latest record that states an order.
func statedAt(o *configpb.RolloutOrder) eventlog.Offset { return max(o.GetOffset(), o.GetRestated()) }

func restated(o *configpb.RolloutOrder, at eventlog.Offset) *configpb.RolloutOrder {
	return &configpb.RolloutOrder{Rollout: o.GetRollout(), Offset: o.GetOffset(), Restated: at}
}

// restates reports whether a record at an offset states an order again that the log may
// have lost by a restore. Once it has, the same order is a new one.
func restates(o *configpb.RolloutOrder, r *configpb.Rollout, at eventlog.Offset) bool {
	return o != nil && eventlog.Epoch(statedAt(o)) < eventlog.Epoch(at) && proto.Equal(o.GetRollout(), r)
}
