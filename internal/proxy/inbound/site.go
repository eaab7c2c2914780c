package inbound

import (
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/proxy/backendconn"
)

// site is one life of a backend server with its gate and the connections to it.
type site struct {
	id, url string
	// born is the start of the life, 0 until the server has told it.
	born   atomic.Int64
	gate   *gate.Gate
	client *backendconn.Client
	runs   runs
}

// serves reports whether the site is that of an announced server.
func (s *site) serves(local *blackboard.LocalBackend) bool {
	if s.id != local.ID || s.url != local.URL {
		return false
	}
	return s.born.Load() == local.StartUnixMs || s.born.CompareAndSwap(0, local.StartUnixMs)
}

// sites holds the backend server beside the daemon. Another server, or another life of
// one, gets a gate of its own: the calls that its predecessor still runs hold none of its
// slots.
type sites struct {
	opts    Options
	current atomic.Pointer[site]

	mu      sync.Mutex
	refused bool
}

func (s *sites) init(opts Options) {
	s.opts = opts
	s.current.Store(&site{gate: opts.NewGate()})
}

// of returns the site of an announced server.
func (s *sites) of(local *blackboard.LocalBackend) (*site, error) {
	if cur := s.current.Load(); cur.serves(local) {
		return cur, nil
	}
	u, err := url.Parse(local.URL)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "address of the backend server")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	if cur.serves(local) {
		return cur, nil
	}
	next := &site{
		id: local.ID, url: local.URL, gate: cur.gate,
		client: backendconn.New(backendconn.Options{Address: u.Host, RequestIDHeader: s.opts.Dialect.RequestID}),
	}
	next.born.Store(local.StartUnixMs)
	if cur.client != nil {
		cur.client.Close()
	}
	if cur.id != local.ID || cur.born.Load() != local.StartUnixMs {
		cur.gate.Evict()
		next.gate = s.newGate(local.Slots)
	}
	s.current.Store(next)
	return next, nil
}

// newGate returns the gate of a new server. The caller holds mu.
func (s *sites) newGate(slots int) *gate.Gate {
	g := s.opts.NewGate()
	g.SetSlots(slots)
	if s.refused {
		g.Drain()
	}
	return g
}

// follow brings the gate to what was announced. Calls that wait for a server that
// drains are refused: they can be run elsewhere, and would reach it too late here.
func (s *sites) follow(local *blackboard.LocalBackend) {
	if local.Service == "" {
		if cur := s.current.Load(); cur.id != "" {
			cur.gate.Evict()
		}
		return
	}
	at, err := s.of(local)
	if err != nil {
		return
	}
	at.gate.SetSlots(local.Slots)
	if local.ID != "" && local.Draining {
		at.gate.Evict()
	}
}

func (s *sites) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = true
	s.current.Load().gate.Drain()
}
