package telemetry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/snapshot"
)

// scrape registers collectors and returns the values of their counters and gauges. A key is the
// metric's name followed by the label values, separated by spaces.
func scrape(t *testing.T, c ...prometheus.Collector) map[string]float64 {
	t.Helper()
	reg := prometheus.NewPedanticRegistry()
	reg.MustRegister(c...)
	return gather(t, reg)
}

// gather returns the values of the counters and gauges in reg, with the same keys as scrape.
func gather(t *testing.T, reg *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := reg.Gather()
	must.NoError(t, err)
	values := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, l := range m.GetLabel() {
				name += " " + l.GetValue()
			}
			values[name] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return values
}

// stateWithService returns a state with one service and a route to it.
func stateWithService(t *testing.T) *fold.State {
	t.Helper()
	record, err := fold.EncodeRecord(&configpb.Bundle{PublishId: "p", Author: "test", Changes: []*configpb.Change{
		{Resource: &configpb.Resource{Kind: &configpb.Resource_Service{Service: &configpb.Service{Name: "sign-feed"}}}},
		{Resource: &configpb.Resource{Kind: &configpb.Resource_Route{Route: &configpb.Route{Name: "signs", PathPrefix: "/", Service: "sign-feed"}}}},
	}})
	must.NoError(t, err)
	st, v, err := fold.Apply(fold.Empty(), 1, record)
	must.NoError(t, err)
	must.True(t, v.Accepted)
	return st
}

// On a daemon that has just started, the metrics that alerts use show that it does not serve yet.
func TestBoardCollector_Start(t *testing.T) {
	v := scrape(t, NewBoardCollector(&blackboard.Board{}))
	must.Eq(t, 1, v["crocuscross_phase joining"])
	must.Eq(t, 0, v["crocuscross_config_in_force"])
	must.Eq(t, 0, v["crocuscross_config_floor_known"])
	must.MapNotContainsKey(t, v, "crocuscross_members alive")
}

// A daemon cannot read the log and lags behind it, withholds a route that has no backend
// server, and has one suspect and one dead member. Each problem has its own metric.
func TestBoardCollector_ReportsProblems(t *testing.T) {
	now := time.Now()
	board := &blackboard.Board{}
	board.Snapshot.Store(snapshot.Build(nil, stateWithService(t), backend.NewSet(nil)))
	board.Floor.Store(&blackboard.Floor{Offset: 1, Known: true})
	board.Lifecycle.Store(&blackboard.Lifecycle{Phase: blackboard.Draining})
	board.Local.Store(&blackboard.LocalBackend{Service: "sign-feed", Slots: 10})
	board.Source.Store(&blackboard.Source{Reader: true, KnownOffset: 4, LogError: "down", LogErrorSince: now.Add(-time.Minute)})
	board.Backends.Store(backend.NewSet([]*backend.Server{
		{ID: backend.ID{Host: "a", Service: "sign-feed"}, Suspect: true},
		{ID: backend.ID{Host: "b", Service: "sign-feed"}, Draining: true},
	}))
	board.Members.Store(&membership.View{Members: []*membership.Member{
		{Host: "a", Liveness: membership.Suspect}, {Host: "b", Liveness: membership.Alive, Draining: true},
		{Host: "c", Liveness: membership.Dead, PeerAddr: netip.AddrPort{}},
	}})
	c := NewBoardCollector(board)
	c.now = func() time.Time { return now }
	v := scrape(t, c)
	for name, want := range map[string]float64{
		"config_in_force": 1, "config_known_offset": 4, "config_lag": 3, "config_stuck": 0,
		"config_floor_offset": 1, "config_floor_known": 1, "routes_withheld": 1,
		"log_reader": 1, "log_failing_seconds": 60, "phase draining": 1, "phase joining": 0, "local_slots": 10,
		"members alive": 1, "members suspect": 1, "members dead": 1, "members left": 0, "members_draining": 1,
		"backend_servers sign-feed available": 0, "backend_servers sign-feed suspect": 1, "backend_servers sign-feed draining": 1,
	} {
		must.Eq(t, want, v["crocuscross_"+name], must.Sprint(name))
	}
}

// config_stuck is 1 if distribution is stuck or the floor is unknown for a reason. A reason beside
// a known floor does not count.
func TestBoardCollector_Stuck(t *testing.T) {
	for _, c := range []struct {
		source blackboard.Source
		floor  blackboard.Floor
		want   float64
	}{
		{blackboard.Source{StuckReason: "record 3 follows rule 9"}, blackboard.Floor{Known: true}, 1},
		{blackboard.Source{}, blackboard.Floor{Reason: "the log is down"}, 1},
		{blackboard.Source{}, blackboard.Floor{Reason: "the log is down", Known: true}, 0},
	} {
		board := &blackboard.Board{}
		board.Source.Store(&c.source)
		board.Floor.Store(&c.floor)
		must.Eq(t, c.want, scrape(t, NewBoardCollector(board))["crocuscross_config_stuck"])
	}
}

func TestLoadCollectors(t *testing.T) {
	v := scrape(t,
		NewGateCollector(func() gate.Load {
			return gate.Load{InUse: 3, Queued: 2, Slots: 10, ReservedSlots: 4, WaitingAccounts: 6, AccountRejected: 8, Draining: true, ServiceTime: time.Second}
		}),
		NewQuotaCollector(func() quota.Stats { return quota.Stats{Refused: 5, Sent: 7, Failed: 2, Leases: 4} }))
	for name, want := range map[string]float64{
		"gate_in_use": 3, "gate_queued": 2, "gate_slots": 10, "gate_reserved_slots": 4, "gate_waiting_accounts": 6, "gate_account_rejected_total": 8, "gate_draining": 1, "gate_service_time_seconds": 1,
		"quota_refused_total": 5, "quota_asks_total ok": 5, "quota_asks_total error": 2, "quota_leases": 4,
	} {
		must.Eq(t, want, v["crocuscross_"+name], must.Sprint(name))
	}
}

// An append whose response was lost may have taken effect, so it is counted apart from an append to
// an unavailable log.
func TestAppendMeter(t *testing.T) {
	reg := prometheus.NewRegistry()
	svc := memlog.New(memlog.DefaultOptions())
	log := NewAppendMeter(reg).Stream("contacts", svc.Stream(eventlog.StreamContacts))
	must.MapContainsKey(t, gather(t, reg), "crocuscross_log_appends_total ok contacts")
	_, _ = log.Append(t.Context(), []byte("a"))
	svc.LoseResponses(1)
	_, _ = log.Append(t.Context(), []byte("b"))
	_, _ = log.Append(t.Context(), make([]byte, eventlog.MaxRecordBytes+1))
	svc.SetOutage(true)
	_, _ = log.Append(t.Context(), []byte("c"))
	v := gather(t, reg)
	for _, result := range []string{"ok", "unknown", "rejected", "unavailable"} {
		must.Eq(t, 1, v["crocuscross_log_appends_total "+result+" contacts"], must.Sprint(result))
	}
}
