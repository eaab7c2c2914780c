package checkpoint

import (
	"bytes"
	"context"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// ErrNoCheckpoint means that the stream has no complete checkpoint that this program can use.
var ErrNoCheckpoint = errors.New("no complete checkpoint")

// errCorrupt means that the data of a checkpoint does not match the metadata of its parts.
var errCorrupt = errors.New("checkpoint is corrupt")

// Latest returns the state of the newest complete checkpoint in a stream. It reads all records
// that the stream retains and then reads the newest checkpoint again. The error is
// ErrNoCheckpoint if there is none, and eventlog.ErrUnavailable if the log cannot be read.
func Latest(ctx context.Context, log eventlog.Log) (*fold.State, error) {
	s := NewScanner(log)
	if err := s.Scan(ctx); err != nil {
		return nil, err
	}
	return s.Load(ctx)
}

// Load returns the state of the newest complete checkpoint that the scanner has found and that is
// still retained. It drops a checkpoint that was written under a later rule or does not contain a
// valid state, and tries the next older one: every state after which the log has all records
// leads to the same result of the fold.
func (s *Scanner) Load(ctx context.Context) (*fold.State, error) {
	var skipped error
	for len(s.complete) > 0 {
		cp := s.complete[0]
		st, err := s.loadCheckpoint(ctx, cp)
		if err == nil {
			return st, nil
		}
		if !unusable(err) {
			return nil, err
		}
		skipped = errors.CombineErrors(skipped, errors.Wrapf(err, "checkpoint of offset %d by %s", cp.Offset, cp.Writer))
		s.complete = s.complete[1:]
	}
	return nil, errors.WithSecondaryError(ErrNoCheckpoint, skipped)
}

// unusable reports whether an error is due to the checkpoint itself, so that another checkpoint
// may be usable.
func unusable(err error) bool {
	var truncated *eventlog.TruncatedError
	var unknown *fold.UnknownRuleError
	return errors.As(err, &truncated) || errors.As(err, &unknown) ||
		errors.Is(err, fold.ErrBadState) || errors.Is(err, errCorrupt)
}

func (s *Scanner) loadCheckpoint(ctx context.Context, cp *Checkpoint) (*fold.State, error) {
	data, err := s.readParts(ctx, cp)
	if err != nil {
		return nil, err
	}
	m := &configpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, errors.Mark(err, errCorrupt)
	}
	st, err := fold.Decode(m)
	if err != nil {
		return nil, err
	}
	if st.Offset != cp.Offset {
		return nil, errors.Wrapf(errCorrupt, "state has offset %d, its parts say %d", st.Offset, cp.Offset)
	}
	return st, nil
}

// readParts reads the parts of a checkpoint, joins their data and checks the digest.
func (s *Scanner) readParts(ctx context.Context, cp *Checkpoint) ([]byte, error) {
	var data bytes.Buffer
	data.Grow(cp.Bytes)
	for _, at := range cp.parts {
		records, err := s.log.Read(ctx, at, 1, 0)
		if err != nil {
			return nil, errors.Wrap(err, "read a checkpoint part")
		}
		if len(records) == 0 {
			return nil, errors.Wrapf(errCorrupt, "record %d of the checkpoint stream is missing", at)
		}
		part, _, ok := parsePart(records[0].Data)
		if !ok {
			return nil, errors.Wrapf(errCorrupt, "record %d of the checkpoint stream is not a valid part", at)
		}
		data.Write(part.GetData())
	}
	if digest(sha256.Sum256(data.Bytes())) != cp.digest {
		return nil, errors.Wrap(errCorrupt, "digest does not match")
	}
	return data.Bytes(), nil
}
