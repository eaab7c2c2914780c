package apikey_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/apikey"
)

// A request authenticates only if it states exactly one well-formed key.
func TestFromHeader(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   apikey.Credential
		key    string
	}{
		"absent":             {nil, apikey.Absent, ""},
		"present":            {[]string{"Bearer abc"}, apikey.Present, "abc"},
		"scheme in any case": {[]string{"bEARER abc"}, apikey.Present, "abc"},
		"several spaces":     {[]string{"Bearer   abc"}, apikey.Present, "abc"},
		"two fields":         {[]string{"Bearer abc", "Bearer abc"}, apikey.Malformed, ""},
		"two keys":           {[]string{"Bearer abc, Bearer abc"}, apikey.Malformed, ""},
		"other scheme":       {[]string{"Basic abc"}, apikey.Malformed, ""},
		"no key":             {[]string{"Bearer "}, apikey.Malformed, ""},
		"only spaces":        {[]string{"Bearer    "}, apikey.Malformed, ""},
		"no space":           {[]string{"Bearerabc"}, apikey.Malformed, ""},
		"empty":              {[]string{""}, apikey.Malformed, ""},
		"longest":            {[]string{"Bearer " + strings.Repeat("k", apikey.MaxBytes)}, apikey.Present, strings.Repeat("k", apikey.MaxBytes)},
		"too long":           {[]string{"Bearer " + strings.Repeat("k", apikey.MaxBytes+1)}, apikey.Malformed, ""},
		"not visible":        {[]string{"Bearer ab\x80c"}, apikey.Malformed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			if c.values != nil {
				h[apikey.HeaderAuthorization] = c.values
			}
			digest, got := apikey.FromHeader(h)
			must.Eq(t, c.want, got)
			if c.want == apikey.Present {
				must.Eq(t, apikey.DigestOf(c.key), digest)
			}
		})
	}
}

// Each request computes a digest.
func TestFromHeaderDoesNotAllocate(t *testing.T) {
	h := http.Header{apikey.HeaderAuthorization: {"Bearer " + apikey.Generate()}}
	must.Zero(t, testing.AllocsPerRun(100, func() { apikey.FromHeader(h) }))
}

func TestGenerateReturnsDistinctKeys(t *testing.T) {
	must.NotEq(t, apikey.Generate(), apikey.Generate())
}

func FuzzFromHeader(f *testing.F) {
	f.Add("Bearer abc")
	f.Add("bearer  abc ")
	f.Fuzz(func(t *testing.T, value string) {
		digest, got := apikey.FromHeader(http.Header{apikey.HeaderAuthorization: {value}})
		must.Eq(t, got == apikey.Present, digest != apikey.Digest{})
	})
}

func ExampleFromHeader() {
	h := http.Header{}
	h.Set("Authorization", "Bearer correct-horse")
	digest, credential := apikey.FromHeader(h)
	fmt.Println(credential == apikey.Present, digest.ID())
	// Output: true 9dca666eb547
}
