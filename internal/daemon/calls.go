package daemon

import (
	"context"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/controller/backends"
	"github.com/crocuscross/crocuscross/internal/controller/drain"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/internal/proxy/inbound"
	"github.com/crocuscross/crocuscross/internal/proxy/outbound"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/platform"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/retry"
)

// buildCalls builds the components that a call passes through.
func (p *components) buildCalls(d *Daemon) error {
	metrics := telemetry.NewCallMeter(d.registry)
	attemptOptions := once.DefaultAttemptTableOptions(d.boot)
	attemptOptions.Bounds.MaxRecords, attemptOptions.Bounds.MaxBytes = maxCallRecords, maxResponseBytes
	p.attempts = once.NewAttemptTable(attemptOptions)
	runs, callees := admission.NewRuns(time.Now()), &admission.CalleeStats{}
	p.buildZones(d)
	p.inbound = inbound.NewHandler(inbound.Options{
		Zones: p.zones, LinkMbps: d.settings.LinkMbps, LinkPlacement: d.settings.Load.LinkPlacement == settings.On, Host: d.settings.Host,
		Runs: runs, CalleeStats: callees, HostShare: d.hostShare,
		Local: &d.board.Local, NewGate: d.newGate,
		MergeRoutes: d.isDisabled(settings.WithoutRouteClasses), IgnoreObjective: d.isDisabled(settings.WithoutObjective),
		AccountWeight: d.accountWeight(), ReportRouteTimes: d.settings.Load.SpeedPlacement == settings.On,
		Attempts: p.attempts, Dialect: d.dialect(), OnServerMismatch: p.announce.HandleServerMismatch,
		OnServerLeaving: p.announce.HandleServerLeaving,
		Quarantine:      p.quarantine, Rollout: p.rolloutGate, Tracer: d.tracer, Metrics: metrics, Logger: d.logger,
	})
	balanceOptions := balance.DefaultOptions()
	balanceOptions.AvailabilityZone, balanceOptions.Region = d.settings.AvailabilityZone, d.settings.Region
	balanceOptions.ZoneCost = time.Duration(d.settings.Requests.ZoneCost)
	balanceOptions.SlowStart = time.Duration(d.settings.Requests.SlowStart)
	balanceOptions.DisableSlowEjection = d.settings.Requests.SlowServers == settings.SlowKeep
	balanceOptions.Zones = p.zones
	balanceOptions.LinkPlacement, balanceOptions.Host = d.settings.Load.LinkPlacement == settings.On, d.settings.Host
	balanceOptions.SpeedPlacement = d.settings.Load.SpeedPlacement == settings.On
	p.picker = balance.New(balanceOptions)
	p.backends = &backends.Controller{Board: d.board, OnChange: func(s *backend.Set) { p.picker.Prune(s) }}
	quotaOptions := quota.DefaultOptions()
	quotaOptions.Host = d.settings.Host
	quotaOptions.Peers = quotaPeers{p.controlPool}
	quotaOptions.ProbeInterval = time.Duration(d.settings.Membership.ProbeInterval)
	quotaOptions.Standing = p.membership.Standing
	quotaOptions.Tolerance = quota.Tolerance{
		Window: time.Duration(d.settings.Quota.Window), Share: d.settings.Quota.Share, Calls: float64(d.settings.Quota.Calls),
	}
	quotaOptions.Logger = d.logger
	p.quota = quota.New(quotaOptions)
	p.budgets = retry.NewBudgets(retry.BudgetOptions{Ratio: retryBudgetShare * d.settings.Retries.Ratio, Burst: d.settings.Retries.Burst})
	if err := p.buildKeys(d); err != nil {
		return err
	}
	p.outbound = outbound.NewHandler(outbound.Options{
		Board: d.board, Pool: p.callPool, Picker: p.picker, Quota: p.quota,
		Budgets: p.budgets,
		Keys:    p.keys, OwnKeys: p.ownKeys, Tracer: d.tracer, Metrics: metrics, Logger: d.logger,
		Host: d.settings.Host, Boot: d.boot,
		MaxBody: d.settings.Requests.MaxBodyBytes, MaxCalls: d.settings.Requests.MaxInFlight,
		Dialect: d.dialect(), Anonymous: d.settings.Requests.Customers == settings.CustomersOptional,
		AlwaysSendSmallBodies: d.isDisabled(settings.WithoutAdmissionCheck), IgnoreCallerRetries: d.isDisabled(settings.WithoutCallerRetries),
		TryBusyGates:  d.isDisabled(settings.WithoutBusyGates),
		CallerService: d.localService, Runs: runs, NestedRoutes: &admission.NestedRoutes{},
		CalleeStats: callees, CallGraph: &admission.CallGraph{},
		Zones: p.zones, ZoneKilobyteTime: time.Duration(d.settings.Load.ZoneKilobyteTime),
		KilobyteCost: d.kilobyteCost, Quarantine: p.quarantine, ConfigMayBeStale: d.configMayBeStale,
		ConfigFreshness: p.configFreshness(d.board),
	})
	p.lifecycle = &drain.Controller{
		Board: d.board, Logger: d.logger, GracePeriod: gracePeriod, PeerNotice: d.peerNotice(),
		Counters:       []drain.InFlightCounter{p.inbound, p.outbound},
		RejectNewCalls: p.inbound.RejectNewCalls,
	}
	return nil
}

