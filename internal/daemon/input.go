package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// reasonMalformed is input that never became an HTTP request: not HTTP, a
// header too large, cut off or too slow.
const reasonMalformed = "malformed"

// inputMeter counts refused input.
type inputMeter interface {
	RejectedAt(listener, reason string)
}

// inputWatch counts the connections whose input never became a request. The
// HTTP library answers and closes them without a word to the handler, so an
// operator would not see a client that sends garbage.
type inputWatch struct {
	listener string
	meter    inputMeter
	logger   *slog.Logger
	conns    sync.Map // net.Conn to *connInput
}

// connInput counts a connection's requests by how far they came.
type connInput struct {
	begun, served atomic.Int64
}

type connInputKey struct{}

// watchInput makes srv count what it refuses, and its open connections.
func watchInput(srv *http.Server, listener string, meter inputMeter, logger *slog.Logger) *inputWatch {
	w := &inputWatch{listener: listener, meter: meter, logger: logger}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if in, ok := r.Context().Value(connInputKey{}).(*connInput); ok {
			in.served.Add(1)
		}
		next.ServeHTTP(rw, r)
	})
	srv.ConnContext = w.connContext
	srv.ConnState = w.connState
	return w
}

func (w *inputWatch) connContext(ctx context.Context, conn net.Conn) context.Context {
	in := &connInput{}
	w.conns.Store(conn, in)
	return context.WithValue(ctx, connInputKey{}, in)
}

// connState sees a connection turn active with the first byte of a request
// and, at its end, whether all of them reached the handler.
func (w *inputWatch) connState(conn net.Conn, state http.ConnState) {
	v, ok := w.conns.Load(conn)
	if !ok {
		return
	}
	in := v.(*connInput)
	switch state {
	case http.StateActive:
		in.begun.Add(1)
	case http.StateClosed, http.StateHijacked:
		w.conns.Delete(conn)
		if in.begun.Load() > in.served.Load() {
			w.refused(conn)
		}
	}
}

func (w *inputWatch) refused(conn net.Conn) {
	w.meter.RejectedAt(w.listener, reasonMalformed)
	w.logger.Warn("daemon: input refused", "listener", w.listener, "reason", reasonMalformed, "remote", conn.RemoteAddr())
}
