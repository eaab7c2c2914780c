// Package eventlog defines the interface to the platform's append-only log service. All data that
// has to outlive a process is stored through it. Support for another log service is added by
// implementing Log.
package eventlog

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream names. Operators publish to StreamConfig; crocuscross itself writes the other streams.
const (
	StreamConfig      = "config"
	StreamCheckpoints = "checkpoints"
	StreamContacts    = "contacts"
)

// MaxRecordBytes is the maximum size of a record, in bytes. Larger data is split into several
// records.
const MaxRecordBytes = 256 << 10

// Offset identifies a record of a stream. Its low 32 bits are the index of the record within its
// epoch, starting at 1 without gaps; index 0 is the position before the first record. Its high 32
// bits are the epoch. A log that is restored from an older copy reuses indexes and begins a new
// epoch, so that the offsets of a later epoch are greater than all offsets of an earlier one.
type Offset = uint64

// Record is an entry of a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Bounds is the range of offsets that a stream retains.
type Bounds struct {
	// First is the lowest retained offset. End is the offset that the next append is assigned.
	// First equals End if the stream retains no record.
	First, End Offset
}

// ErrUnavailable means that the service did not accept the request: nothing was appended or read.
var ErrUnavailable = errors.New("platform log unavailable")

// ErrUnknown means that an append may or may not have taken effect.
var ErrUnknown = errors.New("platform log append outcome unknown")

// Unavailable wraps cause in an error that matches both ErrUnavailable and cause. It wraps with
// fmt.Errorf because the errors.Is function of every package finds the wrapped errors, whereas only
// that of cockroachdb/errors finds a mark.
func Unavailable(cause error) error { return fmt.Errorf("%w: %w", ErrUnavailable, cause) }

// Unknown wraps cause in an error that matches both ErrUnknown and cause.
func Unknown(cause error) error { return fmt.Errorf("%w: %w", ErrUnknown, cause) }

// RejectedError means that the service rejected the request itself: nothing was appended or read,
// and the same request would be rejected again. It matches ErrUnavailable, for callers that only
// need to know that the record is not in the log.
type RejectedError struct {
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string { return "platform log rejected the request: " + e.Reason }

// Is makes errors.Is(e, ErrUnavailable) return true.
func (e *RejectedError) Is(target error) bool { return target == ErrUnavailable }

// TruncatedError means that the record at the requested offset is no longer retained. First is the
// lowest offset that is.
type TruncatedError struct {
	Requested, First Offset
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("offset %d is no longer retained; the first retained offset is %d", e.Requested, e.First)
}

// Log is a single stream of the log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds a record and returns its offset. The error is ErrUnavailable if the record is not
	// in the log and never will be, and ErrUnknown if that cannot be determined.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit records in order, starting at offset from. If there are none yet, it
	// blocks for up to wait and then returns an empty result. The error is a *TruncatedError if
	// from is before the first retained record, and a *RestoredError if the log is in a later epoch
	// than from.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) ([]Record, error)
	// Bounds returns the range of offsets that the stream currently retains.
	Bounds(ctx context.Context) (Bounds, error)
}
