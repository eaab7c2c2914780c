package inbound

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/proxy/dialect"
	"github.com/crocuscross/crocuscross/internal/telemetry"
)

func newInstances() *serverInstances {
	s := &serverInstances{}
	s.init(Options{Metrics: telemetry.NewCallMeter(prometheus.NewRegistry()), NewGate: func() *gate.Gate { return gate.New(gate.DefaultOptions()) }})
	return s
}

// readyServer returns an announced server that is ready.
func readyServer() *blackboard.LocalBackend {
	return &blackboard.LocalBackend{ID: "i-1", URL: "http://127.0.0.1:1", Service: "s", Slots: 2}
}

// adopt makes the current instance adopt a notice.
func (s *serverInstances) adopt(n dialect.ServerNotice) {
	s.current.Load().changeNotice(func(old *serverNotices) noticeChange { return old.adopt(n) })
}

// A server announces itself again after its announcement has lapsed, or after it has announced that
// it drains. Guards against a gate that rejects its calls from then on.
func TestServerInstances_ServerThatReturnsGetsCalls(t *testing.T) {
	ready := readyServer()
	draining := *ready
	draining.Draining = true
	for name, between := range map[string]*blackboard.LocalBackend{"lapsed": {}, "drained": &draining} {
		t.Run(name, func(t *testing.T) {
			s := newInstances()
			s.update(ready)
			s.adopt(limitedTo(2))
			s.update(between)
			_, err := s.current.Load().gate.Enter(t.Context(), "a", time.Second)
			must.Eq(t, errkind.Draining, errkind.Of(err))
			s.update(ready)
			_, err = s.current.Load().gate.Enter(t.Context(), "a", time.Second)
			must.NoError(t, err)
			must.Eq(t, 2, s.current.Load().gate.Load().RateLimit)
		})
	}
}

// Guards against calls to a server that leaves, once its announcement has lapsed and come back.
func TestServerInstances_LeavingServerThatReturnsGetsNoCalls(t *testing.T) {
	ready := readyServer()
	s := newInstances()
	s.update(ready)
	s.adopt(dialect.ServerNotice{Leaving: true})
	s.update(&blackboard.LocalBackend{})
	s.update(ready)
	_, err := s.current.Load().gate.Enter(t.Context(), "a", time.Second)
	must.Eq(t, errkind.Draining, errkind.Of(err))
}

// The gate of a server is replaced while a call is in progress, whose response then states a limit.
// Guards against a limit that reaches only the replaced gate.
func TestServerInstances_CallOfReplacedGateSetsLimit(t *testing.T) {
	ready := readyServer()
	s := newInstances()
	s.update(ready)
	replaced := s.current.Load()
	s.update(&blackboard.LocalBackend{})
	s.update(ready)
	replaced.changeNotice(func(n *serverNotices) noticeChange { return n.adopt(limitedTo(3)) })
	must.Eq(t, 3, s.current.Load().gate.Load().RateLimit)
}

// Guards against an instance for each call to a server that leaves and announces that it is ready.
func TestServerInstances_LeavingServerKeepsItsInstance(t *testing.T) {
	ready := readyServer()
	s := newInstances()
	s.update(ready)
	s.adopt(dialect.ServerNotice{Leaving: true})
	first, err := s.forServer(ready)
	must.NoError(t, err)
	second, err := s.forServer(ready)
	must.NoError(t, err)
	must.True(t, first == second)
}
