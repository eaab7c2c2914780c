// Package storeserver serves the fake of the platform's metadata store in a process of its own,
// with an admin API on a separate listener to publish configurations and to inject faults.
package storeserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/crocuscross/crocuscross/internal/standin/serve"
	"github.com/crocuscross/crocuscross/platform/storetest"
)

const (
	// maxDocumentBytes limits a published configuration.
	maxDocumentBytes = 16 << 20
	shutdownGrace    = time.Second
)

// faults are the faults that the admin API can inject, by name.
var faults = map[string]storetest.Fault{
	"none":        storetest.None,
	"unavailable": storetest.Unavailable,
	"limited":     storetest.RateLimited,
	"reset":       storetest.ConnectionReset,
	"lost":        storetest.ResponseLost,
	"silent":      storetest.NoResponse,
	"truncated":   storetest.TruncatedResponse,
	"stalled":     storetest.StalledResponse,
	"withheld":    storetest.MissingRecords,
}

// Published is the JSON response to a published configuration.
type Published struct {
	// Offset is the offset of its record.
	Offset uint64 `json:"offset"`
}

// Server is a store with its admin API.
type Server struct {
	store  *storetest.Server
	router *bunrouter.Router

	mu     sync.Mutex
	backup storetest.Backup
}

// New returns a server of an empty store.
func New() *Server {
	s := &Server{store: storetest.NewHandler(), router: bunrouter.New()}
	s.backup = s.store.Backup()
	s.router.POST("/admin/config", s.publish)
	s.router.POST("/admin/fault", s.command(s.setFault))
	s.router.POST("/admin/delay", s.command(s.setDelay))
	s.router.POST("/admin/compact", s.command(s.compact))
	s.router.POST("/admin/backup", s.command(s.takeBackup))
	s.router.POST("/admin/restore", s.command(s.restore))
	return s
}

// Run serves the store on some listeners and the admin API on another until ctx ends.
func (s *Server) Run(ctx context.Context, admin net.Listener, store []net.Listener) error {
	var t tomb.Tomb
	opts := serve.Options{Requests: ctx, Grace: shutdownGrace}
	t.Go(func() error {
		for _, ln := range store {
			t.Go(func() error { return serve.Run(ctx, ln, s.store, opts) })
		}
		return serve.Run(ctx, admin, s.router, opts)
	})
	return t.Wait()
}

// publish writes the body as the operator's configuration.
func (s *Server) publish(w http.ResponseWriter, r bunrouter.Request) error {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	return serve.WriteJSON(w, http.StatusOK, Published{Offset: s.store.PutConfig(string(document))})
}

// command returns the handler of a command, which responds with status 400 if f fails.
func (s *Server) command(f func(bunrouter.Request) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		if err := f(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
		return nil
	}
}

// setFault sets the fault of all calls, or of those to the local address ip.
func (s *Server) setFault(r bunrouter.Request) error {
	name := r.URL.Query().Get("kind")
	f, ok := faults[name]
	if !ok {
		return errors.Newf("unknown fault %q", name)
	}
	if ip := r.URL.Query().Get("ip"); ip != "" {
		s.store.SetHostFault(ip, f)
		return nil
	}
	s.store.SetFault(f)
	return nil
}

func (s *Server) setDelay(r bunrouter.Request) error {
	d, err := time.ParseDuration(r.URL.Query().Get("delay"))
	if err == nil {
		s.store.SetDelay(d)
	}
	return err
}

// compact drops the history of the operator's topic.
func (s *Server) compact(bunrouter.Request) error {
	s.store.CompactAllConfig()
	return nil
}

func (s *Server) takeBackup(bunrouter.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = s.store.Backup()
	return nil
}

func (s *Server) restore(bunrouter.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Restore(s.backup)
	return nil
}
