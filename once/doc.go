// Package once provides at-most-once execution of non-idempotent calls. It
// contains state machines only: it does no network I/O, and the clock is injected.
//
// A call has one of three outcomes: it ran (the complete response is available
// while it is retained), it has not run and never will, or its outcome is
// unknown.
//
// AttemptTable belongs to a gate, the daemon beside a backend server. It resolves
// the outcome of an attempt whose connection stopped responding: the sending
// daemon queries the gate over a new connection, and the gate reports the outcome
// or bars the attempt, so that it can never start.
//
// KeyStore belongs to the daemon that issued an idempotency key. A key names its
// holder. All other daemons forward requests under the key to the holder, and no
// other process ever runs a call under it. If the holder process is gone, the
// outcome is unknown.
//
// ClaimResolver maps caller-generated idempotency keys to issued keys by means of
// records in the platform's log.
//
// No decision depends on wall-clock time or on clock synchronization between
// hosts.
package once
