// Package quota holds each customer to its contract over the whole fleet,
// wherever the customer's calls arrive.
//
// For each customer one daemon is the owner: the winner of a rendezvous hash
// over the daemons that are heard. The owner keeps a ledger and leases parts of
// the contract (rate, burst, calls in flight) to the holders, the daemons where
// the customer's calls arrive, in proportion to their recent demand. A holder
// admits calls out of its lease without asking anybody. What is not leased
// fills a pool at the owner, out of which a holder whose bucket is empty is
// sent single tokens. Where the burst does not give each holder a bucket, the
// holders lend their rates to the pool and ask for every token.
//
// What keeps the sum of all that is in use within the contract:
//
//   - A lease is a duration. The holder counts it from before it sent the
//     request, the owner from when it answered, so it ends at the holder first.
//   - A claim tells all that the holder uses and voids what it does not tell.
//     Until the next claim the owner charges the larger of what was held and
//     what was granted, so a lost answer frees nothing.
//   - A rate that is lent to the pool of an owner that no longer answers is not
//     used elsewhere until that pool has certainly stopped to use it.
//   - A new owner, and one that finds that it was paused, first settles: it
//     renews what holders report, and grants no more than that (and
//     settlingShare of the contract) until every holder has had time to report.
//     Leases of the earlier owner that nobody reports are charged until they
//     have ended; how much that is follows from what the others saw granted.
//   - While next to nothing of a region is heard it is taken to be cut off, not
//     dead: its leases stay charged, and owners that are new go on settling.
//     Each side lives on what it held.
//   - A daemon that hears at most half of its own region takes itself to be the
//     part that is cut off, and scales what it owns by the share of the fleet
//     that it hears.
//
// The sum stays within the contract, settlingShare and unleasedShare, but: while
// a zone is cut off and lives, by its share of the fleet; when a region is cut
// off for longer than lossMemory; and while daemons that hear one another take
// different ones for the owner for longer than it settles.
//
// Only monotonic durations decide.
package quota
