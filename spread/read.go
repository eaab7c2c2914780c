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
	// readLimit is the maximum number of records per read.
	readLimit = 64
	// readSlack is how much longer than its wait a read may take. The log's client aborts a read on
	// which no data arrives; this bounds a read on which data keeps arriving. A large document
	// takes seconds on a slow link, and a read that is aborted sooner starts over and never
	// completes.
	readSlack = 2 * time.Minute
	// fallbackReadSlack is the slack of a fallback read, which blocks pulls. It is shorter because
	// other daemons may be reachable again in the meantime.
	fallbackReadSlack = 10 * time.Second
	// maxPollWait is the longest wait of a read from a log that reports restores; such reads are
	// not followed by a check of the log's end and can be more frequent. A log that stops
	// responding never answers the reads that are pending, and a reader aborts its own only after
	// the wait plus the slack of its client (750 ms). All readers issue their next read just after
	// the same record, so no other reader replaces them: the sum of both has to be below the 3 s
	// after an outage within which new versions must be in force in time again.
	maxPollWait = 1500 * time.Millisecond
	// blockedPause is the average wait between reads of a record that this program cannot apply.
	// Only a newer program can apply it.
	blockedPause = 30 * time.Second
)

// errLogRegressed means that the log no longer holds the last applied record.
var errLogRegressed = errors.New("log no longer holds the version in force")

// readLoop reads the log while this daemon is a reader.
func (s *Spreader) readLoop() error {
	failures, verified := 0, false
	for s.ctx.Err() == nil {
		if !s.readsLog() || s.State() == nil {
			verified = false
			s.setLogStuck("")
			s.readWake.Wait(s.ctx)
			continue
		}
		begun := time.Now()
		err := s.readStep(&verified, failures)
		if err == nil {
			failures = 0
			continue
		}
		verified = false
		failures++
		s.deputyWake.Set()
		s.sleep(s.retryDelay(failures, time.Since(begun)))
	}
	return nil
}

// retryDelay returns the wait after a number of consecutive failed reads, the last of which took a
// time. That time counts as a part of the wait: a read that timed out puts no load on the log.
func (s *Spreader) retryDelay(failures int, took time.Duration) time.Duration {
	if s.history.blockedAt(s.history.offset()) {
		return s.jitterAround(blockedPause)
	}
	return max(0, s.backoff(failures)-took)
}

