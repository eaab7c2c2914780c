package spread

import (
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
)

// Bounds of the records kept in memory for daemons that pull.
const (
	maxRingRecords = 1024
	maxRingBytes   = 2 << 20
	// minRingRecords are kept regardless of their size: the latest record, and the one before it as
	// its compression dictionary. With the latest alone, records larger than half of maxRingBytes
	// would be pushed and pulled without a dictionary. Two records with the maximum of 16,384
	// routes have 2.1 MB at 64 bytes per route.
	minRingRecords = 2
)

// ring holds the latest applied records, so that a daemon that is a little behind receives these
// instead of the whole state.
type ring struct {
	// base is the offset before the first entry; chain is the chain digest at base.
	base  uint64
	chain fold.Chain
	// baseRecord is the record at base if it is known from the state installed there, else nil. It
	// is not an entry: it only serves as the dictionary for the first entry.
	baseRecord []byte
	entries    []ringEntry
	bytes      int
}

// ringEntry is one record of the ring.
type ringEntry struct {
	record *configpb.SequencedRecord
	// chain is the chain digest after the record.
	chain fold.Chain
	// packedDelta and packedAlone cache the record packed with the preceding record as dictionary
	// and without one. They are nil until first needed.
	packedDelta, packedAlone []byte
}

// packedSlot returns a pointer to the cached packed form of a record, or nil if the ring does not
// hold the record.
func (r *ring) packedSlot(offset uint64, alone bool) *[]byte {
	e := r.entry(offset)
	switch {
	case e == nil:
		return nil
	case alone:
		return &e.packedAlone
	}
	return &e.packedDelta
}

// reset empties the ring; the next record follows offset. baseRecord is the record at offset, or
// nil if it is not known.
func (r *ring) reset(offset uint64, chain fold.Chain, baseRecord []byte) {
	*r = ring{base: offset, chain: chain, baseRecord: baseRecord}
}

// add appends the next record and drops the oldest ones that exceed the bounds.
func (r *ring) add(rec *configpb.SequencedRecord, chain fold.Chain) {
	r.entries = append(r.entries, ringEntry{record: rec, chain: chain})
	r.bytes += len(rec.GetData())
	for len(r.entries) > maxRingRecords || r.bytes > maxRingBytes && len(r.entries) > minRingRecords {
		first := r.entries[0]
		r.bytes -= len(first.record.GetData())
		r.base++
		r.chain = first.chain
		r.baseRecord = nil
		r.entries[0] = ringEntry{}
		r.entries = r.entries[1:]
	}
}

// chainAt returns the chain digest at an offset; ok is false if the ring does not hold it.
func (r *ring) chainAt(offset uint64) (fold.Chain, bool) {
	if offset == r.base {
		return r.chain, true
	}
	if e := r.entry(offset); e != nil {
		return e.chain, true
	}
	return fold.Chain{}, false
}

// entry returns the ring entry for an offset, or nil if the ring does not hold it.
func (r *ring) entry(offset uint64) *ringEntry {
	if offset <= r.base || offset > r.base+uint64(len(r.entries)) {
		return nil
	}
	return &r.entries[offset-r.base-1]
}

// dictionary returns the record at an offset, which serves as the dictionary for the next record;
// ok is false if the record is not known.
func (r *ring) dictionary(offset uint64) (data []byte, ok bool) {
	if offset == r.base {
		return r.baseRecord, r.baseRecord != nil
	}
	if e := r.entry(offset); e != nil {
		return e.record.GetData(), true
	}
	return nil, false
}

// after returns the records that follow an offset: at least one if there is any, and otherwise at
// most maxBytes of them. ok is false if the ring no longer holds the first of them.
func (r *ring) after(offset uint64, maxBytes int) (records []*configpb.SequencedRecord, ok bool) {
	if offset < r.base {
		return nil, false
	}
	bytes := 0
	for o := offset + 1; ; o++ {
		e := r.entry(o)
		if e == nil {
			return records, true
		}
		bytes += len(e.record.GetData())
		if bytes > maxBytes && len(records) > 0 {
			return records, true
		}
		records = append(records, e.record)
	}
}
