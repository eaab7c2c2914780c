package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/checkpoint"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/buildinfo"
	"github.com/crocuscross/crocuscross/internal/controller/announce"
	"github.com/crocuscross/crocuscross/internal/controller/apply"
	"github.com/crocuscross/crocuscross/internal/controller/backends"
	"github.com/crocuscross/crocuscross/internal/controller/checkpoints"
	"github.com/crocuscross/crocuscross/internal/controller/contacts"
	"github.com/crocuscross/crocuscross/internal/controller/distribute"
	"github.com/crocuscross/crocuscross/internal/controller/drain"
	"github.com/crocuscross/crocuscross/internal/controller/members"
	"github.com/crocuscross/crocuscross/internal/controller/quarantines"
	"github.com/crocuscross/crocuscross/internal/controller/rollouts"
	"github.com/crocuscross/crocuscross/internal/fleet"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/internal/proxy/inbound"
	"github.com/crocuscross/crocuscross/internal/proxy/outbound"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/platform"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/retry"
	"github.com/crocuscross/crocuscross/rollout"
	"github.com/crocuscross/crocuscross/spread"
)

// Bounds on the tables of attempts and idempotency keys. Together with the rest of the memory in
// use they keep a daemon below 64 MB.
const (
	// maxCallRecords bounds the calls that each table keeps records of.
	maxCallRecords = 16 << 10
	// maxResponseBytes bounds, for each table, the memory of the responses kept for repeated calls
	// and queries.
	maxResponseBytes = 6 << 20
	// maxIssuedKeys bounds the idempotency keys issued within two key lifetimes.
	maxIssuedKeys = 1 << 20
)

// maxAnnouncementLogLines is the maximum number of log lines per second about rejected
// announcements. Other processes may send any number of them.
const maxAnnouncementLogLines = 5

// components are the parts of a daemon, in the order in which they depend on each other.
type components struct {
	callPool, controlPool *peer.Pool
	peerServer            *peer.Server
	log                   *httplog.Client
	// adapter is set if the platform has a metadata store in place of the log.
	adapter     *platform.Adapter
	appendMeter *telemetry.AppendMeter
	peerMeter   *telemetry.PeerMeter

	membership *membership.Membership
	spreader   *spread.Spreader
	quota      *quota.Manager
	attempts   *once.AttemptTable
	quarantine *quarantine.Tracker
	// zones is nil unless the settings place calls by the load of zones.
	zones     *capacity.Zones
	picker    *balance.Picker
	budgets   *retry.Budgets
	keys      *once.KeyStore
	ownKeys   once.KeyResolver
	claimLoop loop.Func

	inbound     *inbound.Handler
	outbound    *outbound.Handler
	self        *fleet.LocalStatus
	operatorAPI http.Handler

	apply       *apply.Controller
	backends    *backends.Controller
	members     *members.Controller
	announce    *announce.Controller
	distribute  *distribute.Controller
	checkpoints *checkpoints.Controller
	// checkpointLoop writes checkpoints. It does nothing if the platform has a metadata store.
	checkpointLoop loop.Func
	contacts       *contacts.Controller
	quarantines    *quarantines.Controller
	rolloutGate    *rollout.Gate
	rollouts       *rollouts.Controller
	lifecycle      *drain.Controller
}

// build builds all components.
func (d *Daemon) build() (*components, error) {
	p := &components{}
	p.peerMeter = telemetry.NewPeerMeter(d.registry)
	p.buildPeers(d)
	if err := p.buildMembership(d); err != nil {
		return nil, err
	}
	p.buildConfiguration(d)
	if err := p.buildCalls(d); err != nil {
		return nil, err
	}
	p.buildOperators(d)
	p.registerHandlers()
	d.registry.MustRegister(telemetry.NewBoardCollector(d.board),
		telemetry.NewGateCollector(p.inbound.Load), telemetry.NewQuotaCollector(p.quota.Stats),
		telemetry.NewQuarantineCollector(p.quarantine.Stats), telemetry.NewSpeedCollector(p.picker.SpeedFactors))
	return p, nil
}

