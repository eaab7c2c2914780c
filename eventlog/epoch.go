package eventlog

import "fmt"

// indexBits is how many of an offset's bits count the records of an epoch.
const indexBits = 32

// MaxIndex is the highest index of a record in an epoch.
const MaxIndex = 1<<indexBits - 1

// MakeOffset returns the offset of the record with an index in an epoch, from 1; index 0 stands
// before the first record of the epoch. Offsets of epoch 0 equal their indexes.
func MakeOffset(epoch uint32, index uint64) Offset { return uint64(epoch)<<indexBits | index&MaxIndex }

// Epoch returns the epoch of an offset.
func Epoch(o Offset) uint32 { return uint32(o >> indexBits) }

// Index returns the index of an offset's record in its epoch, from 1; 0 stands before the
// first record.
func Index(o Offset) uint64 { return o & MaxIndex }

// RecordsBetween returns how many records are known to lie beyond from, up to to. Of an epoch
// before that of to, the log does not tell what it still holds.
func RecordsBetween(from, to Offset) uint64 {
	switch {
	case from >= to:
		return 0
	case Epoch(from) < Epoch(to):
		return Index(to)
	}
	return to - from
}

// RestoredError means that the log came back from an older copy since the offset asked
// for: records of its epoch may be gone, and others may stand at their indexes. The newest
// state that the log keeps is where to go on from.
type RestoredError struct {
	Requested Offset
	// Epoch is that of the log now.
	Epoch uint32
}

// Error gives both epochs.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("record %d of epoch %d was asked for, the log was restored and is in epoch %d", Index(e.Requested), Epoch(e.Requested), e.Epoch)
}
