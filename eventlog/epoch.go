package eventlog

import "fmt"

// indexBits is the number of low bits of an offset that hold the index of a record within its
// epoch.
const indexBits = 32

// MaxIndex is the highest index of a record within an epoch.
const MaxIndex = 1<<indexBits - 1

// MakeOffset returns the offset of the record with the given index in an epoch. Indexes start at 1;
// index 0 is the position before the first record of the epoch. In epoch 0, an offset equals its
// index.
func MakeOffset(epoch uint32, index uint64) Offset { return uint64(epoch)<<indexBits | index&MaxIndex }

// Epoch returns the epoch part of an offset.
func Epoch(o Offset) uint32 { return uint32(o >> indexBits) }

// Index returns the index part of an offset: the position of its record within the epoch, starting
// at 1. Index 0 is the position before the first record.
func Index(o Offset) uint64 { return o & MaxIndex }

// RecordsBetween returns the number of records after from, up to and including to, or 0 if from is
// not before to. If from is in an earlier epoch than to, only the records of the epoch of to are
// counted, because the log does not report which records of the earlier epoch it still holds.
func RecordsBetween(from, to Offset) uint64 {
	switch {
	case from >= to:
		return 0
	case Epoch(from) < Epoch(to):
		return Index(to)
	}
	return to - from
}

// RestoredError means that the log was restored from an older copy after the requested offset was
// issued. Records of the offset's epoch may be lost, and other records may be stored at the same
// indexes. The reader has to continue from the newest state that the log holds.
type RestoredError struct {
	Requested Offset
	// Epoch is the current epoch of the log.
	Epoch uint32
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("cannot read record %d of epoch %d: the log was restored and is in epoch %d", Index(e.Requested), Epoch(e.Requested), e.Epoch)
}
