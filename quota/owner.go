package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/crocuscross/crocuscross/quota/quotapb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// owner keeps the ledgers of the customers that this daemon owns.
type owner struct {
	opts Options

	mu        sync.Mutex
	fleet     *fleet
	contracts map[string]*snapshot.Contract
	// opensAt maps each owned customer to the earliest time at which its ledger stops
	// settling.
	opensAt map[string]time.Duration
	ledgers map[string]*ledger
	// removed maps each customer that was removed within the settling time to when that was.
	removed map[string]time.Duration
	// running is set after the first heartbeat; lastHeartbeat is the time of the last one.
	running       bool
	lastHeartbeat time.Duration
	nextSweep     time.Duration
	// refuseUntil is the time until which no claim is served after a pause of the process.
	refuseUntil time.Duration
	// settleUntil is the time until which the ledgers of added customers settle as well, because other
	// daemons may have had another owner for them.
	settleUntil time.Duration
	// lastSign is the time of the latest sign of an absence, and silent whether it was that. declaredDeadAt
	// is the latest Standing.DeclaredDeadAt that was acted on.
	lastSign       time.Duration
	silent         bool
	declaredDeadAt time.Time
	// reportAgain is set until the holder of this daemon reports again.
	reportAgain bool
}

func newOwner(opts Options) *owner {
	return &owner{opts: opts, opensAt: map[string]time.Duration{}, ledgers: map[string]*ledger{}, removed: map[string]time.Duration{}}
}

// setFleet takes over and gives up customers according to the fleet.
func (o *owner) setFleet(f *fleet, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	same := f.sameOwners(o.fleet)
	o.fleet = f
	if same {
		return
	}
	var c ownershipChange
	for customer := range o.contracts {
		c.add(o.reassign(customer, now+o.opts.settleTime(), now))
	}
	o.log("the fleet has changed", c)
}

// setContracts replaces the contracts in force with those of an offset. The ledger of an added customer
// need not settle, since no owner can have granted anything, unless other daemons may have another owner:
// because this one was away, because they had the offset in force before they met this one, or because some of
// them do not know yet that this one has started.
func (o *owner) setContracts(contracts map[string]*snapshot.Contract, offset uint64, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectAbsence(now)
	settlesAll := o.contracts == nil || now < o.settleUntil ||
		o.fleet != nil && (offset > 0 && offset <= o.fleet.metOffset || !o.fleet.introduced(now))
	var change ownershipChange
	maps.DeleteFunc(o.removed, func(customer string, _ time.Duration) bool { return !o.wasRemoved(customer, now) })
	for customer := range o.contracts {
		if contracts[customer] == nil {
			o.removed[customer] = now
			delete(o.opensAt, customer)
			delete(o.ledgers, customer)
		}
	}
	for customer, c := range contracts {
		if l := o.ledgers[customer]; l != nil {
			l.setContract(c)
		}
		if o.contracts[customer] != nil || o.fleet == nil {
			continue
		}
		// The pool of an added customer starts full, because its first calls follow a quiet
		// period. If the pool filled only from now on, those calls would be refused.
		opensAt := now - fillTime(o.opts.Tolerance.amount(c))
		if settlesAll || o.wasRemoved(customer, now) || o.fleet.ownerJustLeft(customer, now) {
			opensAt = now + o.opts.settleTime()
		}
		change.add(o.reassign(customer, opensAt, now))
	}
	o.contracts = contracts
	o.log("contracts have changed", change)
}

// wasRemoved reports whether an added customer was there shortly before, so that its burst may have been
// granted already.
func (o *owner) wasRemoved(customer string, now time.Duration) bool {
	at, ok := o.removed[customer]
	return ok && now-at < o.opts.settleTime()
}

// fillTime returns the time in which the rate of a contract fills its burst.
func fillTime(contract amount) time.Duration {
	return time.Duration(min(contract.burst/contract.rate*float64(time.Second), float64(maxInterval)))
}

// reassign updates whether this daemon owns the customer, and returns what has changed. The ledger of
// a newly owned customer settles until opensAt.
func (o *owner) reassign(customer string, opensAt, now time.Duration) ownershipChange {
	_, owned := o.opensAt[customer]
	if !o.fleet.selfOwns(customer) {
		delete(o.opensAt, customer)
		return ownershipChange{givenUp: count(owned)}
	}
	if owned {
		return ownershipChange{}
	}
	o.opensAt[customer] = opensAt
	if l := o.ledgers[customer]; l != nil {
		l.settle(opensAt, now)
	}
	return ownershipChange{taken: 1, open: count(opensAt <= now)}
}

// ownershipChange counts the customers that this daemon has become the owner of, those of them whose
// ledger is open at once, and those that it no longer owns.
type ownershipChange struct{ taken, open, givenUp int }

func (c *ownershipChange) add(o ownershipChange) {
	c.taken += o.taken
	c.open += o.open
	c.givenUp += o.givenUp
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (o *owner) log(reason string, c ownershipChange) {
	if c == (ownershipChange{}) {
		return
	}
	o.opts.Logger.Info("quota: ownership changed", "reason", reason, "taken", c.taken, "open_at_once", c.open, "given_up", c.givenUp,
		"owned", len(o.opensAt), "reachable", len(o.fleet.reachable), "known", o.fleet.known, "isolated", o.fleet.isolated)
}

// serve answers a request.
func (o *owner) serve(req *quotapb.Request, now time.Duration) *quotapb.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer := &quotapb.Answer{Leases: make([]*quotapb.Lease, 0, len(req.GetClaims()))}
	o.detectAbsence(now)
	if o.fleet != nil {
		answer.Boot = o.fleet.boot()
	}
	id := holderID{req.GetHost(), req.GetBoot()}
	for _, c := range req.GetClaims() {
		answer.Leases = append(answer.Leases, o.claim(id, req.GetSequence(), c, now))
	}
	return answer
}

func (o *owner) claim(id holderID, sequence uint64, c *quotapb.Claim, now time.Duration) *quotapb.Lease {
	customer := c.GetCustomer()
	contract := o.contracts[customer]
	if contract == nil {
		return &quotapb.Lease{Verdict: quotapb.Verdict_VERDICT_NO_CONTRACT}
	}
	opensAt, owned := o.opensAt[customer]
	if !owned || !o.running || now < o.refuseUntil {
		return &quotapb.Lease{Verdict: quotapb.Verdict_VERDICT_NOT_OWNER}
	}
	l := o.ledgers[customer]
	if l == nil {
		if o.fleet.alone {
			opensAt = max(opensAt, now+o.opts.settleTime())
		}
		l = newLedger(o.opts, contract, opensAt, now)
		o.ledgers[customer] = l
	}
	return l.claim(now, o.fleet, id, sequence, c)
}

// heartbeat records that the process is running, and drops leases and ledgers that have ended.
func (o *owner) heartbeat(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectAbsence(now)
	o.running, o.lastHeartbeat = true, now
	if o.fleet == nil || now < o.nextSweep {
		return
	}
	o.nextSweep = now + tickInterval
	for customer, l := range o.ledgers {
		l.sweep(now, o.fleet)
		_, owned := o.opensAt[customer]
		if l.idle() || !owned && len(l.entries) == 0 {
			delete(o.ledgers, customer)
		}
	}
}

// size returns the number of ledgers and the number of leases in them.
func (o *owner) size() (ledgers, leases int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.ledgers {
		leases += len(l.entries)
	}
	return len(o.ledgers), leases
}
