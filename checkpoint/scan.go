package checkpoint

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

const (
	// scanRecords is how many records are read at once. A part has up to
	// eventlog.MaxRecordBytes, so this bounds the memory of a scan.
	scanRecords = 8
	// maxGapRecords is how many records may lie between two parts of one
	// checkpoint. A longer gap gives it up, which bounds the checkpoints that
	// are open at once by twice as many.
	maxGapRecords = 1024
	// maxWhole bounds the whole checkpoints remembered, the newest ones.
	maxWhole = 64
)

// Checkpoint is a checkpoint in the stream.
type Checkpoint struct {
	// Offset of the state.
	Offset uint64
	Writer string
	// Bytes of the serialized state.
	Bytes int

	digest digest
	// parts are the offsets in the checkpoint stream.
	parts []eventlog.Offset
}

// End is the stream's offset of the last part.
func (f *Checkpoint) End() eventlog.Offset { return f.parts[len(f.parts)-1] }

// Scanner finds the whole checkpoints of a stream. It keeps no part's data, so
// its memory is bounded whatever the stream holds. It must not be used by two
// goroutines at once.
type Scanner struct {
	log eventlog.Log
	// next is the offset to go on from.
	next eventlog.Offset
	// swept is where open was last rid of checkpoints given up.
	swept eventlog.Offset
	// open are the checkpoints of which some parts have been seen.
	open map[partKey]*Checkpoint
	// whole in descending order of state and stream offset.
	whole []*Checkpoint
}

// NewScanner returns a scanner that has seen nothing.
func NewScanner(log eventlog.Log) *Scanner {
	return &Scanner{log: log, open: make(map[partKey]*Checkpoint)}
}

// Scan goes on to the present end of the stream, and forgets the checkpoints
// that are no longer retained whole. After an error the next Scan
// goes on where this one stopped.
func (s *Scanner) Scan(ctx context.Context) error {
	bounds, err := s.log.Bounds(ctx)
	if err != nil {
		return errors.Wrap(err, "bounds of the checkpoint stream")
	}
	if bounds.End < s.next {
		// The stream lost its end. What was seen may be gone, and offsets may
		// have been given out again.
		*s = *NewScanner(s.log)
	}
	s.next = max(s.next, bounds.First)
	s.whole = slices.DeleteFunc(s.whole, func(f *Checkpoint) bool { return f.parts[0] < bounds.First })
	for s.next < bounds.End {
		if err := s.scanSome(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scanner) scanSome(ctx context.Context) error {
	records, err := s.log.Read(ctx, s.next, scanRecords, 0)
	var truncated *eventlog.TruncatedError
	if errors.As(err, &truncated) && truncated.First > s.next {
		// Retention has passed the scan by.
		s.next = truncated.First
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the checkpoint stream")
	}
	if len(records) == 0 {
		return errors.Wrapf(eventlog.ErrUnavailable, "checkpoint stream lacks record %d", s.next)
	}
	for _, r := range records {
		s.take(r)
		s.next = r.Offset + 1
	}
	return nil
}

// take looks at one record of the stream.
func (s *Scanner) take(r eventlog.Record) {
	s.sweep(r.Offset)
	part, key, ok := parsePart(r.Data)
	if !ok {
		return
	}
	f := s.open[key]
	if f == nil && part.GetIndex() == 0 {
		f = &Checkpoint{Offset: key.offset, Writer: key.writer, digest: key.digest}
		s.open[key] = f
	}
	if f == nil || int(part.GetIndex()) != len(f.parts) {
		// A repeat; or the parts before have expired, and it cannot be whole.
		return
	}
	f.Bytes += len(part.GetData())
	f.parts = append(f.parts, r.Offset)
	if len(f.parts) == int(key.count) {
		delete(s.open, key)
		s.complete(f)
	}
}

// complete keeps a checkpoint all of whose parts are there.
func (s *Scanner) complete(f *Checkpoint) {
	i, _ := slices.BinarySearchFunc(s.whole, f, newestFirst)
	s.whole = slices.Insert(s.whole, i, f)
	if len(s.whole) > maxWhole {
		s.whole = s.whole[:maxWhole]
	}
}

// newestFirst orders by state and then by place in the stream: of two
// checkpoints of one state the later expires later.
func newestFirst(a, b *Checkpoint) int {
	return cmp.Or(cmp.Compare(b.Offset, a.Offset), cmp.Compare(b.End(), a.End()))
}

// sweep gives up the checkpoints without a part for too long.
func (s *Scanner) sweep(at eventlog.Offset) {
	if at < s.swept+maxGapRecords {
		return
	}
	s.swept = at
	for key, f := range s.open {
		if f.End()+maxGapRecords < at {
			delete(s.open, key)
		}
	}
}

// Newest returns the whole checkpoint of the highest state offset, nil if none
// has been found. Only Load tells whether the parts agree with their digest.
func (s *Scanner) Newest() *Checkpoint {
	if len(s.whole) == 0 {
		return nil
	}
	return s.whole[0]
}
