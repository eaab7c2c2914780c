package operator_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/answer"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/fleet"
	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/quarantine"
	"github.com/crocuscross/crocuscross/snapshot"
)

// fakeFleet is a fleet of three daemons: one that answers, one that is suspect and unreachable, and
// one that is dead. It records the arguments of the last Converge and Drain.
type fakeFleet struct {
	target fleet.Target
	wait   time.Duration
	offset uint64
}

func (f *fakeFleet) Self() *peerpb.StatusAnswer { return &peerpb.StatusAnswer{Host: "a", Offset: 5} }

func (f *fakeFleet) Status(context.Context) []fleet.Report {
	return []fleet.Report{
		{Member: &membership.Member{Host: "a", Liveness: membership.Alive, Announcements: []membership.Announcement{{Service: "sign-feed", Slots: 10}}},
			Status: &peerpb.StatusAnswer{Offset: 5, KnownOffset: 7, BehindMs: 1200, StuckReason: "unknown rule"}},
		{Member: &membership.Member{Host: "b", Liveness: membership.Suspect, Offset: 6}, Err: errors.New("timeout")},
		{Member: &membership.Member{Host: "c", Liveness: membership.Dead, Offset: 4}},
	}
}

func (f *fakeFleet) Converge(ctx context.Context, offset uint64, start time.Time) fleet.Convergence {
	deadline, _ := ctx.Deadline()
	f.offset, f.wait = offset, deadline.Sub(start).Round(time.Second)
	return fleet.Convergence{Offset: offset, Converged: true, Time: 80 * time.Millisecond,
		Daemons: []fleet.Progress{{Host: "a", InForce: true, After: 80 * time.Millisecond}}}
}

func (f *fakeFleet) Drain(_ context.Context, target fleet.Target, _ string) ([]fleet.DrainResult, error) {
	f.target = target
	if target.Host == "x" {
		return nil, errkind.New(errkind.BadRequest, "no live daemon on host x")
	}
	return []fleet.DrainResult{{Host: "a"}, {Host: "b", Err: errors.New("timeout")}}, nil
}

// start serves the operator API of a daemon with a fakeFleet and an empty blackboard.
func start(t *testing.T) (*fakeFleet, *blackboard.Board, *httptest.Server) {
	f, board := &fakeFleet{}, &blackboard.Board{}
	srv := httptest.NewServer(operator.New(operator.Options{
		Board: board, Fleet: f, Logger: slog.New(slog.DiscardHandler),
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "up 1\n") }),
	}))
	t.Cleanup(srv.Close)
	return f, board, srv
}

func TestClientDecodesListenerResponses(t *testing.T) {
	f, board, srv := start(t)
	c := operator.NewClient(strings.TrimPrefix(srv.URL, "http://"))

	s, err := c.Status(t.Context())
	must.NoError(t, err)
	must.Eq(t, 7, s.HighestOffset)
	must.Eq(t, operator.Daemon{
		Host: "a", Liveness: "alive", Offset: 5, Lag: 2, BehindMs: 1200, Reason: "unknown rule",
		BackendServers: []operator.BackendServer{{Service: "sign-feed", Slots: 10}},
	}, s.Daemons[0])
	must.Eq(t, "does not answer: timeout", s.Daemons[1].Reason)
	must.Eq(t, 3, s.Daemons[2].Lag)

	_, err = c.State(t.Context())
	must.Eq(t, errkind.NotReady, errkind.Of(err))
	board.State.Store(fold.Empty())
	st, err := c.State(t.Context())
	must.NoError(t, err)
	_, err = fold.Decode(st)
	must.NoError(t, err)

	conv, err := c.Converge(t.Context(), 6, 4*time.Second, time.Minute)
	must.NoError(t, err)
	must.Eq(t, 6, f.offset)
	must.Eq(t, 64*time.Second, f.wait)
	must.Eq(t, 80, conv.ConvergenceMs)

	d, err := c.Drain(t.Context(), operator.DrainRequest{Zone: "z1"})
	must.NoError(t, err)
	must.Eq(t, fleet.Target{AvailabilityZone: "z1"}, f.target)
	must.Eq(t, []operator.DrainedDaemon{{Host: "a"}, {Host: "b", Error: "timeout"}}, d.Daemons)
	_, err = c.Drain(t.Context(), operator.DrainRequest{Host: "x"})
	must.EqError(t, err, "no live daemon on host x")

	srv.Close()
	_, err = c.Status(t.Context())
	must.Eq(t, errkind.Unreachable, errkind.Of(err))
}

