package quota

import (
	"context"
	"log/slog"
	"time"

	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota/quotapb"
)

const (
	// DefaultLeaseTime outlasts the time in which membership notices that an
	// owner is dead, so that holders go on while ownership moves.
	DefaultLeaseTime = 15 * time.Second
	// DefaultRenewInterval of a customer whose demand is below its contract.
	DefaultRenewInterval = 5 * time.Second

	// tickInterval is how often a holder looks at demand and due claims.
	tickInterval = 100 * time.Millisecond
	// askTimeout bounds one exchange with an owner.
	askTimeout = 500 * time.Millisecond
	// admitWait bounds how long a call waits for the owner's pool.
	admitWait = 250 * time.Millisecond
	// maxBeatGap is the longest time between two ticks that passes for a busy
	// machine. A daemon is not taken for dead in less, so nobody else can have
	// become the owner meanwhile.
	maxBeatGap = 2 * time.Second
	// lendTime is how long an owner's pool goes on with a rate that a holder
	// has left to it. Until then the holder neither uses the rate itself nor
	// leaves it to another owner.
	lendTime = 3 * time.Second
	// lendMargin is how much longer the holder waits: the owner looks at its
	// ledgers only at each tick.
	lendMargin = 3 * tickInterval
	// suspectGrace is how long a suspect member counts as heard, so that a false
	// alarm that is soon refuted moves no ownership. Membership itself holds on
	// to suspects for much longer where a whole zone or region is silent.
	suspectGrace = time.Second
	// lostShare of the members of a region, as a divisor: a region of which no
	// more are heard is taken to be cut off. It is more than none, since the
	// silence of the last members is noticed some seconds after that of the
	// first, and less than the zones left of a region that lost one.
	lostShare = 4
	// lossMemory is how long members that are not heard count as possibly cut
	// off.
	lossMemory = 30 * time.Minute

	// contendedDivisor shortens the renew interval where demand exceeds the
	// contract.
	contendedDivisor = 2
	// batchDivisor is the part of the renew interval by which a claim goes out
	// early with one that is due to the same owner.
	batchDivisor = 5
	// pooledRenewal keeps a rate lent to the pool.
	pooledRenewal = 2 * time.Second
	// settleDivisor is the part of the lease time that a new owner settles.
	settleDivisor = 3
	// reportDivisor is the part of the lease time over which holders spread
	// their first claims to a new owner.
	reportDivisor = 15
)

// Peers sends requests to owners on other daemons.
type Peers interface {
	SendClaims(ctx context.Context, owner *membership.Member, req *quotapb.Request) (*quotapb.Answer, error)
}

// Options configures a Manager.
type Options struct {
	// Host is this daemon's host as in the membership view.
	Host string
	// LeaseTime is how long a lease lasts without renewal. It must be the same
	// on all daemons.
	LeaseTime time.Duration
	// RenewInterval is the longest time between claims of an active customer.
	RenewInterval time.Duration
	// Now returns the time with a monotonic reading.
	Now    func() time.Time
	Peers  Peers
	Logger *slog.Logger
}

// DefaultOptions returns options that lack only Host and Peers.
func DefaultOptions() Options {
	return Options{
		LeaseTime:     DefaultLeaseTime,
		RenewInterval: DefaultRenewInterval,
		Now:           time.Now,
		Logger:        slog.New(slog.DiscardHandler),
	}
}

// withDefaults fills in what the caller left out.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	if o.LeaseTime == 0 {
		o.LeaseTime = d.LeaseTime
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = d.RenewInterval
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

// rejoinTime is how long a region that was cut off may use leases of an owner on
// its side: until all daemons know of the others again, and a lease longer.
func (o Options) rejoinTime() time.Duration { return o.settleTime() + o.ownerLeaseTime() }

// ownerLeaseTime is how long the owner charges a lease: a little longer than
// the holder uses it, for clocks that run at different speeds.
func (o Options) ownerLeaseTime() time.Duration { return o.LeaseTime + o.LeaseTime/64 }
