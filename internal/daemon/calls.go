package daemon

import (
	"context"
	"time"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/controller/announce"
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

// buildCalls makes what a call passes through.
func (p *parts) buildCalls(d *Daemon) error {
	metrics := telemetry.NewCalls(d.registry)
	attempts := once.DefaultAttemptTableOptions(d.boot)
	attempts.Bounds.MaxRecords, attempts.Bounds.MaxBytes = keptRecords, keptBytes
	p.attempts = once.NewAttemptTable(attempts)
	runs, callees := admission.NewRuns(time.Now()), &admission.CalleeStats{}
	p.inbound = inbound.NewHandler(inbound.Options{
		LinkMbps: d.settings.LinkMbps, Runs: runs, CalleeStats: callees, HostShare: d.hostShare,
		Local: &d.board.Local, NewGate: d.newGate,
		MergeRoutes: d.without(settings.WithoutRoutes), IgnoreObjective: d.without(settings.WithoutObjective),
		Attempts: p.attempts, Dialect: d.dialect(), OnServerMismatch: p.announce.HandleServerMismatch,
		Quarantine: p.quarantine, Rollout: p.rolloutGate, Tracer: d.tracer, Metrics: metrics, Logger: d.logger,
	})
	balancing := balance.DefaultOptions()
	balancing.AvailabilityZone, balancing.Region = d.settings.AvailabilityZone, d.settings.Region
	balancing.ZoneCost = time.Duration(d.settings.Requests.ZoneCost)
	balancing.SlowStart = time.Duration(d.settings.Requests.SlowStart)
	balancing.DisableSlowEjection = d.settings.Requests.SlowServers == settings.SlowKeep
	p.picker = balance.New(balancing)
	p.backends = &backends.Controller{Board: d.board, OnChange: func(s *backend.Set) { p.picker.Prune(s) }}
	quotas := quota.DefaultOptions()
	quotas.Host = d.settings.Host
	quotas.Peers = quotaPeers{p.control}
	quotas.Logger = d.logger
	p.quota = quota.New(quotas)
	p.budgets = retry.NewBudgets(retry.BudgetOptions{Ratio: budgetShare * d.settings.Retries.Ratio, Burst: d.settings.Retries.Extra})
	if err := p.buildKeys(d); err != nil {
		return err
	}
	p.outbound = outbound.NewHandler(outbound.Options{
		Board: d.board, Pool: p.calls, Picker: p.picker, Quota: p.quota,
		Budgets: p.budgets,
		Keys:    p.keys, OwnKeys: p.ownKeys, Tracer: d.tracer, Metrics: metrics, Logger: d.logger,
		Host: d.settings.Host, Boot: d.boot,
		MaxBody: d.settings.Requests.MaxBodyBytes, MaxCalls: d.settings.Requests.MaxInFlight,
		Dialect: d.dialect(), Anonymous: d.settings.Requests.Customers == settings.CustomersOptional,
		AlwaysSendSmallBodies: d.without(settings.WithoutQuestions), IgnoreCallerRetries: d.without(settings.WithoutReturns),
		TryBusyGates:  d.without(settings.WithoutBusy),
		CallerService: d.localService, Runs: runs, NestedRoutes: &admission.NestedRoutes{},
		CalleeStats: callees, CallGraph: &admission.CallGraph{},
		KilobyteCost: d.kilobyteCost, Quarantine: p.quarantine,
	})
	p.lifecycle = &drain.Controller{
		Board: d.board, Logger: d.logger, GracePeriod: quiet, PeerNotice: d.notice(),
		Counters:       []drain.InFlightCounter{p.inbound, p.outbound},
		RejectNewCalls: p.inbound.RejectNewCalls,
	}
	return nil
}

// buildKeys makes the tables of idempotency keys. Keys of callers' own making
// need the platform's log and are off unless the settings ask for them.
func (p *parts) buildKeys(d *Daemon) error {
	o := once.DefaultKeyStoreOptions(d.settings.Host, d.boot)
	o.Bounds.MaxRecords, o.Bounds.MaxBytes, o.MaxKeys = keptRecords, keptBytes, keysOut
	p.keys = once.NewKeyStore(o)
	p.ownKeys = once.IssuedKeysOnly{}
	p.claimLoop = idle
	if d.settings.Requests.OwnKeys != settings.On {
		return nil
	}
	claiming := once.DefaultClaimResolverOptions(p.stream(once.StreamClaims), p.keys)
	claiming.Logger = d.logger
	claims, err := once.NewClaimResolver(claiming)
	if err != nil {
		return err
	}
	p.ownKeys, p.claimLoop = claims, claims.Run
	return nil
}

// dialect returns the names of header fields on the platform.
func (d *Daemon) dialect() dialect.Dialect {
	if d.onStore() {
		return platform.Dialect()
	}
	return dialect.Default()
}

// discover asks the backend server beside the daemon who it is, where the platform's
// servers tell.
func (d *Daemon) discover(ctx context.Context) error {
	if d.dialect().ServerID == "" || d.settings.Backend.Address == "" {
		return idle(ctx)
	}
	a := &announce.Discoverer{
		Controller: d.announce, Service: d.settings.Backend.Service, ServerIDHeader: d.dialect().ServerID,
		HealthPath: d.healthPath,
		HealthPathChanged: func() <-chan struct{} {
			_, changed := d.board.Snapshot.Watch()
			return changed
		},
	}
	return a.Run(ctx)
}

// healthPath returns where the backend server beside the daemon tells of its health,
// by the document in force.
func (d *Daemon) healthPath() (string, bool) {
	snap := d.board.Snapshot.Load()
	if snap == nil || snap.Document() == nil {
		return "", false
	}
	return snap.Document().HealthPath(d.settings.Backend.Service)
}

// newGate returns the gate of a backend server. On the platform servers announce how
// many calls they run at once and queue some more: a shed is no lack of slots.
func (d *Daemon) newGate() *gate.Gate {
	o := gate.DefaultOptions()
	o.FixedSlots = d.onStore()
	o.RetryAfterIgnoresObjective = d.without(settings.WithoutTimelyReturns)
	return gate.New(o)
}

// localService returns the service of the backend server beside the daemon.
func (d *Daemon) localService() string {
	if d.settings.Backend.Service != "" {
		return d.settings.Backend.Service
	}
	if local := d.board.Local.Load(); local != nil {
		return local.Service
	}
	return ""
}

// without reports whether a trial leaves a mechanism out.
func (d *Daemon) without(mechanism string) bool { return d.settings.Trial.Without == mechanism }

func (d *Daemon) notice() time.Duration {
	if d.without(settings.WithoutNotice) {
		return quiet
	}
	return notice
}

func (d *Daemon) kilobyteCost() time.Duration {
	if d.without(settings.WithoutLocality) {
		return 0
	}
	return time.Duration(d.live().Requests.KilobyteCost)
}

// hostShare returns the share of known hosts that are beside a server of the service.
func (d *Daemon) hostShare(service string) float64 {
	if d.without(settings.WithoutNested) {
		// Where all hosts are beside the service, nothing tells its calls from callers'.
		return 1
	}
	set := d.board.Backends.Load()
	return float64(len(set.ForService(service))) / float64(max(set.Len(), 1))
}

// budgetShare is the part of the fleet's retries that the daemons hand out. A retry
// that has calls of its own brings about as many again.
const budgetShare = 0.7

// shareBudget keeps this daemon's part of what the fleet may send again at an equal
// share. Daemons that are believed dead count: beyond a cut they use theirs.
func (d *Daemon) shareBudget(ctx context.Context) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		view, changed := d.board.Members.Watch()
		members := 1
		if view != nil {
			members = max(len(view.Members), 1)
		}
		d.budgets.SetBurst(max(1, budgetShare*float64(d.live().Retries.Extra)/float64(members)))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}