// buildPeers builds two session pools, one for calls and one for everything else. Configuration
// must not wait behind a large upload, and the loss of a session of one pool must not end the
// streams of the other.
func (p *components) buildPeers(d *Daemon) {
	opts := peer.DefaultPoolOptions()
	opts.Meter = p.peerMeter
	opts.LocalityOf = d.localityOf
	opts.Dial = d.dialCalls
	p.callPool = peer.NewPool(opts)
	opts.Dial = dialFrom(addrOf(d.ln.peers).Addr())
	p.controlPool = peer.NewPool(opts)
	server := peer.DefaultServerOptions()
	server.Meter = p.peerMeter
	server.LocalityOf = d.localityOf
	server.Logger = d.logger
	p.peerServer = peer.NewServer(server)
	log := httplog.DefaultOptions(d.settings.Platform.URL)
	log.AppendTimeout = time.Duration(d.settings.Platform.AppendTimeout)
	p.log = httplog.New(log)
	p.appendMeter = telemetry.NewAppendMeter(d.registry)
	if d.usesMetadataStore() {
		p.adapter = platform.New(strings.TrimPrefix(d.settings.Platform.URL, "http://"), d.logger, telemetry.NewStoreMeter(d.registry))
	}
}

// localityOf returns the locality of the daemon with an IP address.
func (d *Daemon) localityOf(ip netip.Addr) peer.Locality {
	view := d.board.Members.Load()
	if view == nil {
		return peer.UnknownLocality
	}
	for _, m := range view.Members {
		if m.PeerAddr.Addr() != ip {
			continue
		}
		if m.AvailabilityZone == d.settings.AvailabilityZone {
			return peer.SameZone
		}
		return peer.OtherZone
	}
	return peer.UnknownLocality
}

// usesMetadataStore reports whether the platform has a metadata store, to which its operator writes
// documents.
func (d *Daemon) usesMetadataStore() bool {
	return d.settings.Platform.Protocol == settings.ProtocolStore
}

// configLog returns the log of configuration records.
func (p *components) configLog() eventlog.Log {
	if p.adapter != nil {
		return p.adapter.Config
	}
	return p.log.Stream(eventlog.StreamConfig)
}

// latestState returns the newest state that the platform stores besides the records of the log.
func (p *components) latestState(ctx context.Context) (*fold.State, error) {
	if p.adapter != nil {
		return p.adapter.Config.LatestState(ctx)
	}
	return checkpoint.Latest(ctx, p.log.Stream(eventlog.StreamCheckpoints))
}

func (p *components) buildMembership(d *Daemon) error {
	s := d.settings
	o := membership.DefaultOptions()
	o.Host = s.Host
	o.Boot = d.boot
	o.AvailabilityZone = s.AvailabilityZone
	o.Region = s.Region
	o.LinkMbps = float32(s.LinkMbps)
	o.PeerAddr = d.peerAddr()
	o.CallerAddr = addrOf(d.ln.callers)
	o.ProbeInterval = time.Duration(s.Membership.ProbeInterval)
	o.ProbeTimeout = time.Duration(s.Membership.ProbeTimeout)
	o.SuspicionTimeout = time.Duration(s.Membership.SuspicionTimeout)
	o.HealInterval = time.Duration(s.Membership.HealInterval)
	o.Packets = d.ln.packets
	o.Sync = memberSync{p.controlPool}
	o.Meter = telemetry.NewMemberMeter(d.registry)
	o.Logger = d.logger
	m, err := membership.New(o)
	p.membership = m
	return err
}

func (p *components) buildConfiguration(d *Daemon) {
	p.distribute = &distribute.Controller{Board: d.board}
	s := d.settings.Spread
	o := spread.DefaultOptions()
	o.Host = d.settings.Host
	o.AvailabilityZone = d.settings.AvailabilityZone
	o.Log = p.configLog()
	o.LogReportsRestores = p.adapter != nil
	o.Peers = spread.NewPoolPeers(p.controlPool)
	o.ReadersPerZone = s.ReadersPerZone
	o.FanOut = s.FanOut
	// The settings are validated and contain only known names.
	_ = o.Mode.UnmarshalText([]byte(s.Mode))
	_ = o.Redundancy.UnmarshalText([]byte(s.Redundancy))
	o.OwnReadAfter = time.Duration(s.OwnReadAfter)
	o.ReadWait = time.Duration(d.settings.Platform.ReadWait)
	o.Floor = p.membership.Floor
	o.LoadCheckpoint = p.latestState
	o.OnState = p.distribute.OnState
	o.OnStatus = p.distribute.OnStatus
	o.Meter = telemetry.NewSpreadMeter(d.registry)
	o.Logger = d.logger
	p.spreader = spread.New(o)
	p.distribute.Spreader = p.spreader
	p.membership.OnOffset(p.spreader.ObserveOffset)
	p.buildStreams(d)
	p.members = &members.Controller{Board: d.board, Membership: p.membership, Now: time.Now}
	p.apply = &apply.Controller{Board: d.board, Logger: d.logger, OnInForce: telemetry.NewConfigGauges(d.registry)}
	p.announce = &announce.Controller{
		Board: d.board, Logger: d.logger, Now: time.Now,
		Address: d.settings.Backend.Address, ServerTTL: time.Duration(d.settings.Backend.Expires),
		Service: d.settings.Backend.Service, RejectionLogLimit: telemetry.NewLogLimiter(maxAnnouncementLogLines),
	}
}

