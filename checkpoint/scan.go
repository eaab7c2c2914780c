package checkpoint

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
)

const (
	// scanRecords is the number of records read at once. A part has up to
	// eventlog.MaxRecordBytes, so it limits the memory of a scan.
	scanRecords = 8
	// maxGapRecords is the maximum number of records between two parts of one checkpoint. After a
	// longer gap the checkpoint is dropped, which limits the number of incomplete checkpoints in
	// memory to twice maxGapRecords.
	maxGapRecords = 1024
	// maxComplete is the number of complete checkpoints that a Scanner keeps track of, the newest
	// ones.
	maxComplete = 64
)

// Checkpoint describes a checkpoint in the stream.
type Checkpoint struct {
	// Offset is the offset of the state.
	Offset uint64
	Writer string
	// Bytes is the size of the serialized state.
	Bytes int

	digest digest
	// parts contains the offsets of the parts in the checkpoint stream.
	parts []eventlog.Offset
}

// End returns the offset of the last part in the checkpoint stream.
func (c *Checkpoint) End() eventlog.Offset { return c.parts[len(c.parts)-1] }

// Scanner finds the complete checkpoints of a stream. It does not store the data of parts, so its
// memory is bounded whatever the stream contains. It must not be used concurrently.
type Scanner struct {
	log eventlog.Log
	// next is the offset of the next record to read.
	next eventlog.Offset
	// lastSweep is the offset at which incomplete checkpoints were last evicted.
	lastSweep eventlog.Offset
	// incomplete contains the checkpoints of which some parts have been read.
	incomplete map[partKey]*Checkpoint
	// complete is sorted by newestFirst.
	complete []*Checkpoint
}

// NewScanner returns a scanner that starts with the oldest record of the stream.
func NewScanner(log eventlog.Log) *Scanner {
	return &Scanner{log: log, incomplete: make(map[partKey]*Checkpoint)}
}

// Scan reads the stream from the last scanned record to its current end and drops the checkpoints
// whose first part is no longer retained. After an error, the next call continues where this one
// stopped.
func (s *Scanner) Scan(ctx context.Context) error {
	bounds, err := s.log.Bounds(ctx)
	if err != nil {
		return errors.Wrap(err, "read the bounds of the checkpoint stream")
	}
	if bounds.End < s.next {
		// The stream lost its latest records. The checkpoints found so far may be gone, and
		// offsets may have been assigned again.
		*s = *NewScanner(s.log)
	}
	s.next = max(s.next, bounds.First)
	s.complete = slices.DeleteFunc(s.complete, func(cp *Checkpoint) bool { return cp.parts[0] < bounds.First })
	for s.next < bounds.End {
		if err := s.scanBatch(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scanner) scanBatch(ctx context.Context) error {
	records, err := s.log.Read(ctx, s.next, scanRecords, 0)
	var truncated *eventlog.TruncatedError
	if errors.As(err, &truncated) && truncated.First > s.next {
		// The records have expired since the bounds were read.
		s.next = truncated.First
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the checkpoint stream")
	}
	if len(records) == 0 {
		return errors.Wrapf(eventlog.ErrUnavailable, "record %d of the checkpoint stream is missing", s.next)
	}
	for _, r := range records {
		s.processRecord(r)
		s.next = r.Offset + 1
	}
	return nil
}

// processRecord adds one record of the stream to its checkpoint.
func (s *Scanner) processRecord(r eventlog.Record) {
	s.evictIncomplete(r.Offset)
	part, key, ok := parsePart(r.Data)
	if !ok {
		return
	}
	cp := s.incomplete[key]
	if cp == nil && part.GetIndex() == 0 {
		cp = &Checkpoint{Offset: key.offset, Writer: key.writer, digest: key.digest}
		s.incomplete[key] = cp
	}
	if cp == nil || int(part.GetIndex()) != len(cp.parts) {
		// The part is a repeat, or an earlier part has expired and the checkpoint cannot be complete.
		return
	}
	cp.Bytes += len(part.GetData())
	cp.parts = append(cp.parts, r.Offset)
	if len(cp.parts) == int(key.count) {
		delete(s.incomplete, key)
		s.addComplete(cp)
	}
}

// addComplete inserts a checkpoint all of whose parts have been read.
func (s *Scanner) addComplete(cp *Checkpoint) {
	i, _ := slices.BinarySearchFunc(s.complete, cp, newestFirst)
	s.complete = slices.Insert(s.complete, i, cp)
	if len(s.complete) > maxComplete {
		s.complete = s.complete[:maxComplete]
	}
}

// newestFirst orders checkpoints by the offset of their state, highest first, and then by their
// end in the stream, last first: of two checkpoints of the same state, the later one expires
// later.
func newestFirst(a, b *Checkpoint) int {
	return cmp.Or(cmp.Compare(b.Offset, a.Offset), cmp.Compare(b.End(), a.End()))
}

// evictIncomplete drops the incomplete checkpoints whose last part is more than maxGapRecords
// before the record at an offset.
func (s *Scanner) evictIncomplete(at eventlog.Offset) {
	if at < s.lastSweep+maxGapRecords {
		return
	}
	s.lastSweep = at
	for key, cp := range s.incomplete {
		if cp.End()+maxGapRecords < at {
			delete(s.incomplete, key)
		}
	}
}

// Newest returns the complete checkpoint with the highest state offset, nil if none has been
// found. The digest is not checked until Load.
func (s *Scanner) Newest() *Checkpoint {
	if len(s.complete) == 0 {
		return nil
	}
	return s.complete[0]
}
