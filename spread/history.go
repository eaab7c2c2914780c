package spread

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

// Bounds of the batches that wait for the records before them. A batch larger than
// maxPendingBatchBytes is dropped and pulled again when the records before it have arrived.
const (
	maxPendingBatches    = 64
	maxPendingBatchBytes = 64 << 10
)

var (
	// errGap means that records before the batch are missing.
	errGap = errors.New("records before the batch are missing")
	// errDiverged means that a batch does not continue the records applied here: the two daemons
	// read different logs.
	errDiverged = errors.New("records do not follow the version in force")
	// errMalformed means that a message from another daemon is inconsistent or cannot be decoded.
	errMalformed = errors.New("batch of records is malformed")
)

// batch is a sequence of records with consecutive offsets.
type batch struct {
	// base is the offset before the first record; chain is the chain digest at base.
	base    uint64
	chain   fold.Chain
	records []*configpb.SequencedRecord
}

// newBatch returns a batch received from another daemon, or errMalformed if its parts are
// inconsistent.
func newBatch(base uint64, chain []byte, records []*configpb.SequencedRecord) (batch, error) {
	b := batch{base: base, records: records}
	if len(chain) != len(b.chain) {
		return batch{}, errors.Wrap(errMalformed, "wrong length of the chain digest")
	}
	copy(b.chain[:], chain)
	for i, r := range records {
		if r.GetOffset() != base+uint64(i)+1 {
			return batch{}, errors.Wrapf(errMalformed, "record at offset %d follows offset %d", r.GetOffset(), base+uint64(i))
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

// history holds the current state and the latest records. All records are applied here, whichever
// way they arrived.
type history struct {
	onState func(*fold.State)
	// onRejected is called with each record that advanced the offset but changed nothing, and with
	// its size in bytes.
	onRejected func(v fold.Verdict, bytes int)

	mu      sync.Mutex
	state   *fold.State
	ring    ring
	pending []batch
	// unknownRuleOffset is the offset of a record whose rule version this program does not support,
	// 0 if there is none.
	unknownRuleOffset uint64
}

// current returns the current state, or nil before the first.
func (h *history) current() *fold.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// offset returns the offset of the current state, or 0 before the first.
func (h *history) offset() uint64 {
	if st := h.current(); st != nil {
		return st.Offset
	}
	return 0
}

// blockedAt reports whether the record after offset is one that this program cannot apply.
func (h *history) blockedAt(offset uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unknownRuleOffset != 0 && h.unknownRuleOffset == offset+1
}

// install sets a whole state as the current one if it is newer, and reports whether it was. If the
// state comes from a log that was restored from an older copy, newer content of the current state
// that the log lacks is kept.
func (h *history) install(st *fold.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != nil && st.Offset <= h.state.Offset {
		return false
	}
	st = st.AfterRestore(h.state)
	h.state = st
	h.ring.reset(st.Offset, st.Chain, lastRecord(st))
	h.onState(st)
	_, _ = h.applyPending()
	return true
}

// mergeNewer merges what another daemon's state holds beyond the current state into it, and reports
// whether there was anything.
func (h *history) mergeNewer(theirs *fold.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.state.WithNewerPeerState(theirs)
	if st == h.state {
		return false
	}
	h.state = st
	h.onState(st)
	return true
}

// lastRecord returns the record that was applied last to a state, if it can be derived from the
// state: it is then the record of the current document and no record followed it. Otherwise it
// returns nil, and the next record is packed without a dictionary.
//
// Without this, the first version after a start of all daemons would have no dictionary and be sent
// whole, and pushes of large documents would time out on slow links. The check against the chain
// digest suffices: a state whose chain ends with these bytes has them as its last record,
// regardless of which program encoded them.
func lastRecord(st *fold.State) []byte {
	d := st.Document()
	if d == nil {
		return nil
	}
	data, err := fold.EncodeDocument(d)
	if err != nil || !st.LastRecordIs(data) {
		return nil
	}
	return data
}

// apply applies the new records of a batch and returns their number. On errGap the batch is kept
// until the records before it have arrived. After an error the state is at the last record that
// could be applied.
func (h *history) apply(b batch) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, err := h.applyContiguous(b)
	if errors.Is(err, errGap) && (h.state == nil || b.base > h.state.Offset) {
		h.keepPending(b)
	}
	if err != nil || n == 0 {
		return n, err
	}
	more, err := h.applyPending()
	return n + more, err
}

// applyContiguous applies the new records of a batch that begins at or before the current offset.
// Otherwise the error is errGap.
func (h *history) applyContiguous(b batch) (int, error) {
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
		if err := h.applyRecord(r); err != nil {
			return n, err
		}
		n++
	}
	if n > 0 {
		h.onState(h.state)
	}
	return n, nil
}

// checkOverlap compares a batch with the records applied already. A comparison of offsets alone
// would accept records of a log that lost its end and was written again; two daemons would then
// serve different contracts under the same version.
func (h *history) checkOverlap(b batch) error {
	chain, ok := h.ring.chainAt(b.base)
	if !ok {
		// The batch begins before the records held. Its end may be new but cannot be verified
		// against the current state; a pull can be.
		if b.end() <= h.state.Offset {
			return nil
		}
		return errGap
	}
	if chain != b.chain {
		return errors.Wrapf(errDiverged, "chain digest at offset %d", b.base)
	}
	for _, r := range b.records {
		if e := h.ring.entry(r.GetOffset()); e != nil && !bytes.Equal(e.record.GetData(), r.GetData()) {
			return errors.Wrapf(errDiverged, "record at offset %d", r.GetOffset())
		}
	}
	return nil
}

// applyRecord applies the record that follows the current offset.
func (h *history) applyRecord(r *configpb.SequencedRecord) error {
	st, verdict, err := fold.Apply(h.state, r.GetOffset(), r.GetData())
	if err != nil {
		var unknown *fold.UnknownRuleError
		if errors.As(err, &unknown) {
			h.unknownRuleOffset = unknown.Offset
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

// keepPending keeps a batch that arrived before the records it follows. Pushes over different
// streams may arrive out of order.
func (h *history) keepPending(b batch) {
	if b.bytes() > maxPendingBatchBytes {
		return
	}
	if len(h.pending) == maxPendingBatches {
		h.pending = h.pending[1:]
	}
	h.pending = append(h.pending, b)
}

// applyPending applies the pending batches that have become contiguous and drops those that are
// already applied.
func (h *history) applyPending() (int, error) {
	total := 0
	for again := true; again; {
		again = false
		kept := h.pending[:0]
		for _, b := range h.pending {
			if b.base > h.state.Offset {
				kept = append(kept, b)
				continue
			}
			n, err := h.applyContiguous(b)
			total += n
			again = again || n > 0
			if err != nil && !errors.Is(err, errGap) {
				h.pending = nil
				return total, err
			}
		}
		h.pending = kept
	}
	return total, nil
}

// chainAt returns the chain digest at an offset; ok is false if it is not held.
func (h *history) chainAt(offset uint64) (fold.Chain, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ring.chainAt(offset)
}

// recordAt returns the record at an offset if it is known.
func (h *history) recordAt(offset uint64) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ring.dictionary(offset)
}

// after returns the records that follow an offset, limited to maxBytes; ok is false if they are not
// all held.
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
