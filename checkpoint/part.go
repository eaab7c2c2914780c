// Package checkpoint stores the folded configuration state in the platform's log, so that it
// outlasts the retention of the records it was folded from. Any daemon may write a checkpoint at
// any time: an incomplete checkpoint is ignored, and repeated, late or interrupted writes do no
// harm.
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
	// MaxBytes is the maximum size of a serialized state. It is larger than the limits of the
	// fold on resources, verdicts and deletions together.
	MaxBytes = 16 << 20

	// partOverheadBytes is reserved in each record for the fields other than data.
	partOverheadBytes = 1 << 10
	partDataBytes     = eventlog.MaxRecordBytes - partOverheadBytes
	maxParts          = (MaxBytes + partDataBytes - 1) / partDataBytes
	maxWriterBytes    = 256
)

// ErrTooLarge means that a serialized state exceeds MaxBytes.
var ErrTooLarge = errors.New("state is too large for a checkpoint")

// digest is the SHA-256 digest of a serialized state.
type digest [sha256.Size]byte

// partKey identifies the parts that belong together. It includes all fields that these parts have
// in common, so that inconsistent parts are never joined.
type partKey struct {
	writer string
	id     uint64
	offset uint64
	count  uint32
	digest digest
}

// splitState serializes a state and splits it into the parts of one checkpoint.
func splitState(writer string, id uint64, st *fold.State) ([]*configpb.CheckpointPart, error) {
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

// parsePart parses a record of the stream; ok is false if it is not a part that a Writer could
// have appended.
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
