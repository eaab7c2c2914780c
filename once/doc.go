// Package once makes a non-idempotent call run at most once. It holds state
// machines only: no network, and the clock is injected.
//
// There are three outcomes and no fourth: the call ran (with its whole answer
// while that is kept), it has not run and never will, or the outcome is
// unknown.
//
// Attempts is the table of a gate, the daemon beside a backend server. It
// settles one attempt whose link went silent: the first daemon asks over a new
// connection and the gate tells the outcome or bars the attempt.
//
// Keys is the table of the daemon that issued an idempotency key. A key names
// its holder, every other daemon forwards to it, and no other process ever
// runs a call under the key. When that process is gone, the outcome is unknown.
//
// Claims ties a key of the caller's own making to an issued one by records in
// the platform's log.
//
// No decision rests on a wall clock, nor on clocks of two hosts agreeing.
package once
