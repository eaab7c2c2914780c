package jsonc_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/jsonc"
)

func TestSyntaxProblemPosition(t *testing.T) {
	for _, c := range []struct{ name, raw, want string }{
		{"missing comma", "{\n  \"a\": 1\n  \"b\": 2\n}", "f:3:3: "},
		{"column in characters", "{\"ü\": §}", "f:1:7: "},
		{"empty", "", "f:1:1: "},
		{"after the value", "{}\n{}", "f:2:1: "},
		{"not UTF-8", "{\n \"\xff\"}", "f:2:3: the file is not UTF-8"},
		{"deep", strings.Repeat("[", 100_000), "f:1:1: the file is nested too deeply"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := jsonc.Parse("f", []byte(c.raw))
			must.StrHasPrefix(t, c.want, err.Error())
			var ps jsonc.Problems
			must.True(t, errors.As(err, &ps))
			must.Len(t, 1, ps)
		})
	}
}

func TestProblemAtAValue(t *testing.T) {
	d, err := jsonc.Parse("f", []byte("{ // first\n\t\"a\": [1,\n  /* two */ 2],}"))
	must.NoError(t, err)
	members, ok := jsonc.Members(d.Root)
	must.True(t, ok)
	must.Len(t, 1, members)
	elements, ok := jsonc.Elements(members[0].Value)
	must.True(t, ok)
	must.EqError(t, d.Problem(elements[1], "a[1]", "is 2", "use 1"), "f:3:13: a[1]: is 2; use 1")
	must.EqJSON(t, `{"a":[1,2]}`, string(jsonc.Standard(d.Root)))
}

func TestSuggest(t *testing.T) {
	names := []string{"host", "region", "listen", "append_timeout", "url"}
	for misspelled, want := range map[string]string{
		"hots": "host", "Region": "region", "append_timout": "append_timeout", "uri": "url",
		"x": "", "platform": "", "timeout": "",
	} {
		got, ok := jsonc.Suggest(misspelled, names)
		must.Eq(t, want, got, must.Sprintf("for %q", misspelled))
		must.Eq(t, want != "", ok)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "{}", "[1,]", "{\"a\": /* c */ tru", "{\"a\":\"\\u00", "\xff", "{{{{", "// only\n", "1e999\n2"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := jsonc.Parse("f", raw)
		if err != nil {
			var ps jsonc.Problems
			must.True(t, errors.As(err, &ps))
			must.Len(t, 1, ps)
			must.Positive(t, ps[0].Line)
			must.Positive(t, ps[0].Column)
			return
		}
		must.ValidJSONBytes(t, jsonc.Standard(d.Root))
	})
}