// meteredStream returns a stream that this daemon appends to, with metrics of its appends.
func (p *components) meteredStream(name string) eventlog.Log {
	return p.appendMeter.Stream(name, p.log.Stream(name))
}

// buildStreams builds the components that have streams of their own in the platform's log.
func (p *components) buildStreams(d *Daemon) {
	options := checkpoint.DefaultCheckpointerOptions(time.Duration(d.settings.Platform.Retention))
	options.Logger = d.logger
	p.checkpoints = &checkpoints.Controller{
		Board: d.board, Logger: d.logger,
		Checkpointer: checkpoint.NewCheckpointer(d.settings.Host, p.log.Stream(eventlog.StreamConfig),
			p.meteredStream(eventlog.StreamCheckpoints), options),
	}
	p.checkpointLoop = p.checkpoints.Run
	directory := eventlog.Directory(eventlog.TailDirectory{Log: p.meteredStream(eventlog.StreamContacts), MaxRecords: contacts.TailRecords})
	if p.adapter != nil {
		directory = p.adapter.Contacts
		// The store itself keeps the newest document.
		p.checkpointLoop = idle
	}
	p.buildQuarantine(d, directory)
	p.buildRollouts(d, directory)
	p.contacts = contacts.New(contacts.Options{
		Board: d.board, Directory: directory, DirectoryPersists: p.adapter != nil, Host: d.settings.Host,
		AvailabilityZone: d.settings.AvailabilityZone, PeerAddr: d.peerAddr(),
		OnEntries: p.addEntries, OnHosts: p.setDirectoryHosts, Logger: d.logger, Now: time.Now,
	})
}

// idle is a loop that does nothing until ctx is done.
func idle(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (p *components) buildOperators(d *Daemon) {
	p.self = fleet.NewLocalStatus(fleet.LocalStatusOptions{
		Board: d.board, Host: d.settings.Host, AvailabilityZone: d.settings.AvailabilityZone,
		Version: buildinfo.Get().String(), Now: time.Now,
	})
	o := fleet.DefaultOptions()
	o.Board, o.Local, o.Peers, o.Drain, o.Logger = d.board, p.self, operatorPeers{p.controlPool}, p.lifecycle.Drain, d.logger
	f := fleet.New(o)
	p.peerServer.Handle(peerpb.Kind_KIND_STATUS, p.self)
	p.peerServer.Handle(peerpb.Kind_KIND_DRAIN, peer.HandlerFunc(f.ServeDrain))
	p.operatorAPI = operator.New(operator.Options{
		Board: d.board, Fleet: f, Logger: d.logger,
		NeedDocument: d.settings.Requests.Customers == settings.CustomersOptional,
		Metrics:      d.metricsHandler(), Quarantine: p.quarantine, Rollouts: p.rollouts.Status,
	})
}

// loops returns the loops that run for the lifetime of the daemon.
func (d *Daemon) loops() []loop.Func {
	return []loop.Func{
		func(context.Context) error { return d.peerServer.Serve(d.ln.peers) },
		func(context.Context) error { return serve(d.operators, d.ln.operators) },
		d.serveMetrics,
		func(context.Context) error { return serve(d.backend, d.ln.backend) },
		d.serveCallers,
		d.joinFleet, d.recoverConfiguration, d.callPool.Run, d.controlPool.Run,
		d.membership.Run, d.members.Run, d.backends.Run,
		d.distribute.Run, d.apply.Run, d.announce.Run,
		d.checkpointLoop, d.contacts.Run, d.quarantines.Run, d.rollouts.Run, d.claimLoop,
		d.quota.Run, d.updateQuota, d.inbound.Run, d.updateRetryBudget, d.watchSettings, d.discoverBackend, d.logSpills,
		d.self.Run, d.lifecycle.Run,
	}
}

// updateQuota passes the members of the fleet and the contracts in force to the quota manager
// whenever they change.
func (d *Daemon) updateQuota(ctx context.Context) error {
	for {
		view, viewChanged := d.board.Members.Watch()
		snap, snapChanged := d.board.Snapshot.Watch()
		if view != nil {
			d.quota.SetView(view)
		}
		if snap != nil {
			d.quota.SetContracts(snap.LimitedContracts(), snap.Offset)
		}
		select {
		case <-viewChanged:
		case <-snapChanged:
		case <-ctx.Done():
			return nil
		}
	}
}
