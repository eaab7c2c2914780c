package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// reasonMalformed is the reason given for input that never became an HTTP request: it is not HTTP,
// or its header is too large, truncated or too slow.
const reasonMalformed = "malformed"

// inputMeter counts rejected input.
type inputMeter interface {
	RejectedAt(listener, reason string)
}

// inputMonitor counts the connections of an HTTP server whose input never became a request. Package
// net/http answers and closes them without calling the handler, so operators would not notice a
// client that sends garbage.
type inputMonitor struct {
	listener string
	meter    inputMeter
	logger   *slog.Logger
	conns    sync.Map // net.Conn -> *connRequests
}

// connRequests counts the requests of a connection whose first byte arrived and those that reached
// the handler.
type connRequests struct {
	started, handled atomic.Int64
}

type connRequestsKey struct{}

// monitorInput makes srv count and log connections with malformed input. It wraps the handler and
// sets the connection hooks of srv.
func monitorInput(srv *http.Server, listener string, meter inputMeter, logger *slog.Logger) *inputMonitor {
	w := &inputMonitor{listener: listener, meter: meter, logger: logger}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if in, ok := r.Context().Value(connRequestsKey{}).(*connRequests); ok {
			in.handled.Add(1)
		}
		next.ServeHTTP(rw, r)
	})
	srv.ConnContext = w.connContext
	srv.ConnState = w.connState
	return w
}

func (w *inputMonitor) connContext(ctx context.Context, conn net.Conn) context.Context {
	in := &connRequests{}
	w.conns.Store(conn, in)
	return context.WithValue(ctx, connRequestsKey{}, in)
}

// connState counts the requests that a connection starts: the connection becomes active with the
// first byte of each. At the end of the connection it checks whether all of them reached the
// handler.
func (w *inputMonitor) connState(conn net.Conn, state http.ConnState) {
	v, ok := w.conns.Load(conn)
	if !ok {
		return
	}
	in := v.(*connRequests)
	switch state {
	case http.StateActive:
		in.started.Add(1)
	case http.StateClosed, http.StateHijacked:
		w.conns.Delete(conn)
		if in.started.Load() > in.handled.Load() {
			w.reportMalformed(conn)
		}
	}
}

func (w *inputMonitor) reportMalformed(conn net.Conn) {
	w.meter.RejectedAt(w.listener, reasonMalformed)
	w.logger.Warn("daemon: malformed input rejected", "listener", w.listener, "reason", reasonMalformed, "remote", conn.RemoteAddr())
}
