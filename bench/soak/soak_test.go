package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
)

var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// at returns a time in seconds after begin.
func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

// threeVersions returns versions acknowledged at 0, 10 and 20 s: route a is added by the second and
// moved by the third, which drops route b.
func threeVersions() []version {
	return []version{
		{Number: 1, Sent: at(0), Acked: at(0), Routes: map[string][]string{"b": {"s"}}},
		{Number: 4, Sent: at(10), Acked: at(10), Routes: map[string][]string{"b": {"s"}, "a": {"s"}}},
		{Number: 5, Sent: at(20), Acked: at(20), Routes: map[string][]string{"a": {"t"}}},
	}
}

func probeAt(seconds float64, route string, how outcome, service string) probe {
	return probe{Host: "h", Route: route, Sent: at(seconds), Ended: at(seconds + 0.01), Outcome: how, Service: service}
}

func TestCheck(t *testing.T) {
	for name, tc := range map[string]struct {
		probes      []probe
		disruptions []disruption
		violations  int
	}{
		"an added route is refused in time":           {probes: []probe{probeAt(11.9, "a", refusedNoRoute, "")}},
		"an added route is refused too late":          {probes: []probe{probeAt(12.1, "a", refusedNoRoute, "")}, violations: 1},
		"a dropped route is served too late":          {probes: []probe{probeAt(22.1, "b", servedBy, "s")}, violations: 1},
		"a moved route is served by the old service":  {probes: []probe{probeAt(22.1, "a", servedBy, "s")}, violations: 1},
		"a moved route is served by the new service":  {probes: []probe{probeAt(22.1, "a", servedBy, "t")}},
		"a failure shows nothing":                     {probes: []probe{probeAt(22.1, "a", inconclusive, "")}},
		"the store was disrupted":                     {probes: []probe{probeAt(12.1, "a", refusedNoRoute, "")}, disruptions: []disruption{{From: at(8), To: at(9.2)}}},
		"the store was disrupted earlier":             {probes: []probe{probeAt(12.3, "a", refusedNoRoute, "")}, disruptions: []disruption{{From: at(8), To: at(9.2)}}, violations: 1},
		"the store was compacted":                     {probes: []probe{probeAt(12.1, "a", refusedNoRoute, "")}, disruptions: []disruption{{From: at(8), To: at(13), Binding: true}}, violations: 1},
		"another host was disrupted":                  {probes: []probe{probeAt(12.1, "a", refusedNoRoute, "")}, disruptions: []disruption{{Host: "i", From: at(8), To: at(13)}}, violations: 1},
		"the host is disrupted and has not recovered": {probes: []probe{probeAt(12.1, "a", refusedNoRoute, "")}, disruptions: []disruption{{Host: "h", From: at(8)}}},
		"a daemon goes back": {
			probes: []probe{probeAt(10.1, "a", servedBy, "s"), probeAt(10.5, "a", refusedNoRoute, "")}, violations: 1,
		},
		"a daemon goes back while the store is disrupted": {
			probes:      []probe{probeAt(10.1, "a", servedBy, "s"), probeAt(10.5, "a", refusedNoRoute, "")},
			disruptions: []disruption{{From: at(9), To: at(11)}}, violations: 1,
		},
		"two requests at once":       {probes: []probe{probeAt(10.1, "a", servedBy, "s"), probeAt(10.2, "a", refusedNoRoute, "")}},
		"a route that never existed": {probes: []probe{probeAt(5, "c", refusedNoRoute, "")}},
	} {
		t.Run(name, func(t *testing.T) {
			r := records{Start: begin, Versions: threeVersions(), Probes: tc.probes, Disruptions: tc.disruptions}
			must.Len(t, tc.violations, check(r, promises))
		})
	}
}

// A machine that halted for 10 s was taken for daemons that served an old version.
func TestHaltOfTheMachineIsADisruption(t *testing.T) {
	f := &fleet{}
	f.recordHalt(at(0), at(0.4))
	must.Len(t, 0, f.rec.Disruptions)
	f.recordHalt(at(8), at(18))
	r := records{Start: begin, Versions: threeVersions(), Disruptions: f.rec.Disruptions}
	r.Probes = []probe{probeAt(18.1, "a", refusedNoRoute, "")}
	must.Len(t, 0, check(r, promises))
	r.Probes = []probe{probeAt(21.1, "a", refusedNoRoute, "")}
	must.Len(t, 1, check(r, promises))
}

// The settings that the soak renders from the deployed template must be accepted by the daemon.
func TestRenderedSettingsAreValid(t *testing.T) {
	template, err := os.ReadFile("../../deploy/daemon.jsonc")
	must.NoError(t, err)
	h := options{zones: 4}.newHost(0)
	for _, first := range []bool{true, false} {
		f := &fleet{template: string(template), o: options{limitedAccounts: !first}}
		text, err := f.settings(h, first)
		must.NoError(t, err)
		s, err := settings.Parse("node.json", []byte(text))
		must.NoError(t, err)
		must.Eq(t, "host-1", s.Host)
		must.Eq(t, "http://127.160.200.1:8142", s.Platform.URL)
		must.Eq(t, "127.160.101.1:7380", s.Listen.AdvertisePeers)
		must.Less(t, promises.Apply, time.Duration(s.Spread.OwnReadAfter)*5/4)
		must.Eq(t, first, s.FirstStart == settings.On)
		must.Eq(t, first, s.Load.LinkPlacement == settings.On)
		must.Eq(t, !first, s.Load.ZoneSpill == settings.On)
	}
	_, err = render("{{unknown|other}}", nil)
	must.Error(t, err)
}

// buildPrograms builds the real programs and returns the flags that name them.
func buildPrograms(t *testing.T) []string {
	t.Helper()
	dir := t.TempDir()
	for _, program := range []string{"crocuscross", "standin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "../../cmd/"+program).CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	return []string{
		"--daemon", filepath.Join(dir, "crocuscross"), "--standin", filepath.Join(dir, "standin"),
		"--template", "../../deploy/daemon.jsonc", "--hosts", "8", "--duration", "25s", "--slot", "60",
	}
}

// A short run of the real programs, in which the store goes silent and hosts are cut off, paused,
// killed and restarted while the configuration changes.
func TestShortSoak(t *testing.T) {
	must.NoError(t, run(t.Context(), append(buildPrograms(t), "--seed", "12",
		"--kind", "store-silent", "--kind", "store-paused", "--kind", "cut", "--kind", "kill", "--kind", "pause")))
}

// A short run of the real programs, in which servers state limits and that they leave while daemons
// are killed, restarted, paused and cut off.
func TestShortSoakOfServerNotices(t *testing.T) {
	must.NoError(t, run(t.Context(), append(buildPrograms(t), "--seed", "1",
		"--kind", "server-limit", "--kind", "server-leaving", "--kind", "kill", "--kind", "terminate", "--kind", "cut", "--kind", "pause")))
}

// A short run with the load management of deployments whose accounts have limits. Guards against calls
// that the placement by zones or the reservation of slots keeps from servers while daemons are killed,
// restarted and cut off.
func TestShortSoakOfLoadManagement(t *testing.T) {
	must.NoError(t, run(t.Context(), append(buildPrograms(t), "--seed", "3", "--limited-accounts", "--link-mbps", "15",
		"--kind", "kill", "--kind", "terminate", "--kind", "cut", "--kind", "pause", "--kind", "server-leaving")))
}
