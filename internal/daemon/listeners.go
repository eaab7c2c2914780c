package daemon

import (
	"cmp"
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/crocuscross/crocuscross/internal/netopt"
	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/pipeline"
)

const (
	// operatorWriteTimeout is above the longest wait that an operator's request can ask for.
	operatorWriteTimeout = 2 * time.Minute
	// callerIdleTimeout is how long a caller's connection without a request is kept open, unless the
	// document in force sets another time.
	callerIdleTimeout = 2 * time.Minute
	// localRequestTimeout bounds the reads of requests from operators and backend servers, and the
	// writes of responses to backend servers.
	localRequestTimeout = 10 * time.Second

	// listenerCallers is the listener label of input from callers.
	listenerCallers = "callers"
)

// listeners are bound before anything else starts, so that a port that is in use is reported
// immediately.
type listeners struct {
	callers, peers, operators, backend net.Listener
	// metrics is nil if the settings name no separate listener for metrics.
	metrics net.Listener
	packets *net.UDPConn
	// drainableCallers is the same listener as callers.
	drainableCallers *drainableListener
}

// listen binds all listeners. On an error it closes those that are already bound.
func listen(s settings.Listen) (*listeners, error) {
	l := &listeners{}
	for _, b := range []struct {
		field, addr string
		ln          *net.Listener
	}{
		{"listen.callers", s.Callers, &l.callers},
		{"listen.peers", s.Peers, &l.peers},
		{"listen.operators", s.Operators, &l.operators},
		{"listen.backend", s.Backend, &l.backend},
		{"listen.metrics", s.Metrics, &l.metrics},
	} {
		if b.addr == "" {
			// The settings are validated: only the address of an optional listener may be empty.
			continue
		}
		ln, err := net.Listen("tcp", b.addr)
		if err != nil {
			l.close()
			return nil, errors.Wrap(err, b.field)
		}
		*b.ln = ln
	}
	l.drainableCallers = newDrainableListener(l.callers)
	l.callers = l.drainableCallers
	// Membership probes use UDP on the port of the sessions between daemons.
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrOf(l.peers)))
	if err != nil {
		l.close()
		return nil, errors.Wrap(err, "listen.peers")
	}
	l.packets = conn
	l.peers = netopt.Listener(l.peers, peerUserTimeout)
	return l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.peers, l.operators, l.backend, l.metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	if l.packets != nil {
		_ = l.packets.Close()
	}
}

func addrOf(ln net.Listener) netip.AddrPort {
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// callerServer returns the server for callers. Bodies may take as long as the contract of the
// customer allows; only the header has a separate timeout.
func (d *Daemon) callerServer() *pipeline.Server {
	o := pipeline.DefaultOptions()
	o.Handler = d.outbound
	o.Limits = d.callerLimits
	o.MaxKeepAliveConns = d.settings.Requests.MaxConnections
	o.OnCallerDisconnected = d.outbound.RecordDisconnect
	o.Logger = d.logger
	o.OnMalformed = func(remote net.Addr, err error) {
		d.peerMeter.RejectedAt(listenerCallers, reasonMalformed)
		d.logger.Warn("daemon: malformed input rejected", "listener", listenerCallers, "reason", reasonMalformed, "remote", remote, "error", err)
	}
	o.RejectsHead = d.outbound.RejectsHead
	return pipeline.NewServer(o)
}

// callerLimits returns the limits of the document in force. For limits that it does not set, the
// settings apply, and callerIdleTimeout for idle connections.
func (d *Daemon) callerLimits() pipeline.Limits {
	r := d.settings.Requests
	l := pipeline.Limits{
		MaxHeaderBytes: r.MaxHeaderBytes, HeaderTimeout: time.Duration(r.HeaderTimeout), IdleTimeout: callerIdleTimeout,
	}
	snap := d.board.Snapshot.Load()
	if snap == nil || snap.Document() == nil {
		return l
	}
	in := snap.Document().Limits
	l.MaxHeaderBytes = cmp.Or(in.MaxHeaderBytes, l.MaxHeaderBytes)
	l.HeaderTimeout = cmp.Or(in.HeaderTimeout, l.HeaderTimeout)
	l.IdleTimeout = cmp.Or(in.IdleTimeout, l.IdleTimeout)
	return l
}

// shutdownCallers waits up to closeTimeout for the requests in flight and then closes all
// connections of callers.
func (d *Daemon) shutdownCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if d.callers.Shutdown(ctx) != nil {
		_ = d.callers.Close()
	}
}

// serveCallers serves callers until the server is shut down.
func (d *Daemon) serveCallers(context.Context) error {
	if err := d.callers.Serve(d.ln.callers); !errors.Is(err, pipeline.ErrClosed) {
		return err
	}
	return nil
}

func operatorServer(h http.Handler, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: localRequestTimeout,
		ReadTimeout:       localRequestTimeout,
		WriteTimeout:      operatorWriteTimeout,
		ErrorLog:          errorLog(logger, "operators"),
	}
}

func backendServer(h http.Handler, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:      h,
		ReadTimeout:  localRequestTimeout,
		WriteTimeout: localRequestTimeout,
		ErrorLog:     errorLog(logger, "backend"),
	}
}

// errorLog returns the logger for messages of package net/http, which are logged at debug level.
func errorLog(logger *slog.Logger, listener string) *log.Logger {
	return slog.NewLogLogger(logger.With("listener", listener).Handler(), slog.LevelDebug)
}

// serveMetrics serves the metrics on their separate listener, if there is one.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.ln.metrics == nil {
		return idle(ctx)
	}
	router := bunrouter.New()
	router.GET(operator.PathMetrics, bunrouter.HTTPHandler(d.metricsHandler()))
	srv := operatorServer(router, d.logger)
	monitorInput(srv, "metrics", d.peerMeter, d.logger)
	defer context.AfterFunc(ctx, func() { shutdown(srv, closeTimeout) })()
	return serve(srv, d.ln.metrics)
}

// metricsHandler returns the handler that exposes the metrics.
func (d *Daemon) metricsHandler() http.Handler {
	return promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})
}

// serve runs an HTTP server until it is shut down.
func serve(srv *http.Server, ln net.Listener) error {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown waits up to timeout for the requests in flight and then closes all connections.
func shutdown(srv *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
