package once

import (
	"encoding/binary"
	"fmt"

	"github.com/crocuscross/crocuscross/errkind"
)

// IDBytes is the length of an ID.
const IDBytes = 16

// ID names one attempt: the life of the gate that it is meant for, the lane
// that the gate opened for the sender, and a number that the sender counts up
// within the lane. The order within a lane is what lets a gate tell an attempt
// that it has forgotten from one that it has never seen.
type ID [IDBytes]byte

func newID(boot uint64, lane, seq uint32) ID {
	var id ID
	binary.BigEndian.PutUint64(id[:8], boot)
	binary.BigEndian.PutUint32(id[8:12], lane)
	binary.BigEndian.PutUint32(id[12:], seq)
	return id
}

// ParseID reads an ID from a message.
func ParseID(b []byte) (ID, error) {
	if len(b) != IDBytes {
		return ID{}, errkind.Newf(errkind.BadRequest, "attempt id has %d bytes instead of %d", len(b), IDBytes)
	}
	return ID(b), nil
}

// Boot returns the life of the gate that the attempt is meant for.
func (id ID) Boot() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// lane returns the number of the lane.
func (id ID) lane() uint32 { return binary.BigEndian.Uint32(id[8:12]) }

// seq returns the number within the lane, from 1.
func (id ID) seq() uint32 { return binary.BigEndian.Uint32(id[12:]) }

// number is the attempt's number in the gate's ledger.
func (id ID) number() uint64 { return binary.BigEndian.Uint64(id[8:]) }

// String returns the parts in hexadecimal, for logs.
func (id ID) String() string {
	return fmt.Sprintf("%016x-%x-%x", id.Boot(), id.lane(), id.seq())
}