// buildKeys builds the tables of idempotency keys. Keys chosen by callers require the platform's
// log and are disabled unless the settings enable them.
func (p *components) buildKeys(d *Daemon) error {
	o := once.DefaultKeyStoreOptions(d.settings.Host, d.boot)
	o.Bounds.MaxRecords, o.Bounds.MaxBytes, o.MaxKeys = maxCallRecords, maxResponseBytes, maxIssuedKeys
	p.keys = once.NewKeyStore(o)
	p.ownKeys = once.IssuedKeysOnly{}
	p.claimLoop = idle
	if d.settings.Requests.CallerKeys != settings.On {
		return nil
	}
	options := once.DefaultClaimResolverOptions(p.meteredStream(once.StreamClaims), p.keys)
	options.Logger = d.logger
	claims, err := once.NewClaimResolver(options)
	if err != nil {
		return err
	}
	p.ownKeys, p.claimLoop = claims, claims.Run
	return nil
}

// dialect returns the header names that the platform uses.
func (d *Daemon) dialect() dialect.Dialect {
	if d.usesMetadataStore() {
		return platform.Dialect()
	}
	return dialect.Default()
}

// newGate returns the gate of a backend server. With a metadata store, backend servers announce how
// many calls they run concurrently and queue some more, so a shed call does not indicate a lack of
// slots.
func (d *Daemon) newGate() *gate.Gate {
	o := gate.DefaultOptions()
	o.FixedSlots = d.usesMetadataStore()
	o.UrgentSlots = d.settings.Load.UrgentSlots == settings.On
	o.AccountShares = d.settings.Load.AccountShares == settings.On
	o.RetryAfterIgnoresObjective = d.isDisabled(settings.WithoutObjectiveRetryAfter)
	return gate.New(o)
}

// accountWeight returns the function by which calls state the weight of their account to the gate: its
// limit in calls per second in the configuration in force. It returns nil if accounts do not share
// slots.
func (d *Daemon) accountWeight() func(name string) float64 {
	if d.settings.Load.AccountShares != settings.On {
		return nil
	}
	return func(name string) float64 { return d.board.Snapshot.Load().RateLimit(name) }
}

// configMayBeStale reports whether a newer configuration than the one in force may exist: one is
// known, or this daemon reaches less than half of the others, so that it would not hear of one.
func (d *Daemon) configMayBeStale() bool {
	snap, source, view := d.board.Snapshot.Load(), d.board.Source.Load(), d.board.Members.Load()
	if snap == nil || source == nil || view == nil {
		return true
	}
	return snap.Offset < source.KnownOffset || !view.ReachesHalf()
}

// configFreshness returns the function that reports how recently this daemon could have learned of a
// newer configuration than the one in force.
func (p *components) configFreshness(board *blackboard.Board) func() outbound.ConfigFreshness {
	return func() outbound.ConfigFreshness {
		f := p.spreader.Freshness()
		fresh := outbound.ConfigFreshness{LogRead: f.LogRead, PeerContact: f.PeerContact}
		if source := board.Source.Load(); source != nil {
			fresh.KnownOffset = source.KnownOffset
		}
		return fresh
	}
}

// localService returns the service of the backend server on this host, empty if it is not known.
func (d *Daemon) localService() string {
	if d.settings.Backend.Service != "" {
		return d.settings.Backend.Service
	}
	if local := d.board.Local.Load(); local != nil {
		return local.Service
	}
	return ""
}

// isDisabled reports whether the settings disable a mechanism, which is used to measure its effect.
func (d *Daemon) isDisabled(mechanism string) bool { return d.settings.Trial.Without == mechanism }

// peerNotice returns how long before the end of gracePeriod the drain of the backend server is
// announced.
func (d *Daemon) peerNotice() time.Duration {
	if d.isDisabled(settings.WithoutDrainNotice) {
		return gracePeriod
	}
	return peerNotice
}

// kilobyteCost returns the cost of 1,000 bytes sent to another availability zone, as a duration for
// a latency objective of 1 s.
func (d *Daemon) kilobyteCost() time.Duration {
	if d.isDisabled(settings.WithoutLocality) {
		return 0
	}
	return time.Duration(d.currentSettings().Requests.KilobyteCost)
}

// hostShare returns the share of the hosts with a known backend server whose server belongs to the
// service, 0 to 1.
func (d *Daemon) hostShare(service string) float64 {
	if d.isDisabled(settings.WithoutNestedCalls) {
		// If every host has a server of the service, calls made by that service cannot be
		// distinguished from requests of callers.
		return 1
	}
	set := d.board.Backends.Load()
	return float64(len(set.ForService(service))) / float64(max(set.Len(), 1))
}

// retryBudgetShare is the part of the fleet's retry budget that is distributed to the daemons. The
// rest is a reserve: a retried request that makes calls of its own causes about as many calls
// again.
const retryBudgetShare = 0.7

// updateRetryBudget keeps the retry burst of this daemon at an equal share of the fleet's burst.
// Daemons that are considered dead count as well: on the other side of a network partition they use
// their shares.
func (d *Daemon) updateRetryBudget(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		view, changed := d.board.Members.Watch()
		members := 1
		if view != nil {
			members = max(view.Known(), 1)
		}
		d.budgets.SetBurst(max(1, retryBudgetShare*float64(d.currentSettings().Retries.Burst)/float64(members)))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}
