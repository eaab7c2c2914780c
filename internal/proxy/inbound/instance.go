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

// serverInstance is one instance of a backend server, with its gate and the connections to it.
// A server that restarts is a new instance.
type serverInstance struct {
	id, url string
	// startUnixMs is the start of the instance in Unix milliseconds by the server's clock, 0
	// until the server has announced it.
	startUnixMs atomic.Int64
	gate        *gate.Gate
	// evicted is set once the gate rejects all calls for good, because the server drained or its
	// announcement lapsed.
	evicted atomic.Bool
	client  *backendconn.Client
	// running holds the calls that the instance is running.
	running runningCalls
	// notices is what the instance states about itself in its responses.
	notices *serverNotices
}

// matches reports whether the instance is the announced server and its gate can still be used.
func (s *serverInstance) matches(local *blackboard.LocalBackend) bool {
	return s.url == local.URL && s.isSame(local) && (local.Draining || !s.evicted.Load())
}

// isSame reports whether the instance is the announced server, possibly at another address. An
// instance whose start is not known yet adopts the announced one.
func (s *serverInstance) isSame(local *blackboard.LocalBackend) bool {
	return s.id == local.ID && (s.startUnixMs.Load() == local.StartUnixMs || s.startUnixMs.CompareAndSwap(0, local.StartUnixMs))
}

// evict makes the gate reject all calls.
func (s *serverInstance) evict() {
	s.evicted.Store(true)
	s.gate.Evict()
}

// serverInstances holds the current instance of the backend server beside the daemon. A
// different server, or a new instance of the same one, gets a gate of its own, so that calls
// that still run at the previous instance occupy none of its slots.
type serverInstances struct {
	opts    Options
	current atomic.Pointer[serverInstance]

	mu sync.Mutex
	// rejecting is whether the gates of new instances reject all calls.
	rejecting bool
}

func (s *serverInstances) init(opts Options) {
	s.opts = opts
	s.current.Store(&serverInstance{gate: opts.NewGate(), notices: &serverNotices{}})
}

// forServer returns the instance of an announced server. It replaces the current instance if
// that is a different one.
func (s *serverInstances) forServer(local *blackboard.LocalBackend) (*serverInstance, error) {
	if cur := s.current.Load(); cur.matches(local) {
		return cur, nil
	}
	u, err := url.Parse(local.URL)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "parse the URL of the backend server")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	if cur.matches(local) {
		return cur, nil
	}
	next := &serverInstance{
		id: local.ID, url: local.URL, gate: cur.gate, notices: cur.notices,
		client: backendconn.New(backendconn.Options{
			Address: u.Host, RequestIDHeader: s.opts.Dialect.RequestID,
			OnConnect: s.opts.Metrics.ServerConnections.Inc, OnLateResponse: s.opts.Metrics.LateResponses.Inc,
		}),
	}
	next.startUnixMs.Store(local.StartUnixMs)
	if cur.client != nil {
		cur.client.Close()
	}
	same := cur.isSame(local)
	if !same || cur.evicted.Load() {
		cur.evict()
		next.gate = s.newGate(local.Slots)
	}
	if !same {
		next.notices = &serverNotices{}
		if cur.notices.message() != nil {
			s.opts.Metrics.SetServerNotice(0, false)
		}
	}
	next.takeOverNotices()
	s.current.Store(next)
	return next, nil
}

// newGate returns the gate of a new instance. The caller holds mu.
func (s *serverInstances) newGate(slots int) *gate.Gate {
	g := s.opts.NewGate()
	g.SetSlots(slots)
	if s.rejecting {
		g.Drain()
	}
	return g
}

// update applies an announcement to the gate. Calls that wait for a server that drains are
// rejected: other servers can run them, and they would reach this one too late.
func (s *serverInstances) update(local *blackboard.LocalBackend) {
	if local.Service == "" {
		if cur := s.current.Load(); cur.id != "" {
			cur.evict()
		}
		return
	}
	inst, err := s.forServer(local)
	if err != nil {
		return
	}
	inst.gate.SetSlots(local.Slots)
	if local.ID != "" && local.Draining {
		inst.evict()
	}
}

// rejectNewCalls drains the gate of the current instance and those of later instances.
func (s *serverInstances) rejectNewCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = true
	s.current.Load().gate.Drain()
}