// readStep verifies the log if necessary and waits for new records once. verified states whether
// the log was verified since the last failure. After a failure the read does not wait: it shows
// whether the log responds, and its client allows more time for the response.
func (s *Spreader) readStep(verified *bool, failures int) error {
	if s.opts.LogReportsRestores {
		wait := min(s.opts.ReadWait, maxPollWait)
		if failures > 0 {
			wait = 0
		}
		_, err := s.readOnce(wait, readSlack)
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
	return s.checkLogEnd()
}

// readOnce reads the records that follow the current state and returns their number. It waits up to
// wait for a record, and up to slack more for its data.
func (s *Spreader) readOnce(wait, slack time.Duration) (int, error) {
	st := s.State()
	ctx, cancel := context.WithTimeout(s.ctx, wait+slack)
	defer cancel()
	records, err := s.opts.Log.Read(ctx, st.Offset+1, readLimit, wait)
	s.opts.Meter.LogRead(len(records), totalBytes(records), err)
	var truncated *eventlog.TruncatedError
	var restored *eventlog.RestoredError
	switch {
	case errors.As(err, &truncated):
		return 0, s.recoverTruncated(ctx, truncated)
	case errors.As(err, &restored):
		return 0, s.continueFromRestored(ctx, restored)
	}
	s.updateLogError(err)
	if err != nil {
		return 0, err
	}
	s.recordLogRead()
	if len(records) == 0 {
		return 0, nil
	}
	b := batch{base: st.Offset, chain: st.Chain, records: toSequenced(records)}
	s.raiseLogOffset(b.end())
	_, err = s.applyBatch(b, "log")
	return len(records), err
}

// recoverTruncated obtains a state beyond the records that the log no longer retains: from other
// daemons, or else from the platform's checkpoints.
func (s *Spreader) recoverTruncated(ctx context.Context, cause *eventlog.TruncatedError) error {
	if cause.First <= cause.Requested {
		// The log retains nothing after the requested offset. Other daemons are not asked: they
		// would count as caught up with cause.First-1 without progress, and the log would be read
		// again without a pause.
		s.updateLogError(cause)
		return cause
	}
	s.opts.Logger.Warn("spread: log has dropped the next record", "asked", cause.Requested, "first", cause.First)
	if s.pullFromZone(cause.First - 1) {
		return nil
	}
	if s.opts.LoadCheckpoint == nil {
		s.updateLogError(cause)
		return cause
	}
	st, err := s.opts.LoadCheckpoint(ctx)
	if err != nil {
		s.updateLogError(err)
		return err
	}
	if st == nil {
		s.updateLogError(cause)
		return cause
	}
	before := s.history.offset()
	s.InstallState(st)
	if s.history.offset() == before {
		s.updateLogError(cause)
		return cause
	}
	return nil
}

// verifyLog checks after an interruption that the log still holds the last applied record. A log
// that lost its end and was written again has other records at the same offsets; a reader that
// continued would apply a mix of the two.
func (s *Spreader) verifyLog() error {
	ctx, cancel := context.WithTimeout(s.ctx, readSlack)
	defer cancel()
	st := s.State()
	want, ok := s.history.recordAt(st.Offset)
	if !ok {
		return s.checkLogEnd()
	}
	records, err := s.opts.Log.Read(ctx, st.Offset, 1, 0)
	s.opts.Meter.LogRead(len(records), totalBytes(records), err)
	var truncated *eventlog.TruncatedError
	switch {
	case errors.As(err, &truncated):
		return s.checkLogEnd()
	case err != nil:
		s.updateLogError(err)
		return err
	case len(records) == 0:
		return s.reportLogRegressed(st, "the log ends before it")
	case !bytes.Equal(records[0].Data, want):
		return s.reportLogRegressed(st, "the log holds another record there")
	}
	s.updateLogError(nil)
	s.setLogStuck("")
	return nil
}

// checkLogEnd checks that the log does not end before the current offset.
func (s *Spreader) checkLogEnd() error {
	ctx, cancel := context.WithTimeout(s.ctx, readSlack)
	defer cancel()
	st := s.State()
	bounds, err := s.opts.Log.Bounds(ctx)
	s.opts.Meter.LogRead(0, 0, err)
	s.updateLogError(err)
	if err != nil {
		return err
	}
	if bounds.End <= st.Offset {
		return s.reportLogRegressed(st, "the log ends before it")
	}
	s.raiseKnownOffset(bounds.End - 1)
	s.setLogStuck("")
	return nil
}

// reportLogRegressed sets the stuck reason for a log that no longer holds the record of st, and
// returns errLogRegressed.
func (s *Spreader) reportLogRegressed(st *fold.State, reason string) error {
	s.setLogStuck(fmt.Sprintf("version %d is in force, but %s", st.Offset, reason))
	return errLogRegressed
}

// Appended reports a record that this daemon appended to the log. The record is applied and pushed
// from here, so that it reaches all daemons even if the log fails before any reader has read it.
func (s *Spreader) Appended(offset uint64, data []byte) {
	s.raiseKnownOffset(offset)
	st := s.State()
	if st == nil || st.Offset+1 != offset {
		s.pullWake.Set()
		return
	}
	b := batch{base: st.Offset, chain: st.Chain, records: toSequenced([]eventlog.Record{{Offset: offset, Data: data}})}
	s.raiseAssignedOffset(offset)
	s.raiseLogOffset(offset)
	_, _ = s.applyBatch(b, "own append")
}

// applyBatch applies the new records of a batch and records the reason if it cannot. origin names
// the source of the batch.
func (s *Spreader) applyBatch(b batch, origin string) (int, error) {
	s.raiseKnownOffset(b.end())
	n, err := s.history.apply(b)
	if n > 0 {
		s.opts.Meter.Applied(n)
		s.pushWake.Set()
	}
	var unknown *fold.UnknownRuleError
	switch {
	case errors.As(err, &unknown):
		s.setApplyStuck(unknown.Error())
	case errors.Is(err, errDiverged):
		s.setApplyStuck(fmt.Sprintf("%v; received from %s", err, origin))
	case n > 0:
		s.setApplyStuck("")
	}
	return n, err
}

// reportRejected logs and counts a record that advanced the offset but changed nothing. Otherwise
// the daemon would report the newest version while it serves the one before, without an
// explanation. An empty record is not configuration and is not reported.
func (s *Spreader) reportRejected(v fold.Verdict, bytes int) {
	if bytes == 0 {
		return
	}
	s.opts.Meter.Rejected()
	s.opts.Logger.Warn("spread: record rejected", "offset", v.Offset, "bytes", bytes, "reasons", v.Reasons)
}

func (s *Spreader) setLogStuck(reason string) { s.setStuck(&s.logStuckReason, reason) }

func (s *Spreader) setApplyStuck(reason string) { s.setStuck(&s.applyStuckReason, reason) }

// setStuck sets one of the two reasons behind Status.StuckReason, empty for none, and logs a new
// one.
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

// updateLogError updates the status after a read and logs when reads begin to fail and when they
// succeed again.
func (s *Spreader) updateLogError(err error) {
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

func (s *Spreader) recordLogRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLogRead = time.Now()
}

// raiseLogOffset triggers a handoff of records that other availability zones may lack.
func (s *Spreader) raiseLogOffset(offset uint64) {
	s.mu.Lock()
	s.logOffset = max(s.logOffset, offset)
	s.mu.Unlock()
	s.handoffWake.Set()
}

func toSequenced(records []eventlog.Record) []*configpb.SequencedRecord {
	out := make([]*configpb.SequencedRecord, len(records))
	for i, r := range records {
		out[i] = &configpb.SequencedRecord{Offset: r.Offset, Data: r.Data}
	}
	return out
}

func totalBytes(records []eventlog.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Data)
	}
	return n
}
