package fold

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

// Delta is a run of records that follow one another, as daemons pass it on.
type Delta struct {
	// Base is the offset before the first record, and BaseChain the sender's
	// chain there.
	Base      uint64
	BaseChain Chain
	Records   []eventlog.Record
}

// ForkError means that two daemons have folded different records under the
// same offsets. That happens when the log lost its end and gave the offsets
// out again.
type ForkError struct {
	Offset       uint64
	Ours, Theirs Chain
}

// Error tells where the two differ and the start of both digests.
func (e *ForkError) Error() string {
	return fmt.Sprintf("records up to %d differ: chain %x here, %x there", e.Offset, e.Ours[:4], e.Theirs[:4])
}

// ApplyDelta folds a delta as ApplyAll does, once the sender is known to have
// folded the same records before it. Without that check a log that gave out
// offsets twice would leave daemons with a mixture of both histories, each at
// the same offset, and nobody would notice. The chain covers every record up
// to the state's offset, so comparing it there is enough.
//
// The error is a *ForkError, which must be reported and leaves the state as it
// is, ErrGap where the delta starts beyond the state or has holes, or an
// *UnknownRuleError. A delta that ends before the state is skipped.
func ApplyDelta(s *State, d Delta) (*State, []Verdict, error) {
	if d.Base > s.Offset {
		return s, nil, errors.Wrapf(ErrGap, "delta from %d after state %d", d.Base, s.Offset)
	}
	at, chain := d.Base, d.BaseChain
	rest := d.Records
	for len(rest) > 0 && at < s.Offset {
		if rest[0].Offset != at+1 {
			return s, nil, errors.Wrapf(ErrGap, "delta has record %d after %d", rest[0].Offset, at)
		}
		at++
		chain = chain.Extend(at, rest[0].Data)
		rest = rest[1:]
	}
	if at < s.Offset {
		return s, nil, nil
	}
	if chain != s.Chain {
		return s, nil, &ForkError{Offset: at, Ours: s.Chain, Theirs: chain}
	}
	return ApplyAll(s, rest)
}
