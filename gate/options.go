package gate

import "time"

// Options configures a Gate.
type Options struct {
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int
	// FixedSlots keeps the announced number of slots even if the backend server sheds calls while
	// it runs no more than that. It suits servers that shed a part of their calls at any load:
	// fewer slots would not reduce the number of shed calls.
	FixedSlots bool
	// RetryAfterIgnoresObjective sets the retry-after time of a rejected call to the expected
	// time until the current queue is served, even if a retry at that time can no longer be
	// answered within the call's latency objective.
	RetryAfterIgnoresObjective bool
	// MaxQueue is the maximum number of waiting calls. It bounds memory; the wait itself is
	// bounded by the remaining time of each call.
	MaxQueue int
	// ServiceTime is the assumed time that a call holds its slot, used until calls have been
	// measured.
	ServiceTime time.Duration
	// UrgentSlots makes calls that can wait leave slots free for more urgent calls that cannot wait
	// until one is free.
	UrgentSlots bool
	// AccountShares divides the slots of a route at a rank between accounts, so that the excess load
	// of one account delays only its own calls. The parts are proportional to Call.Weight.
	AccountShares bool
	// Now returns the time of a monotonic clock. It must advance with the runtime's timers, which
	// end the waits.
	Now func() time.Time
}

// DefaultOptions returns options for a backend server with 10 slots and calls of a few
// milliseconds.
func DefaultOptions() Options {
	return Options{
		Slots:       10,
		MaxQueue:    1024,
		ServiceTime: 5 * time.Millisecond,
		Now:         time.Now,
	}
}