func TestBadInputErrorKinds(t *testing.T) {
	_, _, srv := start(t)
	for _, c := range []struct {
		method, path, body string
		want               errkind.Kind
	}{
		{"GET", "/v1/nothing", "", errkind.NoRoute},
		{"DELETE", "/v1/drain", "", errkind.BadRequest},
		{"POST", "/v1/drain", "{", errkind.BadRequest},
		{"POST", "/v1/drain", `{"hots":"a"}`, errkind.BadRequest},
		{"POST", "/v1/drain", `{"host":"` + strings.Repeat("a", 5000) + `"}`, errkind.TooLarge},
		{"GET", "/v1/convergence", "", errkind.BadRequest},
		{"GET", "/v1/convergence?offset=0", "", errkind.BadRequest},
		{"GET", "/v1/convergence?offset=1&wait=2h", "", errkind.BadRequest},
		{"GET", "/v1/convergence?offset=1&elapsed=-1s", "", errkind.BadRequest},
	} {
		req, err := http.NewRequest(c.method, srv.URL+c.path, strings.NewReader(c.body))
		must.NoError(t, err)
		resp, err := srv.Client().Do(req)
		must.NoError(t, err)
		must.Eq(t, c.want, errkind.Of(answer.FromResponse(resp)), must.Sprintf("%s %s", c.method, c.path))
		_ = resp.Body.Close()
	}
}

func TestReadiness(t *testing.T) {
	_, board, srv := start(t)
	get := func(path string) (int, errkind.Kind) {
		resp, err := srv.Client().Get(srv.URL + path)
		must.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode, errkind.Of(answer.FromResponse(resp))
	}
	expect := func(path string, status int, kind errkind.Kind) {
		t.Helper()
		gotStatus, gotKind := get(path)
		must.Eq(t, status, gotStatus)
		must.Eq(t, kind, gotKind)
	}
	expect("/metrics", 200, errkind.None)
	expect("/healthz", 200, errkind.None)
	expect("/readyz", 503, errkind.NotReady)
	board.Lifecycle.Store(&blackboard.Lifecycle{Phase: blackboard.Serving})
	expect("/readyz", 503, errkind.NotReady)
	board.Snapshot.Store(&snapshot.Snapshot{Offset: 1})
	expect("/readyz", 200, errkind.None)
	board.Lifecycle.Store(&blackboard.Lifecycle{Phase: blackboard.Draining, Reason: "host drain"})
	expect("/readyz", 503, errkind.Draining)
	expect("/healthz", 200, errkind.None)
}

// A quarantined request is listed. After it is lifted, it is neither listed nor quarantined, and a
// second lift fails.
func TestListAndLiftQuarantine(t *testing.T) {
	ledger := quarantine.New(quarantine.DefaultOptions())
	srv := httptest.NewServer(operator.New(operator.Options{
		Board: &blackboard.Board{}, Fleet: &fakeFleet{}, Logger: slog.New(slog.DiscardHandler),
		Metrics: http.NotFoundHandler(), Quarantine: ledger,
	}))
	t.Cleanup(srv.Close)
	c := operator.NewClient(srv.URL)
	id := quarantine.IdentityOf(quarantine.Request{Method: http.MethodGet, Target: "/signs/deadly"})
	for range quarantine.DefaultOptions().CrashThreshold {
		ledger.RecordCrash([]quarantine.Identity{id})
	}
	list, err := c.Quarantine(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, list.Requests)
	must.Eq(t, id.String(), list.Requests[0].Identity)
	must.NoError(t, c.LiftQuarantine(t.Context(), id.String()))
	must.Eq(t, 0, ledger.QuarantinedFor(id))
	list, err = c.Quarantine(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, list.Requests)
	for _, wrong := range []string{id.String(), "no-identity"} {
		must.Eq(t, errkind.BadRequest, errkind.Of(c.LiftQuarantine(t.Context(), wrong)))
	}
}
