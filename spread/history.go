package spread

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

// Bounds of the batches kept that arrived before the one they follow. A larger
// batch is pulled again when its turn has come.
const (
	maxHeld      = 64
	maxHeldBytes = 64 << 10
)

var (
	// errGap means that records before the batch are missing.
	errGap = errors.New("records before the batch are missing")
	// errDiverged means that a batch does not continue the records folded here:
	// the two daemons read different logs.
	errDiverged = errors.New("records do not follow the version in force")
	// errMalformed means that a batch contradicts itself.
	errMalformed = errors.New("batch of records is malformed")
)

// batch is a run of records that follow one another.
type batch struct {
	// base is the offset before the first record, chain the digest there.
	base    uint64
	chain   fold.Chain
	records []*configpb.SequencedRecord
}

// newBatch checks what a peer sent.
func newBatch(base uint64, chain []byte, records []*configpb.SequencedRecord) (batch, error) {
	b := batch{base: base, records: records}
	if len(chain) != len(b.chain) {
		return batch{}, errors.Wrap(errMalformed, "chain digest length")
	}
	copy(b.chain[:], chain)
	for i, r := range records {
		if r.GetOffset() != base+uint64(i)+1 {
			return batch{}, errors.Wrapf(errMalformed, "record %d after %d", r.GetOffset(), base+uint64(i))
		}
	}
	return b, nil
}

func (b batch) end() uint64 { return b.base + uint64(len(b.records)) }

func (b batch) bytes() int {
	n := 0
	for _, r := range b.records {
		n += len(r.GetData())
	}
	return n
}

// history is the folded state with the latest records. It is where every
// record comes into force, whichever way it came.
type history struct {
	onState func(*fold.State)
	// onRejected is told of each record that moved the offset and changed nothing.
	onRejected func(v fold.Verdict, bytes int)

	mu    sync.Mutex
	state *fold.State
	ring  ring
	held  []batch
	// unknownRule is the offset of a record that this program cannot fold, 0
	// if there is none.
	unknownRule uint64
}

// current returns the state in force, nil before the first.
func (h *history) current() *fold.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// offset returns the version in force, 0 before the first.
func (h *history) offset() uint64 {
	if st := h.current(); st != nil {
		return st.Offset
	}
	return 0
}

// blockedAt reports whether the next record is one that cannot be folded.
func (h *history) blockedAt(offset uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unknownRule != 0 && h.unknownRule == offset+1
}

// adopt puts a whole state in force if it is newer, and reports whether it was. What a log
// that was restored from an older copy lacks stays in force.
func (h *history) adopt(st *fold.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != nil && st.Offset <= h.state.Offset {
		return false
	}
	st = st.After(h.state)
	h.state = st
	h.ring.reset(st.Offset, st.Chain, lastRecord(st))
	h.onState(st)
	_, _ = h.applyHeld()
	return true
}

// carry puts in force what another daemon has in force beyond the state here, and reports
// whether there was something.
func (h *history) carry(theirs *fold.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.state.WithCarried(theirs)
	if st == h.state {
		return false
	}
	h.state = st
	h.onState(st)
	return true
}

// lastRecord returns the record that a state folded last where the state tells it: that
// of the document in force, if no record came after it. Else it is nil.
//
// Without it, the first version after a start of all daemons has nothing to be packed
// with and travels whole, and pushes of large documents run into their timeouts on narrow
// links. That is enough, since a state whose chain ends with these bytes has them for its
// last record, whoever encoded it; another one is packed alone.
func lastRecord(st *fold.State) []byte {
	d := st.Document()
	if d == nil {
		return nil
	}
	data, err := fold.EncodeDocument(d)
	if err != nil || !st.LastIs(data) {
		return nil
	}
	return data
}

// apply folds the records of a batch that are new and returns their number. On
// errGap the batch is kept until the records before it have come. An error
// leaves the state at the last record that could be folded.
func (h *history) apply(b batch) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, err := h.applyOne(b)
	if errors.Is(err, errGap) && (h.state == nil || b.base > h.state.Offset) {
		h.hold(b)
	}
	if err != nil || n == 0 {
		return n, err
	}
	more, err := h.applyHeld()
	return n + more, err
}

func (h *history) applyOne(b batch) (int, error) {
	if h.state == nil || b.base > h.state.Offset {
		return 0, errGap
	}
	if err := h.checkOverlap(b); err != nil {
		return 0, err
	}
	n := 0
	for _, r := range b.records {
		if r.GetOffset() <= h.state.Offset {
			continue
		}
		if err := h.foldOne(r); err != nil {
			return n, err
		}
		n++
	}
	if n > 0 {
		h.onState(h.state)
	}
	return n, nil
}

// checkOverlap compares a batch with the records folded already. Offsets alone
// would let in the records of a log that lost its end and was written anew:
// two daemons would then run different contracts under the same version.
func (h *history) checkOverlap(b batch) error {
	chain, ok := h.ring.chainAt(b.base)
	if !ok {
		// The batch begins before what is remembered. Its end may be new, but
		// cannot be tied to the version in force; a pull can.
		if b.end() <= h.state.Offset {
			return nil
		}
		return errGap
	}
	if chain != b.chain {
		return errors.Wrapf(errDiverged, "digest at %d", b.base)
	}
	for _, r := range b.records {
		if e := h.ring.at(r.GetOffset()); e != nil && !bytes.Equal(e.record.GetData(), r.GetData()) {
			return errors.Wrapf(errDiverged, "record %d", r.GetOffset())
		}
	}
	return nil
}

func (h *history) foldOne(r *configpb.SequencedRecord) error {
	st, verdict, err := fold.Apply(h.state, r.GetOffset(), r.GetData())
	if err != nil {
		var unknown *fold.UnknownRuleError
		if errors.As(err, &unknown) {
			h.unknownRule = unknown.Offset
		}
		return err
	}
	if !verdict.Accepted {
		h.onRejected(verdict, len(r.GetData()))
	}
	h.state = st
	h.ring.add(r, st.Chain)
	return nil
}

// hold keeps a batch that came too early; pushes over different streams may
// overtake one another.
func (h *history) hold(b batch) {
	if b.bytes() > maxHeldBytes {
		return
	}
	if len(h.held) == maxHeld {
		h.held = h.held[1:]
	}
	h.held = append(h.held, b)
}

// applyHeld folds the held batches whose turn has come and drops those passed by.
func (h *history) applyHeld() (int, error) {
	total := 0
	for again := true; again; {
		again = false
		kept := h.held[:0]
		for _, b := range h.held {
			if b.base > h.state.Offset {
				kept = append(kept, b)
				continue
			}
			n, err := h.applyOne(b)
			total += n
			again = again || n > 0
			if err != nil && !errors.Is(err, errGap) {
				h.held = nil
				return total, err
			}
		}
		h.held = kept
	}
	return total, nil
}

// chainAt returns the digest at an offset, if it is remembered.
func (h *history) chainAt(offset uint64) (fold.Chain, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ring.chainAt(offset)
}

// recordAt returns a folded record, if it is known.
func (h *history) recordAt(offset uint64) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ring.dictionary(offset)
}

// after returns the records that follow an offset, at most maxBytes of them;
// ok is false where they are not all remembered.
func (h *history) after(offset uint64, maxBytes int) (b batch, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	chain, ok := h.ring.chainAt(offset)
	if !ok {
		return batch{}, false
	}
	records, ok := h.ring.after(offset, maxBytes)
	return batch{base: offset, chain: chain, records: records}, ok
}
