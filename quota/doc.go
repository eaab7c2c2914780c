// Package quota enforces each customer's contract across the whole fleet, whichever daemons
// receive the customer's calls.
//
// One daemon owns each customer: the winner of a rendezvous hash over the reachable daemons.
// The owner keeps a ledger and leases parts of the contract (rate, burst, calls in flight) to
// holders, the daemons that receive the customer's calls, in proportion to their recent demand.
// A holder admits calls from its lease without contacting another daemon. The unleased
// remainder fills a token bucket at the owner, the pool. A holder whose own bucket is empty
// requests single tokens from the pool. If the contract's burst is too small to give every
// holder a bucket, the holders delegate their leased rates to the pool and request every token
// from it.
//
// The following rules keep the sum of all use within the contract:
//
//   - A lease has a duration. The holder counts it from before it sends the request, the owner
//     from when it answers, so the lease always ends at the holder first.
//   - A claim reports everything that the holder still uses and gives up the rest. Until the
//     next claim the owner charges the larger of the reported and the granted amount, so a lost
//     answer frees nothing.
//   - A rate that is delegated to the pool of an owner that no longer answers is not used
//     elsewhere until that pool has certainly stopped using it.
//   - A new owner, and an owner that the other daemons may have taken for unreachable, first
//     settles: until every holder has had time to report, it renews what holders report and grants
//     no more than that and settlingShare of the contract, or a part of Options.Tolerance. Such an
//     owner was paused, heard from no other member, or was declared dead; it may have seen no
//     change of the fleet. Customers that are added soon after settle as well, and those that are added
//     within introductionTime after the owner has joined a running fleet. Leases of the
//     previous owner that no holder reports stay charged until they have ended, as far as
//     unreachable members may hold them. Their sum follows from the totals that the other holders
//     saw when they received their leases.
//   - A region of which almost no member is reachable is treated as partitioned, not as dead:
//     its leases stay charged, and new owners keep settling. Each side continues with the
//     leases that it had.
//   - A daemon that can reach at most half of its own region treats itself as partitioned, and
//     scales the contracts that it owns by the reachable share of the fleet.
//
// The sum stays within the contract plus settlingShare and unleasedShare of it, or within
// Options.Tolerance if that is set, with three exceptions: while a zone is partitioned but still
// receives calls, it may exceed that by the zone's share of the fleet; while a region is partitioned
// for longer than unreachableRetention; and while daemons that can reach one another disagree on the
// owner for longer than the settling time.
//
// All decisions use durations from the monotonic clock.
package quota
