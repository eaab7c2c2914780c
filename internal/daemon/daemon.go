// Package daemon wires the parts of one daemon together and owns its life:
// start, serving, graceful shutdown.
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
	// quiet is how long a leaving daemon goes on taking calls, until all others
	// know that it leaves.
	quiet = 2 * time.Second
	// notice is how long before the end of quiet the others learn that its backend server
	// goes with it. Gossip takes some probe intervals of 0.5 s; whoever has not heard is
	// refused by the gate, which costs a hop. Where all of 11 hosts restart in turn 0.10 of
	// the requests were refused in place of 0.12 with a notice as long as quiet.
	notice = 600 * time.Millisecond
	// linger is how long callers' connections are served after the last one was
	// let in.
	linger = 500 * time.Millisecond
	// lingerPoll is how often it is looked whether any are left.
	lingerPoll = 10 * time.Millisecond
	// leaveTimeout bounds the goodbye to the other daemons.
	leaveTimeout = 300 * time.Millisecond
	// lastAnswersTimeout bounds the answers to calls that are given up: an ask of a gate
	// and a write to the caller.
	lastAnswersTimeout = 300 * time.Millisecond
	// closeTimeout bounds the end of what is left after the drain, at each listener.
	closeTimeout = 150 * time.Millisecond
)

// Daemon is one daemon with all its parts.
type Daemon struct {
	settings *settings.Settings
	// current is settings with what was reloaded since the start.
	current  atomic.Pointer[settings.Settings]
	reloads  ReloadOptions
	level    *slog.LevelVar
	lines    *telemetry.LineQueue
	logger   *slog.Logger
	tracer   trace.Tracer
	flush    func(context.Context) error
	registry *prometheus.Registry
	boot     uint64
	board    *blackboard.Board
	ln       *listeners
	// dialCalls connects the sessions that carry calls.
	dialCalls dialFunc
	// joined is closed once another daemon has answered.
	joined     chan struct{}
	joinedOnce sync.Once
	*parts

	callers            *pipeline.Server
	operators, backend *http.Server
	// linger is the constant of this name; tests change it.
	linger time.Duration
}

// Run runs a daemon until ctx is done and its graceful shutdown has ended.
func Run(ctx context.Context, s *settings.Settings, reloads ReloadOptions) error {
	d, err := New(ctx, s)
	if err != nil {
		return err
	}
	d.reloads = reloads
	return d.Run(ctx)
}

// New binds the listeners and builds the parts; nothing runs yet.
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

// newDaemon builds a daemon on bound listeners; dial connects the sessions that
// carry calls.
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
		dialCalls: dial,
		settings:  s,
		level:     level,
		lines:     lines,
		logger:    logger.With("host", s.Host),
		tracer:    tracer,
		flush:     flush,
		registry:  telemetry.NewRegistry(),
		boot:      rand.Uint64() | 1,
		board:     &blackboard.Board{},
		ln:        ln,
		joined:    make(chan struct{}),
		linger:    linger,
	}
	d.current.Store(s)
	d.parts, err = d.build()
	return d, err
}

// Run starts the parts, serves until ctx is done, and shuts down gracefully.
// It returns early where a part fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.lines.Close()
	// The parts outlive ctx: they are needed until the drain has ended.
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	d.serveHTTP()
	d.lifecycle.Joining()
	go func() { ended <- loop.Run(life, d.loops()...) }()
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
	return errors.CombineErrors(err, d.flush(flushCtx))
}

// serveHTTP makes the servers of the HTTP listeners.
func (d *Daemon) serveHTTP() {
	d.callers = d.callerServer()
	d.operators = operatorServer(d.operatorAPI, d.logger)
	d.backend = backendServer(d.announce.Handler(), d.logger)
	watchInput(d.operators, "operators", d.meter, d.logger)
	watchInput(d.backend, "backend", d.meter, d.logger)
}

// drain shuts down gracefully: the others are told first, then no more callers
// are let in, then the work in flight ends. Callers that keep connections are
// told to close them.
func (d *Daemon) drain(reason string) {
	until, done := context.WithTimeout(context.Background(), drainTime(d.live().Drain))
	defer done()
	d.lifecycle.Drain(reason)
	d.callers.Drain()
	d.lifecycle.WaitGracePeriod(until)
	d.ln.callersDoor.Shut()
	d.lingerOn()
	if d.callers.Shutdown(until) != nil {
		d.answerTheRest()
	}
	left := d.lifecycle.Wait(until)
	if left > 0 {
		d.logger.Warn("daemon: requests cut off by the drain timeout", "requests", left)
	}
	d.shutdownCallers()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.membership.Leave(ctx); err != nil {
		d.logger.Warn("daemon: the goodbye was not heard", "error", err)
	}
}

// answerTheRest has the calls answered for which there is no time left.
func (d *Daemon) answerTheRest() {
	d.logger.Warn("daemon: calls given up by the drain timeout", "calls", d.outbound.InFlight(), "connections", d.callers.OpenConns())
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTimeout)
	defer cancel()
	d.outbound.CancelCalls()
	if d.callers.Shutdown(ctx) != nil {
		d.logger.Warn("daemon: callers' connections cut off", "connections", d.callers.OpenConns())
	}
}

// drainTime returns how long calls in flight may take in a drain. A sixth of the time
// until the process is killed is left for the goodbye and the end: calls cut off by
// the kill get no answer at all, and the other daemons would suspect the host first.
func drainTime(s settings.Drain) time.Duration { return time.Duration(s.Timeout) * 5 / 6 }

// lingerOn serves for a while the connections that were let in before the door
// was shut. The HTTP server closes a connection on which no request has begun at
// once, and cuts off a request that is just arriving on it.
func (d *Daemon) lingerOn() {
	for end := time.Now().Add(d.linger); time.Now().Before(end) && d.callers.OpenConns() > 0; {
		time.Sleep(lingerPoll)
	}
}

// close ends what serves others.
func (d *Daemon) close() {
	d.shutdownCallers()
	shutdown(d.operators, closeTimeout)
	shutdown(d.backend, closeTimeout)
	_ = d.server.Close()
	_ = d.calls.Close()
	_ = d.control.Close()
	d.ln.close()
	d.logger.Info("daemon: stopped")
}

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
