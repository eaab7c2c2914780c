// Package backendserver plays a backend server: it announces itself to the
// daemon beside it, answers any path, misbehaves on command and records each
// execution, which is what proofs compare with the answers that callers got.
package backendserver

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/internal/standin/serve"
)

// Options describes one backend server.
type Options struct {
	// Name is given in answers and in the record.
	Name    string
	Service string
	// Slots is how many requests run at once; others wait.
	Slots       int
	ServiceTime ServiceTime
	Cold        Cold
	// DaemonURL is the backend listener of the daemon beside it. Empty means
	// not to announce.
	DaemonURL string
	// Record gets the executions as JSON lines, if not nil.
	Record io.Writer
	// MaxExecutions bounds the executions kept in memory.
	MaxExecutions int
	// Linger is how long requests are taken after the announcement has been
	// withdrawn. Without it the daemon's last calls would meet a closed port.
	Linger time.Duration
	// Grace is how long requests in flight may take after that.
	Grace time.Duration
	// Seed makes the drawn times and shed requests repeatable.
	Seed uint64
	// Die ends the process at once, on command.
	Die    func()
	Logger *slog.Logger
}

// DefaultOptions are the sizes of the users' targets.
func DefaultOptions(service string) Options {
	return Options{
		Name:          service,
		Service:       service,
		Slots:         10,
		ServiceTime:   ServiceTime{Mean: 5 * time.Millisecond, Distribution: Fixed},
		MaxExecutions: 1 << 20,
		Linger:        time.Second,
		Grace:         30 * time.Second,
		Seed:          1,
		Die:           func() {},
		Logger:        slog.New(slog.DiscardHandler),
	}
}

// Server is one backend server.
type Server struct {
	opts     Options
	rec      *recorder
	behavior *behavior
	slots    *slots
	counts   counts
	announce *announcer
	router   *bunrouter.Router
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	s := &Server{
		opts:     opts,
		rec:      newRecorder(opts.Name, opts.MaxExecutions, opts.Record),
		behavior: newBehavior(opts.ServiceTime, opts.Cold, opts.Seed),
		slots:    newSlots(opts.Slots),
		announce: newAnnouncer(opts),
		router:   bunrouter.New(),
	}
	s.routeAdmin()
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if path == pathHealth || path == pathLoad || strings.HasPrefix(path, pathAdmin) {
		s.router.ServeHTTP(w, r)
		return
	}
	s.serveCall(w, r)
}

// Run serves ln and keeps the server announced. When ctx ends it withdraws the
// announcement, serves for Linger what the daemon had already admitted, and
// lets the requests in flight end.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.announce.setURL("http://" + ln.Addr().String())
	serving, stop := context.WithCancel(context.Background())
	var t tomb.Tomb
	t.Go(func() error {
		defer stop()
		s.announce.run(t.Context(ctx))
		if t.Alive() {
			_ = sleep(t.Context(context.Background()), s.opts.Linger)
		}
		return nil
	})
	t.Go(func() error { return serve.Run(serving, ln, s, serve.Options{Grace: s.opts.Grace}) })
	return t.Wait()
}
