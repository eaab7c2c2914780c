// Package quota holds each customer to its contract over the whole fleet,
// wherever the customer's calls arrive.
//
// For each customer one daemon is the owner: the winner of a rendezvous hash
// over the daemons that are heard. The owner keeps a ledger and leases parts of
// the contract (rate, burst, calls in flight) to the daemons where the
// customer's calls arrive, in proportion to their recent demand. A daemon
// admits calls out of its lease without asking anybody. What is not leased
// fills a pool at the owner, out of which a daemon whose bucket is empty is
// sent single tokens.
//
// What keeps the sum of all grants within the contract:
//
//   - A lease is a duration. The holder counts it from before it sent the
//     request, the owner from when it answered, so it ends at the holder first.
//   - A claim tells all that the holder uses and voids what it does not tell.
//     Until the next claim the owner charges the larger of what was held and
//     what was granted, so a lost answer frees nothing.
//   - A new owner, and one that finds that it was paused, first settles: it
//     renews what holders report, and grants no more than that (and a small
//     share, see settlingShare) until every holder has had time to report.
//     Leases that were granted by the earlier owner and that nobody reports
//     are charged until they have ended.
//   - While a whole region is not heard it is taken to be cut off, not dead:
//     its leases stay charged and new owners go on settling. Each side lives
//     on what it held.
//   - A daemon that hears at most half of its own region takes itself to be
//     cut off and scales what it owns by the share of the fleet that it hears.
//
// Only monotonic durations decide.
package quota
