package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// minimal is a settings file with only the required fields.
const minimal = `{
	"host": "h1", "availability_zone": "boston", "region": "new-england",
	"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3", "backend": "127.0.0.1:4"},
	"platform": {"url": "http://127.0.0.1:9"},
}`

// minimalWith returns minimal with one more member.
func minimalWith(member string) string { return strings.TrimSuffix(minimal, "}") + member + "\n}" }

// parseProblems parses an invalid settings file and returns its problems.
func parseProblems(t *testing.T, raw string) []string {
	t.Helper()
	_, err := Parse("f", []byte(raw))
	var ps jsonc.Problems
	must.True(t, errors.As(err, &ps), must.Sprintf("got %v", err))
	return strings.Split(ps.Error(), "\n")
}

func TestMinimalFileKeepsTheDefaults(t *testing.T) {
	s, err := Parse("f", []byte(minimal))
	must.NoError(t, err)
	want := Default()
	must.Eq(t, 2*time.Second, time.Duration(want.Platform.AppendTimeout))
	want.Host, want.AvailabilityZone, want.Region = "h1", "boston", "new-england"
	want.Listen = Listen{Callers: "127.0.0.1:1", Peers: "127.0.0.1:2", Operators: "127.0.0.1:3", Backend: "127.0.0.1:4"}
	want.Platform.URL = "http://127.0.0.1:9"
	must.Eq(t, want, *s)
}

func TestOneProblem(t *testing.T) {
	for _, c := range []struct{ name, member, want string }{
		{"unknown field", `"hots": 1`, `f:5:1: hots: is not a field; did you mean "host"?`},
		{"field of another object", `"fan_out": 2`, `f:5:1: fan_out: is not a field; did you mean "spread.fan_out"?`},
		{"unknown far from all", `"drain": {"zzz": 1}`, `f:5:11: drain.zzz: is not a field; use one of timeout`},
		{"wrong type", `"spread": {"fan_out": "6"}`, `f:5:23: spread.fan_out: is a string; use a whole number from 1 to 64 (daemons)`},
		{"not whole", `"spread": {"fan_out": 6.5}`, `f:5:23: spread.fan_out: 6.5 is not a whole number in range; use a whole number from 1 to 64 (daemons)`},
		{"above", `"spread": {"fan_out": 65}`, `f:5:23: spread.fan_out: 65 is above the maximum; use a whole number from 1 to 64 (daemons)`},
		{"below", `"drain": {"timeout": "1ms"}`, `f:5:22: drain.timeout: "1ms" is below the minimum; use a duration from "100ms" to "1h"`},
		{"no unit", `"drain": {"timeout": "10"}`, `f:5:22: drain.timeout: "10" is not a duration; use a duration from "100ms" to "1h"`},
		{"null", `"contacts": null`, `f:5:13: contacts: is null; use an array of at most 64 addresses, such as ["10.1.2.3:7400"]`},
		{"host name", `"contacts": ["1.2.3.4:5", "example:5"]`, `f:5:27: contacts[1]: "example:5" is not an IP address and port; use an IP address and port, such as "10.1.2.3:7400"`},
		{"no port", `"contacts": ["1.2.3.4:0"]`, `f:5:14: contacts[0]: "1.2.3.4:0" names no port; use an IP address and port, such as "10.1.2.3:7400"`},
		{"any address", `"contacts": ["[::]:7400"]`, `f:5:14: contacts[0]: "[::]:7400" names no host; use an IP address and port, such as "10.1.2.3:7400"`},
		{"choice", `"log": {"level": "trace"}`, `f:5:18: log.level: "trace" is not known; use one of "info", "debug", "warn", "error"`},
		{"twice", `"log": {"level": "info", "level": "warn"}`, `f:5:26: log.level: is set twice; keep one`},
		{"not an object", `"log": 1`, `f:5:8: log: is a number; use an object`},
		{"exporter without endpoint", `"trace": {"exporter": "otlp"}`, `f:5:23: trace.exporter: otlp needs trace.endpoint; set trace.endpoint to the collector's URL`},
		{"timeout above interval", `"membership": {"probe_interval": "200ms"}`, `f:5:15: membership.probe_timeout: 300ms is not below membership.probe_interval; use less than 200ms`},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, []string{c.want}, parseProblems(t, minimalWith(c.member)))
		})
	}
}

