package bundle

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/internal/jsonc"
)

const validFile = `{
	"author": "jane", // on call
	"changes": [
		{"service": {"name": "sign-feed"}},
		{"route": {"name": "signs", "path_prefix": "/signs/", "service": "sign-feed"}, "replaces": 12},
		{"contract": {"customer": "garage-7", "rate_per_second": 2.5, "max_wait_ms": 800, "rules": [
			{"method": "POST", "path_prefix": "/holds", "non_idempotent": true},
		]}, "replaces": 0},
		{"delete": {"contract": "garage-8"}, "replaces": 9},
	],
}`

func TestParseValidFile(t *testing.T) {
	f, err := Parse("f", []byte(validFile))
	must.NoError(t, err)
	must.Eq(t, "jane", f.Author)
	must.Len(t, 4, f.Changes)
	must.False(t, f.Changes[0].NamesRevision)
	must.True(t, f.Changes[2].NamesRevision)
	must.Eq(t, 12, f.Changes[1].GetReplaces())
	must.Eq(t, 2.5, f.Changes[2].GetResource().GetContract().GetRatePerSecond())
	must.True(t, f.Changes[2].GetResource().GetContract().GetRules()[0].GetNonIdempotent())
	must.True(t, f.Changes[3].GetDelete())
	must.Eq(t, "garage-8", f.Changes[3].GetResource().GetContract().GetCustomer())
}

func TestOneProblem(t *testing.T) {
	for _, c := range []struct{ name, change, want string }{
		{"misspelled resource", `{"rout": {}}`, `f:2:2: changes[0].rout: is not a field; did you mean "route"?`},
		{"misspelled field", `{"service": {"nam": "a"}}`, `f:2:14: changes[0].service.nam: is not a field; did you mean "name"?`},
		{"two resources", `{"service": {"name": "a"}, "delete": {"route": "b"}}`, `f:2:1: changes[0]: names 2 resources; use one of contract, route, service or delete`},
		{"none", `{"replaces": 1}`, `f:2:1: changes[0]: names 0 resources; use one of contract, route, service or delete`},
		{"wrong type", `{"service": {"name": 1}}`, `f:2:22: changes[0].service.name: is a number; use a string`},
		{"negative", `{"contract": {"max_wait_ms": -1}}`, `f:2:30: changes[0].contract.max_wait_ms: -1 is out of range; use a whole number from 0 to 4294967295`},
		{"number as text", `{"contract": {"rate_per_second": "5"}}`, `f:2:34: changes[0].contract.rate_per_second: is a string; use a number`},
		{"rule", `{"contract": {"rules": [{"non_idempotent": 1}]}}`, `f:2:44: changes[0].contract.rules[0].non_idempotent: is a number; use true or false`},
		{"twice", `{"service": {"name": "a", "name": "b"}}`, `f:2:27: changes[0].service.name: is set twice; keep one`},
		{"revision", `{"service": {"name": "a"}, "replaces": 1.5}`, `f:2:40: changes[0].replaces: 1.5 is out of range; use the revision that is replaced, or 0 for a resource that must not exist yet`},
		{"changed twice", `{"service": {"name": "a"}}, {"service": {"name": "a"}}`, `f:2:29: changes[1]: service a is changed twice; keep one change of it`},
		{"rejected by every state", `{"route": {"name": "r", "path_prefix": "x", "service": "s"}}`, `f:2:1: changes[0]: route r: path_prefix must start with / and have at most 1024 bytes`},
		{"no name to delete", `{"delete": {}}`, `f:2:12: changes[0].delete: names 0 resources; use one, such as {"route": "name"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(`{"changes":[`+"\n"+c.change+"]}"))
			must.EqError(t, err, c.want)
		})
	}
}

func TestAllProblemsAtOnce(t *testing.T) {
	_, err := Parse("f", []byte("{\"autor\": 1, \"changes\": [\n{\"service\": {}},\n3, {\"route\": []}]}"))
	var ps jsonc.Problems
	must.True(t, errors.As(err, &ps))
	must.Len(t, 4, ps, must.Sprint(err))
}

// A resource with a field of a kind that parser.value does not support could not be published.
func TestEveryFieldKindIsKnown(t *testing.T) {
	known := map[protoreflect.Kind]bool{
		protoreflect.MessageKind: true, protoreflect.StringKind: true, protoreflect.BoolKind: true,
		protoreflect.DoubleKind: true, protoreflect.Uint32Kind: true,
	}
	var walk func(protoreflect.MessageDescriptor)
	walk = func(d protoreflect.MessageDescriptor) {
		for i := range d.Fields().Len() {
			f := d.Fields().Get(i)
			must.True(t, known[f.Kind()], must.Sprint(f.FullName()))
			if f.Message() != nil {
				walk(f.Message())
			}
		}
	}
	// API keys are resources as well, but no file contains them.
	for _, name := range resourceFields {
		walk((&configpb.Resource{}).ProtoReflect().Descriptor().Fields().ByTextName(name).Message())
	}
}

// A file must not name an API key: it would have to contain the digest of a key that no one knows.
func TestAPIKeyIsNoFieldOfAFile(t *testing.T) {
	_, err := Parse("f", []byte(`{"changes":[{"api_key":{"id":"k","customer":"c"}}]}`))
	must.ErrorContains(t, err, "api_key: is not a field")
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{validFile, "", "{}", `{"changes":[{"delete":{"route":"r"}}]}`, `{"changes":[{"contract":{"rate_per_second":1e999}}]}`,
		`{"changes":[{"contract":{"customer":"c","rate_per_second":1,"max_wait_ms":1,"rules":[{"path_prefix":"/"}]}}]}`,
		`{"changes":[{"service":{"name":"\ud800"}}]}`, strings.Repeat("[", 70)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := Parse("f", raw)
		var ps jsonc.Problems
		if err != nil {
			must.True(t, errors.As(err, &ps))
			must.SliceNotEmpty(t, ps)
			return
		}
		for _, c := range file.Changes {
			must.NotNil(t, c.GetResource().GetKind())
		}
	})
}
