// Package daemon assembles the components of one daemon and runs it: startup, serving and graceful
// shutdown.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"

	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/internal/telemetry"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/pipeline"
)

const (
	// gracePeriod is how long a draining daemon keeps accepting calls, until all other daemons know
	// of the drain.
	gracePeriod = 2 * time.Second
	// peerNotice is the last part of gracePeriod. At its start, the daemon announces that its
	// backend server must receive no more calls. Gossip takes a few probe intervals of 0.5 s. A
	// daemon that the announcement has not reached in time gets its call rejected by the gate,
	// which costs a hop. In a rolling restart of all 11 hosts, 10% of the requests were rejected
	// with this value, 12% with a notice as long as gracePeriod.
	peerNotice = 600 * time.Millisecond
	// linger is how long the connections of callers are still served after the last connection was
	// accepted.
	linger = 500 * time.Millisecond
	// lingerPoll is the interval at which the daemon checks whether any of these connections are
	// left.
	lingerPoll = 10 * time.Millisecond
	// leaveTimeout bounds the announcement to the other daemons that this daemon leaves.
	leaveTimeout = 300 * time.Millisecond
	// finalResponsesTimeout bounds the responses to calls that are canceled at the drain timeout: a
	// query to a gate and a write to the caller.
	finalResponsesTimeout = 300 * time.Millisecond
	// closeTimeout bounds, for each listener, the end of the requests that are left after the
	// drain.
	closeTimeout = 150 * time.Millisecond
)

// Daemon is one daemon with all its components.
type Daemon struct {
	// settings are the settings that the daemon was started with.
	settings *settings.Settings
	// current holds the settings in force: the initial settings with the values that were reloaded.
	current     atomic.Pointer[settings.Settings]
	reloads     ReloadOptions
	level       *slog.LevelVar
	logLines    *telemetry.LineQueue
	logger      *slog.Logger
	tracer      trace.Tracer
	flushTraces func(context.Context) error
	registry    *prometheus.Registry
	// boot is a random number other than 0 that identifies this run of the daemon.
	boot  uint64
	board *blackboard.Board
	ln    *listeners
	// dialCalls opens the sessions that carry calls.
	dialCalls dialFunc
	// joined is closed once a join has reached another daemon.
	joined     chan struct{}
	joinedOnce sync.Once
	// created is when the daemon was created, and othersKnown how much later it first knew another
	// member, in nanoseconds, 0 before that.
	created     time.Time
	othersKnown atomic.Int64
	*components

	callers            *pipeline.Server
	operators, backend *http.Server
	// linger is the constant of the same name; tests override it.
	linger time.Duration
}

// Run runs a daemon until ctx is done and its graceful shutdown has completed.
func Run(ctx context.Context, s *settings.Settings, reloads ReloadOptions) error {
	d, err := New(ctx, s)
	if err != nil {
		return err
	}
	d.reloads = reloads
	return d.Run(ctx)
}

// New binds the listeners and builds the components. It does not start them.
func New(ctx context.Context, s *settings.Settings) (*Daemon, error) {
	ln, err := listen(s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	d, err := newDaemon(ctx, s, ln, dialFrom(addrOf(ln.peers).Addr()))
	if err != nil {
		ln.close()
		return nil, err
	}
	return d, nil
}

// newDaemon builds a daemon on bound listeners. dial opens the sessions that carry calls.
func newDaemon(ctx context.Context, s *settings.Settings, ln *listeners, dial dialFunc) (*Daemon, error) {
	level := &slog.LevelVar{}
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	lines := telemetry.NewLineQueue(os.Stdout)
	logger, err := telemetry.NewLogger(lines, level, s.Log.Format)
	if err != nil {
		return nil, err
	}
	tracer, flush, err := telemetry.NewTracer(ctx, telemetry.TraceOptions{
		Exporter: s.Trace.Exporter, Endpoint: s.Trace.Endpoint, Ratio: s.Trace.Ratio,
		Host: s.Host, AvailabilityZone: s.AvailabilityZone, Stdout: os.Stdout,
	})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		dialCalls:   dial,
		settings:    s,
		level:       level,
		logLines:    lines,
		logger:      logger.With("host", s.Host),
		tracer:      tracer,
		flushTraces: flush,
		registry:    telemetry.NewRegistry(),
		boot:        rand.Uint64() | 1,
		board:       &blackboard.Board{},
		ln:          ln,
		joined:      make(chan struct{}),
		created:     time.Now(),
		linger:      linger,
	}
	d.current.Store(s)
	d.components, err = d.build()
	return d, err
}

