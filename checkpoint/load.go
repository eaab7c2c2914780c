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

// ErrNoCheckpoint means that the stream holds no whole checkpoint that this program
// can use.
var ErrNoCheckpoint = errors.New("no whole checkpoint")

// errDamaged means that a checkpoint is not what its parts claim.
var errDamaged = errors.New("checkpoint is damaged")

// Latest returns the state of the newest whole checkpoint in a stream. It reads
// what the stream retains, and the newest checkpoint once more. The error is
// ErrNone where there is none, and eventlog.ErrUnavailable where the log cannot
// be read.
func Latest(ctx context.Context, log eventlog.Log) (*fold.State, error) {
	s := NewScanner(log)
	if err := s.Scan(ctx); err != nil {
		return nil, err
	}
	return s.Load(ctx)
}

// Load returns the state of the newest whole checkpoint found so far that is
// still retained. One that a newer program wrote under a later rule, or that is
// no valid state, is forgotten in favour of the next older: a state from which
// the tail of the log is unbroken gives the same fold, newest or not.
func (s *Scanner) Load(ctx context.Context) (*fold.State, error) {
	var passed error
	for len(s.whole) > 0 {
		f := s.whole[0]
		st, err := s.load(ctx, f)
		if err == nil {
			return st, nil
		}
		if !unusable(err) {
			return nil, err
		}
		passed = errors.CombineErrors(passed, errors.Wrapf(err, "checkpoint %d by %s", f.Offset, f.Writer))
		s.whole = s.whole[1:]
	}
	return nil, errors.WithSecondaryError(ErrNoCheckpoint, passed)
}

// unusable reports whether an error is the checkpoint's own, so that another
// may do.
func unusable(err error) bool {
	var truncated *eventlog.TruncatedError
	var unknown *fold.UnknownRuleError
	return errors.As(err, &truncated) || errors.As(err, &unknown) ||
		errors.Is(err, fold.ErrBadState) || errors.Is(err, errDamaged)
}

func (s *Scanner) load(ctx context.Context, f *Checkpoint) (*fold.State, error) {
	data, err := s.read(ctx, f)
	if err != nil {
		return nil, err
	}
	m := &configpb.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, errors.Mark(err, errDamaged)
	}
	st, err := fold.Decode(m)
	if err != nil {
		return nil, err
	}
	if st.Offset != f.Offset {
		return nil, errors.Wrapf(errDamaged, "state %d instead of %d", st.Offset, f.Offset)
	}
	return st, nil
}

// read joins the parts.
func (s *Scanner) read(ctx context.Context, f *Checkpoint) ([]byte, error) {
	var data bytes.Buffer
	data.Grow(f.Bytes)
	for _, at := range f.parts {
		records, err := s.log.Read(ctx, at, 1, 0)
		if err != nil {
			return nil, errors.Wrap(err, "read a checkpoint")
		}
		if len(records) == 0 {
			return nil, errors.Wrapf(errDamaged, "record %d is gone", at)
		}
		part, _, ok := parsePart(records[0].Data)
		if !ok {
			return nil, errors.Wrapf(errDamaged, "record %d", at)
		}
		data.Write(part.GetData())
	}
	if digest(sha256.Sum256(data.Bytes())) != f.digest {
		return nil, errors.Wrap(errDamaged, "digest")
	}
	return data.Bytes(), nil
}
