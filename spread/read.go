package spread

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

const (
	// readLimit is the most records of one read.
	readLimit = 64
	// readSlack is how much longer than its wait a read may take. The log's client ends
	// a read on which nothing comes; this bounds one that comes in for good. A large
	// document takes a narrow link for seconds, and a read that is ended sooner begins anew
	// and never has it.
	readSlack = 2 * time.Minute
	// ownReadSlack is the same for a read out of turn, during which nothing is pulled:
	// a daemon that may be heard again by then must not wait for minutes.
	ownReadSlack = 10 * time.Second
	// pollWait is the longest wait of a read at a log that keeps its end; such a read
	// has no check of the end behind it and may be made more often. A log that goes
	// silent answers none of the reads that reach it meanwhile, and a reader ends its
	// own only after the wait and its client's slack (2 s). After a record all readers
	// ask at the same moment, so that with long waits no daemon would have a new version
	// for as long after an outage that began then.
	pollWait = 2 * time.Second
	// blockedPause is about the wait between reads of a record that this
	// program cannot fold. Only a newer program ends that.
	blockedPause = 30 * time.Second
)

// errLogWentBack means that the log no longer holds the record in force.
var errLogWentBack = errors.New("log no longer holds the version in force")

// readLoop reads the log while this daemon is a reader.
func (s *Spreader) readLoop() error {
	failures, verified := 0, false
	for s.ctx.Err() == nil {
		if !s.reads() || s.State() == nil {
			verified = false
			s.setLogStuck("")
			s.readWake.Wait(s.ctx)
			continue
		}
		err := s.readStep(&verified)
		if err == nil {
			failures = 0
			continue
		}
		verified = false
		failures++
		s.sleep(s.readPause(failures))
	}
	return nil
}

// readPause returns the wait after a failed read.
func (s *Spreader) readPause(failures int) time.Duration {
	if s.history.blockedAt(s.history.offset()) {
		return s.aroundHalf(blockedPause)
	}
	return s.backoff(failures)
}

// readStep checks the log if need be and waits for new records once.
func (s *Spreader) readStep(verified *bool) error {
	if s.opts.LogReportsRestores {
		_, err := s.readOnce(min(s.opts.ReadWait, pollWait), readSlack)
		return err
	}
	if !*verified {
		if err := s.verifyLog(); err != nil {
			return err
		}
		*verified = true
	}
	n, err := s.readOnce(s.opts.ReadWait, readSlack)
	if err != nil || n > 0 {
		return err
	}
	return s.checkEnd()
}

// readOnce reads what follows the version in force, waiting for it up to wait and for
// its bytes up to slack, and returns the number of records read.
func (s *Spreader) readOnce(wait, slack time.Duration) (int, error) {
	st := s.State()
	ctx, cancel := context.WithTimeout(s.ctx, wait+slack)
	defer cancel()
	records, err := s.opts.Log.Read(ctx, st.Offset+1, readLimit, wait)
	s.opts.Meter.LogRead(len(records), sizeOf(records), err)
	var truncated *eventlog.TruncatedError
	var restored *eventlog.RestoredError
	switch {
	case errors.As(err, &truncated):
		return 0, s.skipTruncated(ctx, truncated)
	case errors.As(err, &restored):
		return 0, s.followRestored(ctx, restored)
	}
	s.noteLogError(err)
	if err != nil || len(records) == 0 {
		return 0, err
	}
	b := batch{base: st.Offset, chain: st.Chain, records: sequenced(records)}
	s.noteFromLog(b.end())
	_, err = s.fold(b, "log")
	return len(records), err
}

// skipTruncated finds a state beyond the records that the log has dropped: from
// a peer, or else from the platform's checkpoints.
func (s *Spreader) skipTruncated(ctx context.Context, cause *eventlog.TruncatedError) error {
	if cause.First <= cause.Asked {
		// Nothing later is kept. What neighbours have is no further either, and taken for
		// enough, the log would be asked again at once.
		s.noteLogError(cause)
		return cause
	}
	s.opts.Logger.Warn("spread: log has dropped the next record", "asked", cause.Asked, "first", cause.First)
	if s.pullAnywhere(cause.First - 1) {
		return nil
	}
	if s.opts.LoadCheckpoint == nil {
		s.noteLogError(cause)
		return cause
	}
	st, err := s.opts.LoadCheckpoint(ctx)
	if err != nil {
		s.noteLogError(err)
		return err
	}
	if st == nil {
		s.noteLogError(cause)
		return cause
	}
	before := s.history.offset()
	s.InstallState(st)
	if s.history.offset() == before {
		s.noteLogError(cause)
		return cause
	}
	return nil
}

