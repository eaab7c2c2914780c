package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/checkpoint"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/cli"
	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/configlog"
	"github.com/crocuscross/crocuscross/internal/fleet"
	"github.com/crocuscross/crocuscross/internal/operator"
	"github.com/crocuscross/crocuscross/internal/standin/logserver"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
)

const examples = "../../examples/"

// run runs one command line and returns its exit status and output.
func run(t *testing.T, args ...string) (status command.Status, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	status = cli.Run(t.Context(), args, &out, &errOut)
	return status, out.String(), errOut.String()
}

// expect runs one command line, checks its exit status and returns its stdout and stderr.
func expect(t *testing.T, want command.Status, args ...string) string {
	t.Helper()
	status, out, errOut := run(t, args...)
	must.Eq(t, want, status, must.Sprintf("%v\n%s%s", args, out, errOut))
	return out + errOut
}

func startPlatform(t *testing.T) (*memlog.Service, string) {
	log := memlog.New(memlog.DefaultOptions())
	srv := httptest.NewServer(logserver.New(log))
	t.Cleanup(srv.Close)
	return log, srv.URL
}

// fixedFleet reports one daemon that is up to date and one that lags. Versions up to offset converge
// at once. A drain fails if it names an availability zone.
type fixedFleet struct{ offset uint64 }

func (f *fixedFleet) Self() *peerpb.StatusAnswer { return &peerpb.StatusAnswer{Host: "a"} }

func (f *fixedFleet) Status(context.Context) []fleet.Report {
	return []fleet.Report{
		{Member: &membership.Member{Host: "a", Liveness: membership.Alive}, Status: &peerpb.StatusAnswer{Phase: "serving", Offset: 2}},
		{Member: &membership.Member{Host: "b", Liveness: membership.Alive},
			Status: &peerpb.StatusAnswer{Phase: "serving", Offset: 1, BehindMs: 12_345, LogError: "down", LogErrorAgeMs: 12_000}},
	}
}

func (f *fixedFleet) Converge(_ context.Context, offset uint64, _ time.Time) fleet.Convergence {
	return fleet.Convergence{Offset: offset, Converged: offset <= f.offset, Time: 80 * time.Millisecond,
		Daemons: []fleet.Progress{{Host: "a", InForce: offset <= f.offset, Reason: "has not got it yet"}}}
}

func (f *fixedFleet) Drain(_ context.Context, target fleet.Target, _ string) ([]fleet.DrainResult, error) {
	r := fleet.DrainResult{Host: target.Host + target.AvailabilityZone}
	if target.AvailabilityZone != "" {
		r.Err = errors.New("timeout")
	}
	return []fleet.DrainResult{r}, nil
}

func startDaemon(t *testing.T, f operator.Fleet) string {
	return startDaemonWith(t, f, &blackboard.Board{})
}