// Run starts the components, serves until ctx is done, and then shuts down gracefully. It returns
// early if a component fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.logLines.Close()
	// The components outlive ctx: they are needed until the drain has completed.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	d.checkAnnouncements()
	d.buildServers()
	d.lifecycle.Joining()
	go func() { ended <- loop.Run(runCtx, d.loops()...) }()
	d.logger.Info("daemon: started", "availability_zone", d.settings.AvailabilityZone, "boot", d.boot,
		"callers", d.ln.callers.Addr(), "peers", d.ln.peers.Addr(), "operators", d.ln.operators.Addr())
	var err error
	select {
	case <-ctx.Done():
		d.drain("signal")
		stop()
		d.close()
		err = <-ended
	case err = <-ended:
		d.close()
	}
	flushCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.CombineErrors(err, d.flushTraces(flushCtx))
}

// buildServers builds the HTTP servers for callers, operators and backend servers.
func (d *Daemon) buildServers() {
	d.callers = d.callerServer()
	d.operators = operatorServer(d.operatorAPI, d.logger)
	d.backend = backendServer(d.announce.Handler(), d.logger)
	monitorInput(d.operators, "operators", d.peerMeter, d.logger)
	monitorInput(d.backend, "backend", d.peerMeter, d.logger)
}

// drain shuts down gracefully. It announces the drain to the other daemons, then stops accepting
// connections from callers, and then waits for the requests in flight. Meanwhile, responses ask
// callers to close their keep-alive connections.
func (d *Daemon) drain(reason string) {
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), drainTimeout(d.currentSettings().Drain))
	defer cancelDrain()
	d.lifecycle.Drain(reason)
	d.callers.Drain()
	d.lifecycle.WaitGracePeriod(drainCtx)
	d.ln.drainableCallers.StopAccepting()
	d.waitLinger()
	if d.callers.Shutdown(drainCtx) != nil {
		d.cancelRemainingCalls()
	}
	remaining := d.lifecycle.Wait(drainCtx)
	if remaining > 0 {
		d.logger.Warn("daemon: requests cut off by the drain timeout", "requests", remaining)
	}
	d.shutdownCallers()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.membership.Leave(ctx); err != nil {
		// Other daemons have usually received it: it was sent at least once.
		d.logger.Info("daemon: departure sent fewer times than other updates", "error", err)
	}
}

// cancelRemainingCalls cancels the calls that are in progress at the drain timeout, and waits until
// their callers have received an error response.
func (d *Daemon) cancelRemainingCalls() {
	d.logger.Warn("daemon: calls given up by the drain timeout", "calls", d.outbound.InFlight(), "connections", d.callers.OpenConns())
	ctx, cancel := context.WithTimeout(context.Background(), finalResponsesTimeout)
	defer cancel()
	d.outbound.CancelCalls()
	if d.callers.Shutdown(ctx) != nil {
		d.logger.Warn("daemon: callers' connections closed with requests in progress", "connections", d.callers.OpenConns())
	}
}

// drainTimeout returns how long calls in flight may take during a drain. A sixth of the time until
// the process is killed is reserved for announcing that the daemon leaves and for closing the
// listeners. Calls that the kill interrupts get no response at all, and the other daemons would
// suspect the host before they know that it has left.
func drainTimeout(s settings.Drain) time.Duration { return time.Duration(s.Timeout) * 5 / 6 }

// waitLinger keeps serving for a while the connections that were accepted before the listener
// stopped. Shutting down the server immediately would close a connection on which no request has
// begun, and abort a request that is just arriving.
func (d *Daemon) waitLinger() {
	for end := time.Now().Add(d.linger); time.Now().Before(end) && d.callers.OpenConns() > 0; {
		time.Sleep(lingerPoll)
	}
}

// close shuts down the servers and closes the sessions and the listeners.
func (d *Daemon) close() {
	d.shutdownCallers()
	shutdown(d.operators, closeTimeout)
	shutdown(d.backend, closeTimeout)
	_ = d.peerServer.Close()
	_ = d.callPool.Close()
	_ = d.controlPool.Close()
	d.ln.close()
	d.logger.Info("daemon: stopped")
}

// parseContacts parses a list of IP addresses with ports.
func parseContacts(list []string) ([]membership.Contact, error) {
	contacts := make([]membership.Contact, 0, len(list))
	for _, s := range list {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, errors.Wrap(err, "contacts")
		}
		contacts = append(contacts, membership.Contact{Addr: a})
	}
	return contacts, nil
}
