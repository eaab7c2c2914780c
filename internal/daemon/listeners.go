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
	// operatorWriteTimeout is above the longest wait that an operator can ask
	// for.
	operatorWriteTimeout = 2 * time.Minute
	callerIdleTimeout    = 2 * time.Minute
	localTimeout         = 10 * time.Second

	// listenerCallers labels input from callers.
	listenerCallers = "callers"
)

// listeners are bound before anything else starts, so that a port that is
// taken is told at once.
type listeners struct {
	callers, peers, operators, backend net.Listener
	// metrics is nil where the settings name no such listener.
	metrics net.Listener
	packets *net.UDPConn
	// callersDoor is callers.
	callersDoor *door
}

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
			// The settings let no required one be empty.
			continue
		}
		ln, err := net.Listen("tcp", b.addr)
		if err != nil {
			l.close()
			return nil, errors.Wrap(err, b.field)
		}
		*b.ln = ln
	}
	l.callersDoor = newDoor(l.callers)
	l.callers = l.callersDoor
	// Probes use UDP on the same port as the sessions between daemons.
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

// callerServer serves callers. Bodies may take as long as their contract allows;
// only the header has a time of its own.
func (d *Daemon) callerServer() *pipeline.Server {
	o := pipeline.DefaultOptions()
	o.Handler = d.outbound
	o.Limits = d.callerLimits
	o.MaxKeepAliveConns = d.settings.Requests.MaxConnections
	o.OnCallerDisconnected = d.outbound.RecordDisconnect
	o.Logger = d.logger
	o.OnMalformed = func(remote net.Addr, err error) {
		d.meter.RejectedAt(listenerCallers, reasonMalformed)
		d.logger.Warn("daemon: input refused", "listener", listenerCallers, "reason", reasonMalformed, "remote", remote, "error", err)
	}
	return pipeline.NewServer(o)
}

// callerLimits returns the settings' limits, or what the document in force says.
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

// shutdownCallers lets requests in flight end within a time and then closes.
func (d *Daemon) shutdownCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if d.callers.Shutdown(ctx) != nil {
		_ = d.callers.Close()
	}
}

// serveCallers accepts callers until the server is shut down.
func (d *Daemon) serveCallers(context.Context) error {
	if err := d.callers.Serve(d.ln.callers); !errors.Is(err, pipeline.ErrClosed) {
		return err
	}
	return nil
}

func operatorServer(h http.Handler, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: localTimeout,
		ReadTimeout:       localTimeout,
		WriteTimeout:      operatorWriteTimeout,
		ErrorLog:          errorLog(logger, "operators"),
	}
}

func backendServer(h http.Handler, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:      h,
		ReadTimeout:  localTimeout,
		WriteTimeout: localTimeout,
		ErrorLog:     errorLog(logger, "backend"),
	}
}

func errorLog(logger *slog.Logger, listener string) *log.Logger {
	return slog.NewLogLogger(logger.With("listener", listener).Handler(), slog.LevelDebug)
}

// serveMetrics serves the metrics on a listener of their own, if there is one.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.ln.metrics == nil {
		return idle(ctx)
	}
	router := bunrouter.New()
	router.GET(operator.PathMetrics, bunrouter.HTTPHandler(d.exposition()))
	srv := operatorServer(router, d.logger)
	watchInput(srv, "metrics", d.meter, d.logger)
	defer context.AfterFunc(ctx, func() { shutdown(srv, closeTimeout) })()
	return serve(srv, d.ln.metrics)
}

// exposition returns the handler of the metrics.
func (d *Daemon) exposition() http.Handler {
	return promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{})
}

// serve runs an HTTP server until it is shut down.
func serve(srv *http.Server, ln net.Listener) error {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown lets requests in flight end within the time and then closes.
func shutdown(srv *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
