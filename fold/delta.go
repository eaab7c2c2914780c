package fold

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Delta is a sequence of consecutive records, as daemons send them to each other.
type Delta struct {
	// Base is the offset before the first record. BaseChain is the sender's chain at Base.
	Base      uint64
	BaseChain Chain
	Records   []eventlog.Record
}

// ForkError means that two daemons have folded different records at the same offsets. This
// happens if the log lost its latest records and assigned their offsets again.
type ForkError struct {
	Offset       uint64
	Ours, Theirs Chain
}

// Error returns the offset up to which the records differ and the first bytes of both chains.
func (e *ForkError) Error() string {
	return fmt.Sprintf("records up to offset %d differ: own chain %x, peer chain %x", e.Offset, e.Ours[:4], e.Theirs[:4])
}

// ApplyDelta folds a delta like ApplyAll after checking that the sender has folded the same
// records before it. The chain covers every record up to the state's offset, so it is enough to
// compare the chains there. Without the check, if a log assigned offsets twice, daemons would
// silently end up with a mixture of both histories at the same offset.
//
// The error is a *ForkError, which the caller must report, ErrGap if the delta starts after the
// state's offset or has holes, or an *UnknownRuleError. After a *ForkError the state is
// unchanged. A delta that ends before the state's offset is skipped.
func ApplyDelta(s *State, d Delta) (*State, []Verdict, error) {
	if d.Base > s.Offset {
		return s, nil, errors.Wrapf(ErrGap, "delta starts after offset %d, state at offset %d", d.Base, s.Offset)
	}
	offset, chain := d.Base, d.BaseChain
	rest := d.Records
	for len(rest) > 0 && offset < s.Offset {
		if rest[0].Offset != offset+1 {
			return s, nil, errors.Wrapf(ErrGap, "delta has record %d after record %d", rest[0].Offset, offset)
		}
		offset++
		chain = chain.Extend(offset, rest[0].Data)
		rest = rest[1:]
	}
	if offset < s.Offset {
		return s, nil, nil
	}
	if chain != s.Chain {
		return s, nil, &ForkError{Offset: offset, Ours: s.Chain, Theirs: chain}
	}
	return ApplyAll(s, rest)
}
