// Package serve runs the HTTP servers of the stand-ins.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Options tells how a server ends.
type Options struct {
	// Requests is the parent of the requests' contexts. Nil lets requests in
	// flight run to their end.
	Requests context.Context
	// Grace is how long requests may take to end after Run's context has.
	Grace time.Duration
}

// Run serves h until ctx ends. The error tells of requests that outlived the
// grace.
func Run(ctx context.Context, ln net.Listener, h http.Handler, opts Options) error {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if opts.Requests != nil {
		srv.BaseContext = func(net.Listener) context.Context { return opts.Requests }
	}
	var t tomb.Tomb
	t.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	t.Go(func() error {
		select {
		case <-ctx.Done():
		case <-t.Dying():
		}
		return shutdown(srv, opts.Grace)
	})
	return t.Wait()
}

func shutdown(srv *http.Server, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "shut down"), srv.Close())
	}
	return nil
}

// Announce prints the line by which whoever started a stand-in learns its
// address.
func Announce(w io.Writer, ln net.Listener) {
	fmt.Fprintf(w, "listening %s\n", ln.Addr())
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(v)
}
