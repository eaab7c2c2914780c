package quota

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
)

const (
	// DefaultLeaseTime is the default duration of a lease. It exceeds the time in which
	// membership detects that an owner is dead, so that holders keep admitting calls while
	// ownership moves.
	DefaultLeaseTime = 15 * time.Second
	// DefaultRenewInterval is the default renew interval of a customer whose demand is
	// below its contract.
	DefaultRenewInterval = 5 * time.Second
	// DefaultProbeInterval is the default of membership.Options.
	DefaultProbeInterval = time.Second

	// tickInterval is the interval at which a holder checks demand and due claims.
	tickInterval = 100 * time.Millisecond
	// requestTimeout bounds one exchange with an owner.
	requestTimeout = 500 * time.Millisecond
	// admitWait bounds how long a call waits for a token from the owner's pool.
	admitWait = 250 * time.Millisecond
	// maxHeartbeatGap is the longest gap between two heartbeats that is attributed to a
	// busy machine. Membership takes longer than this to declare a daemon dead, so no other
	// daemon can have become the owner in the meantime.
	maxHeartbeatGap = 2 * time.Second
	// delegationTime is how long an owner's pool keeps using a rate that a holder has
	// delegated to it. Until then the holder neither uses the rate itself nor delegates it
	// to another owner.
	delegationTime = 3 * time.Second
	// previousOwnerTime is how long a holder waits for its previous owner to notice that it is no
	// longer the owner.
	previousOwnerTime = 2 * time.Second
	// previousOwnerInterval is the time between two claims to an owner that has not noticed yet.
	previousOwnerInterval = 200 * time.Millisecond
	// delegationMargin is the additional time that the holder waits, because the owner
	// checks its ledgers only once per tick.
	delegationMargin = 3 * tickInterval
	// suspectGrace is how long a suspect member still counts as reachable, so that a false
	// suspicion that is soon refuted moves no ownership. Membership itself keeps members
	// suspect for much longer if a whole zone or region is unreachable.
	suspectGrace = time.Second
	// partitionDivisor sets the share of a region's members, 1/partitionDivisor, at or
	// below which the region is treated as partitioned. The share is above zero because the
	// last members of a region are detected as unreachable some seconds after the first. It
	// is below the share of members that remain in a region that lost one zone.
	partitionDivisor = 4
	// aloneTime is how long after its start a process that has not found most of the fleet assumes
	// that it is cut off and not left over. Afterwards it grants its share of the contracts.
	aloneTime = time.Minute
	// unreachableRetention is how long unreachable members count as possibly partitioned.
	unreachableRetention = 30 * time.Minute

	// contendedDivisor divides the renew interval if demand exceeds the contract.
	contendedDivisor = 2
	// batchDivisor sets the fraction of the renew interval, 1/batchDivisor, by which a
	// claim is sent early, together with a claim that is due to the same owner.
	batchDivisor = 5
	// pooledRenewal is the renew interval of a lease whose rate is delegated to the pool.
	// It is shorter than delegationTime, so that the rate keeps feeding the pool.
	pooledRenewal = 2 * time.Second
	// delegateSoon is the renew interval of a holder that had a bucket and is to delegate its rate to
	// the pool. Nobody can use the rate until then.
	delegateSoon = 2 * tickInterval
	// minSettleTime is the shortest settling time of a new owner, and the time for which its view of
	// the fleet must not have grown, whatever has been reported to it. A daemon learns of members that
	// it does not know within one or two membership exchanges.
	minSettleTime = time.Second
	// introductionTime is how long the daemons of a running fleet may take to learn of a process that has
	// joined them. A daemon gossips to its availability zone within some 200 ms, and to the others within a
	// few exchanges.
	introductionTime = 2 * time.Second
	// settleDivisor sets the settling time of a new owner: the lease time divided by
	// settleDivisor.
	settleDivisor = 3
	// reportDivisor sets the time over which holders spread their first claims to a new
	// owner: the lease time divided by reportDivisor.
	reportDivisor = 15
)

// Peers sends requests to owners on other daemons.
type Peers interface {
	SendClaims(ctx context.Context, owner *membership.Member, req *quotapb.Request) (*quotapb.Answer, error)
}

// Options configures a Manager.
type Options struct {
	// Host is the host of this daemon, as in the membership view.
	Host string
	// LeaseTime is the duration of a lease that is not renewed. It must be the same on all
	// daemons.
	LeaseTime time.Duration
	// RenewInterval is the longest time between two claims for an active customer.
	RenewInterval time.Duration
	// Tolerance is the number of calls that a contract allows in a window. It must be the same on all
	// daemons.
	Tolerance Tolerance
	// ProbeInterval is that of package membership.
	ProbeInterval time.Duration
	// Standing returns how the other members see this daemon. If it is nil, only pauses of the process
	// are detected.
	Standing func() membership.Standing
	// Now returns the current time with a monotonic clock reading.
	Now    func() time.Time
	Peers  Peers
	Logger *slog.Logger
}

// DefaultOptions returns the default options. Host and Peers are left to the caller.
func DefaultOptions() Options {
	return Options{
		LeaseTime:     DefaultLeaseTime,
		RenewInterval: DefaultRenewInterval,
		ProbeInterval: DefaultProbeInterval,
		Now:           time.Now,
		Logger:        slog.New(slog.DiscardHandler),
	}
}

// withDefaults replaces zero values by the defaults.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	if o.LeaseTime == 0 {
		o.LeaseTime = d.LeaseTime
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = d.RenewInterval
	}
	if o.ProbeInterval == 0 {
		o.ProbeInterval = d.ProbeInterval
	}
	if o.Now == nil {
		o.Now = d.Now
	}
	if o.Logger == nil {
		o.Logger = d.Logger
	}
	return o
}

func (o Options) contendedRenewal() time.Duration { return o.RenewInterval / contendedDivisor }
func (o Options) settleTime() time.Duration       { return o.LeaseTime / settleDivisor }
func (o Options) reportSpread() time.Duration     { return o.LeaseTime / reportDivisor }

// rejoinTime is how long a formerly partitioned region may use leases from an owner on its
// side: the time until all daemons see the members of the other side again, plus one lease.
func (o Options) rejoinTime() time.Duration { return o.settleTime() + o.ownerLeaseTime() }

// ownerLeaseTime is how long the owner charges a lease: slightly longer than the holder uses
// it, because clocks run at different speeds.
func (o Options) ownerLeaseTime() time.Duration { return o.LeaseTime + o.LeaseTime/64 }