// All problems of a file are reported at once, in the order of the file. Fixing one problem per
// restart would keep the host out of service for longer.
func TestAllProblemsAtOnce(t *testing.T) {
	got := parseProblems(t, `{
	"host": "a b",
	"region": 3,
	"listen": {"callers": "1.2.3.4:5", "peers": "1.2.3.4:5", "backend": "x"},
	"spread": {"fan_out": 0, "readers_per_zone": 17},
}`)
	for i, want := range []string{
		"f:1:1: availability_zone: is missing", "f:1:1: platform.url: is missing",
		"f:2:10: host: ", "f:3:12: region: ", "f:4:12: listen.operators: is missing",
		"f:4:46: listen.peers: is the same address as listen.callers", "f:4:70: listen.backend: ",
		"f:5:24: spread.fan_out: ", "f:5:47: spread.readers_per_zone: ",
	} {
		must.StrHasPrefix(t, want, got[i])
	}
	must.Len(t, 9, got)
}

// Every leaf field of the struct has one entry in Fields and vice versa. Otherwise, a field would
// have no bounds or could not be set.
func TestFieldsMatchTheStruct(t *testing.T) {
	var want, got []string
	var walk func(path string, typ reflect.Type)
	walk = func(path string, typ reflect.Type) {
		if typ.Kind() != reflect.Struct {
			want = append(want, path)
			return
		}
		for i := range typ.NumField() {
			walk(jsonc.Join(path, typ.Field(i).Tag.Get("json")), typ.Field(i).Type)
		}
	}
	walk("", reflect.TypeFor[Settings]())
	for _, f := range Fields {
		got = append(got, f.Path)
	}
	must.SliceContainsAll(t, want, got)
}

// The printed file can be parsed, has the default of every field that has one, and contains the
// descriptions of all fields.
func TestWriteDefaultsIsReadBack(t *testing.T) {
	var b bytes.Buffer
	must.NoError(t, WriteDefaults(&b))
	s, err := Parse("defaults", b.Bytes())
	must.NoError(t, err)
	want := Default()
	want.Host, want.AvailabilityZone, want.Region = s.Host, s.AvailabilityZone, s.Region
	want.Listen, want.Platform.URL = s.Listen, s.Platform.URL
	must.Eq(t, want, *s)
	for _, f := range Fields {
		must.StrContains(t, b.String(), f.Doc)
	}
}

func FuzzParse(f *testing.F) {
	var b bytes.Buffer
	must.NoError(f, WriteDefaults(&b))
	for _, seed := range []string{
		minimal, b.String(), "", "[]", "null", `{"listen": []}`, minimalWith(`"log": {"level": null}`),
		minimalWith(`"trace": {"ratio": 1e400}`), minimalWith(`"spread": {"fan_out": -0}`), minimalWith(`"drain": {"timeout": "+.5s"}`),
		minimalWith(`"requests": {"max_body_bytes": 99999999999999999999}`), minimalWith(`"contacts": ["[fe80::1%eth0]:1"]`),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse("f", raw)
		if err != nil {
			var ps jsonc.Problems
			must.True(t, errors.As(err, &ps))
			must.SliceNotEmpty(t, ps)
			return
		}
		again, err := json.Marshal(s)
		must.NoError(t, err)
		if s.Trace.Endpoint == "" {
			again = bytes.Replace(again, []byte(`"endpoint":"",`), nil, 1)
		}
		if s.Listen.AdvertisePeers == "" {
			again = bytes.Replace(again, []byte(`"advertise_peers":"",`), nil, 1)
		}
		if s.Listen.Metrics == "" {
			again = bytes.Replace(again, []byte(`"metrics":"",`), nil, 1)
		}
		if s.Backend.Service == "" {
			again = bytes.Replace(again, []byte(`"service":"",`), nil, 1)
		}
		if s.Backend.Address == "" {
			again = bytes.Replace(again, []byte(`"address":"",`), nil, 1)
		}
		if s.Contacts == nil {
			again = bytes.Replace(again, []byte(`"contacts":null`), []byte(`"contacts":[]`), 1)
		}
		if s.Seeds == nil {
			again = bytes.Replace(again, []byte(`"seeds":null`), []byte(`"seeds":[]`), 1)
		}
		back, err := Parse("again", again)
		must.NoError(t, err)
		must.Eq(t, s.Membership, back.Membership)
		must.Eq(t, s.Listen, back.Listen)
	})
}
