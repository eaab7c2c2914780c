// Package checkpoint keeps the folded configuration in the platform's log
// beyond the retention of the records that it was folded from. Any daemon may
// write one at any time: a checkpoint is whole or not there, and a repeated, late
// or interrupted write does no harm.
package checkpoint

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

const (
	// MaxBytes bounds a serialized state. It is above what the bounds of the
	// fold allow for resources, verdicts and deletions together.
	MaxBytes = 16 << 20

	// partOverheadBytes is kept free in a record for the fields beside data.
	partOverheadBytes = 1 << 10
	partDataBytes     = eventlog.MaxRecordBytes - partOverheadBytes
	maxParts          = (MaxBytes + partDataBytes - 1) / partDataBytes
	maxWriterBytes    = 256
)

// ErrTooLarge means that a state does not fit a checkpoint.
var ErrTooLarge = errors.New("state is too large for a checkpoint")

// digest of a serialized state.
type digest [sha256.Size]byte

// partKey tells which parts belong together. It holds everything that they
// have in common, so that parts which contradict each other are never joined.
type partKey struct {
	writer string
	id     uint64
	offset uint64
	count  uint32
	digest digest
}

// split serializes a state into the parts of one checkpoint.
func split(writer string, id uint64, st *fold.State) ([]*configpb.CheckpointPart, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(st.Encode())
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	if len(data) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	sum := sha256.Sum256(data)
	count := max(1, (len(data)+partDataBytes-1)/partDataBytes)
	parts := make([]*configpb.CheckpointPart, count)
	for i := range parts {
		parts[i] = &configpb.CheckpointPart{
			Writer: writer,
			Id:     id,
			Offset: st.Offset,
			Index:  uint32(i),
			Count:  uint32(count),
			Digest: sum[:],
			Data:   data[i*partDataBytes : min(len(data), (i+1)*partDataBytes)],
		}
	}
	return parts, nil
}

// parsePart reads one record of the stream; ok is false for anything that no
// writer appends.
func parsePart(data []byte) (part *configpb.CheckpointPart, key partKey, ok bool) {
	if len(data) > eventlog.MaxRecordBytes {
		return nil, partKey{}, false
	}
	part = &configpb.CheckpointPart{}
	if err := proto.Unmarshal(data, part); err != nil {
		return nil, partKey{}, false
	}
	count := part.GetCount()
	if len(part.GetDigest()) != sha256.Size || len(part.GetWriter()) > maxWriterBytes ||
		count > maxParts || part.GetIndex() >= count {
		return nil, partKey{}, false
	}
	return part, partKey{
		writer: part.GetWriter(),
		id:     part.GetId(),
		offset: part.GetOffset(),
		count:  count,
		digest: digest(part.GetDigest()),
	}, true
}