func startDaemonWith(t *testing.T, f operator.Fleet, board *blackboard.Board) string {
	srv := httptest.NewServer(operator.New(operator.Options{
		Board: board, Fleet: f, Logger: slog.New(slog.DiscardHandler), Metrics: http.NotFoundHandler(),
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// The files of both example deployments must be accepted unchanged, one after the other. The list and
// the history must then show the resulting version.
func TestExamplesArePublished(t *testing.T) {
	for _, name := range []string{"association", "waterrecords"} {
		t.Run(name, func(t *testing.T) {
			_, url := startPlatform(t)
			for i, file := range []string{"services", "contracts", "revision"} {
				out := expect(t, command.StatusOK, "contract", "publish", examples+name+"/"+file+".jsonc", "--platform", url, "-o", "json")
				var r struct {
					Outcome  string
					Revision int
				}
				must.NoError(t, json.Unmarshal([]byte(out), &r))
				must.Eq(t, "accepted", r.Outcome)
				must.Eq(t, i+1, r.Revision)
			}
			out := expect(t, command.StatusOK, "contract", "list", "--platform", url)
			must.StrContains(t, out, "version 3")
			out = expect(t, command.StatusOK, "contract", "history", "--platform", url, "--limit", "1")
			must.StrContains(t, out, "2 to 3")
		})
	}
}

func TestExitStatuses(t *testing.T) {
	log, url := startPlatform(t)
	addr := startDaemon(t, &fixedFleet{offset: 2})
	services, contracts, revision := examples+"association/services.jsonc", examples+"association/contracts.jsonc", examples+"association/revision.jsonc"
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	must.NoError(t, os.WriteFile(bad, []byte("{\"autor\": \"x\",\n \"changes\": []}"), 0o600))

	expect(t, command.StatusOK, "contract", "publish", services, "--platform", url)
	out := expect(t, command.StatusOK, "contract", "publish", contracts, "--platform", url, "--daemon", addr, "--wait")
	must.StrContains(t, out, "in force on all 1 live daemons 80 ms after")
	out = expect(t, command.StatusRejected, "contract", "publish", contracts, "--platform", url, "--replaces", "0")
	must.StrContains(t, out, "contract harbor-garage is at revision 2")
	out = expect(t, command.StatusNotConverged, "contract", "publish", revision, "--platform", url, "--daemon", addr, "--wait=10ms")
	must.StrContains(t, out, "has not got it yet")

	out = expect(t, command.StatusBadInput, "contract", "validate", bad)
	must.StrContains(t, out, `bad.jsonc:1:2: autor: is not a field; did you mean "author"?`)
	must.StrContains(t, out, "bad.jsonc:2:13: changes: has 0 changes")
	expect(t, command.StatusBadInput, "contract", "publish", bad, "--platform", url)
	expect(t, command.StatusBadInput, "contract", "publish", services)
	expect(t, command.StatusBadInput, "contract", "publish", services, "--platform", url, "--replaces", "x")
	expect(t, command.StatusBadInput, "contract", "publish", services, "--platform", url, "--wait")
	expect(t, command.StatusBadInput, "settings", "check", bad)
	expect(t, command.StatusBadInput, "daemon", "--settings", bad)
	expect(t, command.StatusBadInput, "nonsense")
	expect(t, command.StatusBadInput, "status")

	expect(t, command.StatusFailed, "contract", "get", "nobody", "--platform", url)
	expect(t, command.StatusFailed, "status", "--daemon", "127.0.0.1:1")
	log.SetOutage(true)
	out = expect(t, command.StatusFailed, "contract", "publish", revision, "--platform", url, "--timeout", "10ms")
	must.StrContains(t, out, "nothing was published")
}

// The platform loses the append requests until --timeout expires, so the outcome is unknown. The exit
// status must say so and the output must contain the publish ID; the repeat with this ID must return
// the outcome.
func TestUnknownOutcomePrintsPublishID(t *testing.T) {
	log, url := startPlatform(t)
	log.LoseRequests(1000)
	publish := []string{"contract", "publish", examples + "association/services.jsonc", "--platform", url, "--timeout", "1s"}
	out := expect(t, command.StatusUnknown, append(publish, "--publish-id", "p1")...)
	must.StrContains(t, out, "--publish-id p1")
	log.LoseRequests(0)
	out = expect(t, command.StatusOK, "contract", "publish", examples+"association/services.jsonc", "--platform", url, "--publish-id", "p1")
	must.StrContains(t, out, "accepted: revision 1")
}

func TestStatusAndDrain(t *testing.T) {
	addr := startDaemon(t, &fixedFleet{})
	out := expect(t, command.StatusOK, "status", "--daemon", addr, "--lagging")
	must.StrContains(t, out, "version 2, in force on 1 of 2 daemons")
	must.StrContains(t, out, "cannot read the platform's log for 12s: down")
	must.StrNotContains(t, out, "\na ")
	must.StrContains(t, expect(t, command.StatusOK, "drain", "host", "a", "--daemon", addr), "a: draining")
	must.StrContains(t, expect(t, command.StatusFailed, "drain", "zone", "z", "--daemon", addr), "z: not asked: timeout")
}

// The help of each command must contain an example.
func TestHelpHasAnExample(t *testing.T) {
	for _, c := range []string{
		"daemon", "contract validate", "contract publish", "contract get", "contract list", "contract history",
		"contract key add", "contract key list", "contract key revoke",
		"status", "drain host", "drain zone", "quarantine list", "quarantine lift", "settings check", "settings defaults", "settings example", "version",
	} {
		out := expect(t, command.StatusOK, append(strings.Fields(c), "--help")...)
		must.StrContains(t, out, "Example:\n  crocuscross "+c)
	}
	must.StrContains(t, expect(t, command.StatusOK, "--help"), "Exit status:")
}

// The first records of the log have expired. The commands must start from a daemon's state or from a
// checkpoint, and the history must show the remaining records. With neither, the error must say that
// no checkpoint covers the expired records.
func TestExpiredRecordsAreCoveredByACheckpoint(t *testing.T) {
	log, url := startPlatform(t)
	for _, file := range []string{"services", "contracts"} {
		expect(t, command.StatusOK, "contract", "publish", examples+"association/"+file+".jsonc", "--platform", url)
	}
	config := log.Stream(eventlog.StreamConfig)
	st, err := (&configlog.Reader{Log: config, Checkpoint: func(context.Context) (*fold.State, error) { return fold.Empty(), nil }}).Load(t.Context())
	must.NoError(t, err)
	config.TruncateBefore(2)
	out := expect(t, command.StatusFailed, "contract", "list", "--platform", url)
	must.StrContains(t, out, "no checkpoint covers it")

	board := &blackboard.Board{}
	board.State.Store(st)
	addr := startDaemonWith(t, &fixedFleet{}, board)
	out = expect(t, command.StatusOK, "contract", "publish", examples+"association/revision.jsonc", "--platform", url, "--daemon", addr)
	must.StrContains(t, out, "accepted: revision 3")

	w := checkpoint.NewWriter(log.Stream(eventlog.StreamCheckpoints), "host", checkpoint.DefaultWriterOptions())
	must.NoError(t, w.Write(t.Context(), st))
	out = expect(t, command.StatusOK, "contract", "publish", examples+"association/revision.jsonc", "--platform", url)
	must.StrContains(t, out, "accepted: revision 4")
	out = expect(t, command.StatusOK, "contract", "history", "--platform", url)
	must.StrContains(t, out, "3 to 4")
}

// A key is generated, listed by its ID, rotated and revoked. Only the output of the command that adds
// it contains the key.
func TestAPIKeys(t *testing.T) {
	_, url := startPlatform(t)
	publish := func(file string) {
		expect(t, command.StatusOK, "contract", "publish", examples+"association/"+file+".jsonc", "--platform", url)
	}
	publish("services")
	publish("contracts")
	type keyOutput struct{ ID, Customer, Key, Label string }
	add := func() (k keyOutput) {
		out := expect(t, command.StatusOK, "contract", "key", "add", "harbor-garage", "--label", "billing", "--author", "jane", "--platform", url, "-o", "json")
		must.NoError(t, json.Unmarshal([]byte(out), &k))
		return k
	}
	list := func() (keys []keyOutput) {
		out := expect(t, command.StatusOK, "contract", "key", "list", "harbor-garage", "--platform", url, "-o", "json")
		must.NoError(t, json.Unmarshal([]byte(out), &keys))
		return keys
	}
	first, second := add(), add()
	must.NotEq(t, first.Key, second.Key)
	must.Len(t, 2, list())
	publish("revision")
	must.Len(t, 2, list(), must.Sprint("a revised contract keeps its keys"))

	expect(t, command.StatusOK, "contract", "key", "revoke", first.ID, "--author", "jane", "--platform", url)
	must.Eq(t, []keyOutput{{ID: second.ID, Customer: "harbor-garage", Label: "billing"}}, list())
	out := expect(t, command.StatusRejected, "contract", "key", "revoke", first.ID, "--author", "jane", "--platform", url)
	must.StrContains(t, out, "does not exist")
	out = expect(t, command.StatusRejected, "contract", "key", "add", "nobody", "--author", "jane", "--platform", url)
	must.StrContains(t, out, "needs contract nobody")
	must.StrNotContains(t, out, "ccx_")
	expect(t, command.StatusBadInput, "contract", "key", "add", "harbor-garage", "--platform", url)
	expect(t, command.StatusBadInput, "contract", "key", "add", "harbor-garage", "--author", "jane", "--platform", url, "--wait")

	for _, args := range [][]string{{"contract", "history"}, {"contract", "key", "list"}, {"contract", "list", "-o", "json"}} {
		out := expect(t, command.StatusOK, append(args, "--platform", url)...)
		must.StrNotContains(t, out, first.Key)
		must.StrNotContains(t, out, second.Key)
	}
}