// verifyLog checks after an interruption that the log still holds the record
// in force. A log that lost its end and was written anew gives other records
// under the same offsets; a reader that went on would fold a mix of the two.
func (s *Spreader) verifyLog() error {
	ctx, cancel := context.WithTimeout(s.ctx, readSlack)
	defer cancel()
	st := s.State()
	want, ok := s.history.recordAt(st.Offset)
	if !ok {
		return s.checkEnd()
	}
	records, err := s.opts.Log.Read(ctx, st.Offset, 1, 0)
	s.opts.Meter.LogRead(len(records), sizeOf(records), err)
	var truncated *eventlog.TruncatedError
	switch {
	case errors.As(err, &truncated):
		return s.checkEnd()
	case err != nil:
		s.noteLogError(err)
		return err
	case len(records) == 0:
		return s.logWentBack(st, "the log ends before it")
	case !bytes.Equal(records[0].Data, want):
		return s.logWentBack(st, "the log holds another record there")
	}
	s.noteLogError(nil)
	s.setLogStuck("")
	return nil
}

// checkEnd checks that the log does not end before the version in force.
func (s *Spreader) checkEnd() error {
	ctx, cancel := context.WithTimeout(s.ctx, readSlack)
	defer cancel()
	st := s.State()
	bounds, err := s.opts.Log.Bounds(ctx)
	s.opts.Meter.LogRead(0, 0, err)
	s.noteLogError(err)
	if err != nil {
		return err
	}
	if bounds.End <= st.Offset {
		return s.logWentBack(st, "the log ends before it")
	}
	s.noteKnown(bounds.End - 1)
	s.setLogStuck("")
	return nil
}

func (s *Spreader) logWentBack(st *fold.State, reason string) error {
	s.setLogStuck(fmt.Sprintf("version %d is in force, but %s", st.Offset, reason))
	return errLogWentBack
}

// Appended tells of a record that this daemon appended to the log. It is folded
// and spread from here, so that it reaches all daemons also when the log fails
// before any reader has seen it.
func (s *Spreader) Appended(offset uint64, data []byte) {
	s.noteKnown(offset)
	st := s.State()
	if st == nil || st.Offset+1 != offset {
		s.pullWake.Set()
		return
	}
	b := batch{base: st.Offset, chain: st.Chain, records: sequenced([]eventlog.Record{{Offset: offset, Data: data}})}
	s.assign(offset)
	s.noteFromLog(offset)
	_, _ = s.fold(b, "own append")
}

// fold puts the new records of a batch in force and notes why if it cannot.
// origin tells where the batch came from.
func (s *Spreader) fold(b batch, origin string) (int, error) {
	s.noteKnown(b.end())
	n, err := s.history.apply(b)
	if n > 0 {
		s.opts.Meter.Applied(n)
		s.rootWake.Set()
	}
	var unknown *fold.UnknownRuleError
	switch {
	case errors.As(err, &unknown):
		s.setFoldStuck(unknown.Error())
	case errors.Is(err, errDiverged):
		s.setFoldStuck(fmt.Sprintf("%v; they came from %s", err, origin))
	case n > 0:
		s.setFoldStuck("")
	}
	return n, err
}

// noteRejected tells of a record that moved the offset and changed nothing: without
// the line a daemon says that it has the newest version and serves the one before,
// and nobody learns why. An empty record stands for one that is no configuration.
func (s *Spreader) noteRejected(v fold.Verdict, bytes int) {
	if bytes == 0 {
		return
	}
	s.opts.Meter.Rejected()
	s.opts.Logger.Warn("spread: record rejected", "offset", v.Offset, "bytes", bytes, "reasons", v.Reasons)
}

func (s *Spreader) setLogStuck(reason string) { s.setStuck(&s.logStuck, reason) }

func (s *Spreader) setFoldStuck(reason string) { s.setStuck(&s.foldStuck, reason) }

func (s *Spreader) setStuck(field *string, reason string) {
	s.mu.Lock()
	changed := *field != reason
	*field = reason
	s.mu.Unlock()
	if !changed {
		return
	}
	if reason != "" {
		s.opts.Logger.Error("spread: stays at its version", "reason", reason)
	}
	s.updateStatus(func(*Status) {})
}

// noteLogError keeps since when reads fail, and logs when they begin and cease to.
func (s *Spreader) noteLogError(err error) {
	if s.ctx.Err() != nil {
		return
	}
	s.updateStatus(func(st *Status) {
		switch {
		case err == nil && st.LogError == "":
		case err == nil:
			s.opts.Logger.Info("spread: log is read again", "failed_for", time.Since(st.LogErrorSince))
			st.LogError, st.LogErrorSince = "", time.Time{}
		case st.LogError == "":
			s.opts.Logger.Warn("spread: log not read", "error", err)
			st.LogErrorSince = time.Now()
			fallthrough
		default:
			st.LogError = err.Error()
		}
	})
}

// noteFromLog tells of records that other availability zones may lack.
func (s *Spreader) noteFromLog(offset uint64) {
	s.mu.Lock()
	s.fromLog = max(s.fromLog, offset)
	s.mu.Unlock()
	s.handoffWake.Set()
}

func sequenced(records []eventlog.Record) []*configpb.SequencedRecord {
	out := make([]*configpb.SequencedRecord, len(records))
	for i, r := range records {
		out[i] = &configpb.SequencedRecord{Offset: r.Offset, Data: r.Data}
	}
	return out
}

func sizeOf(records []eventlog.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Data)
	}
	return n
}
