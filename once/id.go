package once

import (
	"encoding/binary"
	"fmt"

	"github.com/crocuscross/crocuscross/errkind"
)

// IDBytes is the length of an ID in bytes.
const IDBytes = 16

// ID identifies one attempt. It consists of the boot of the gate that the attempt
// is sent to, the number of the lane that the gate opened for the sender, and a
// sequence number that the sender increments within the lane. The order within a
// lane allows the gate to distinguish an attempt whose entry was evicted from one
// that it has never received.
type ID [IDBytes]byte

func newID(boot uint64, lane, seq uint32) ID {
	var id ID
	binary.BigEndian.PutUint64(id[:8], boot)
	binary.BigEndian.PutUint32(id[8:12], lane)
	binary.BigEndian.PutUint32(id[12:], seq)
	return id
}

// ParseID parses the binary form of an ID. The error is errkind.BadRequest.
func ParseID(b []byte) (ID, error) {
	if len(b) != IDBytes {
		return ID{}, errkind.Newf(errkind.BadRequest, "attempt ID has %d bytes, want %d", len(b), IDBytes)
	}
	return ID(b), nil
}

// Boot returns the boot of the gate that the attempt is sent to.
func (id ID) Boot() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// lane returns the lane number.
func (id ID) lane() uint32 { return binary.BigEndian.Uint32(id[8:12]) }

// seq returns the sequence number within the lane, starting at 1.
func (id ID) seq() uint32 { return binary.BigEndian.Uint32(id[12:]) }

// callNumber returns the attempt's number in the gate's callTable: the lane number in the
// upper 32 bits, the sequence number in the lower 32 bits.
func (id ID) callNumber() uint64 { return binary.BigEndian.Uint64(id[8:]) }

// String returns the boot, the lane and the sequence number in hexadecimal, for logs.
func (id ID) String() string {
	return fmt.Sprintf("%016x-%x-%x", id.Boot(), id.lane(), id.seq())
}
