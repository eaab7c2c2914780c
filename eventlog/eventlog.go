// Package eventlog is the narrow interface to the platform's append-only log
// service. Everything that must outlive a process goes through it; another log
// service is one more implementation of Log.
package eventlog

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream names. Config is where operators publish; the others are crocuscross's
// own.
const (
	StreamConfig      = "config"
	StreamCheckpoints = "checkpoints"
	StreamContacts    = "contacts"
)

// MaxRecordBytes is the largest record that is appended, in bytes. Larger things are
// split into several records.
const MaxRecordBytes = 256 << 10

// Offset numbers the records of a stream from 1 without gaps. 0 stands before
// the first record. A log that came back from an older copy gives numbers out again and
// begins a new epoch: the high 32 bits of an offset are its epoch, so that offsets of a
// later epoch are above all of an earlier one.
type Offset = uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Bounds tells which records a stream still holds.
type Bounds struct {
	// First is the lowest offset retained; End is the offset that the next
	// append gets. First == End for a stream that holds nothing.
	First, End Offset
}

// ErrUnavailable means that the service did not take the request: nothing was
// appended or read.
var ErrUnavailable = errors.New("platform log unavailable")

// ErrUnknown means that an append may or may not have taken effect.
var ErrUnknown = errors.New("platform log append outcome unknown")

// Unavailable returns cause as an ErrUnavailable. Both are found by the errors.Is
// of any package, unlike a mark.
func Unavailable(cause error) error { return fmt.Errorf("%w: %w", ErrUnavailable, cause) }

// Unknown returns cause as an ErrUnknown.
func Unknown(cause error) error { return fmt.Errorf("%w: %w", ErrUnknown, cause) }

// RejectedError means that the service refused the request itself: nothing was
// appended or read, and the same request would be refused again. It counts as
// ErrUnavailable for callers that only ask whether the record is in the log.
type RejectedError struct {
	Reason string
}

// Error gives the service's reason.
func (e *RejectedError) Error() string { return "platform log rejected the request: " + e.Reason }

// Is makes errors.Is(e, ErrUnavailable) hold.
func (e *RejectedError) Is(target error) bool { return target == ErrUnavailable }

// TruncatedError means that the records asked for are no longer retained.
type TruncatedError struct {
	Requested, First Offset
}

// Error gives both offsets.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("offset %d is no longer retained, the first is %d", e.Requested, e.First)
}

// Log is one stream of the service. Implementations are safe for concurrent
// use.
type Log interface {
	// Append adds a record and returns its offset. The error is ErrUnavailable
	// when the record is certainly not in the log and never will be, and
	// ErrUnknown when that cannot be told.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns at most limit records from an offset on, in order. When there is none
	// yet it waits up to wait and returns none. The error is a *TruncatedError
	// where from lies before the first retained record, and a *RestoredError where the log
	// is in a later epoch than from.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the current first and end offset.
	Bounds(ctx context.Context) (Bounds, error)
}
