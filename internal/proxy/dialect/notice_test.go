package dialect

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

var noticeDialect = Dialect{RateLimit: "Rate-Limit", Leaving: "Leaving"}

func TestNotice(t *testing.T) {
	for name, test := range map[string]struct {
		header http.Header
		want   ServerNotice
	}{
		"nothing":       {http.Header{}, ServerNotice{}},
		"rate limit":    {http.Header{"Rate-Limit": {"2.5"}}, ServerNotice{Limited: true, RateLimit: 2.5}},
		"limit of zero": {http.Header{"Rate-Limit": {"0"}}, ServerNotice{Limited: true}},
		"leaving":       {http.Header{"Leaving": {"1"}}, ServerNotice{Leaving: true}},
		"not leaving":   {http.Header{"Leaving": {"0"}}, ServerNotice{}},
		"two limits":    {http.Header{"Rate-Limit": {"3", "2"}}, ServerNotice{Limited: true, RateLimit: 2}},
		"both":          {http.Header{"Rate-Limit": {"7"}, "Leaving": {"1"}}, ServerNotice{Limited: true, RateLimit: 7, Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := noticeDialect.Notice(test.header)
			must.NoError(t, err)
			must.Eq(t, test.want, got)
		})
	}
}

// Guards against a malformed header that sets or lifts a limit.
func TestNotice_RejectsInvalidRateLimit(t *testing.T) {
	for _, value := range []string{"", "x", "-1", "NaN", "Inf", "1e999", "2 per second"} {
		got, err := noticeDialect.Notice(http.Header{"Rate-Limit": {value}, "Leaving": {"1"}})
		must.ErrorContains(t, err, value)
		must.Eq(t, ServerNotice{Leaving: true}, got)
	}
}

func TestNotice_IgnoresHeadersWithoutName(t *testing.T) {
	got, err := Default().Notice(http.Header{"": {"1"}, "Rate-Limit": {"1"}})
	must.NoError(t, err)
	must.Eq(t, ServerNotice{}, got)
}

// Guards against a response with a valid and an invalid limit that is taken for one without.
func TestNotice_KeepsValidRateLimitBesideInvalidOne(t *testing.T) {
	got, err := noticeDialect.Notice(http.Header{"Rate-Limit": {"x", "4"}})
	must.Error(t, err)
	must.Eq(t, ServerNotice{Limited: true, RateLimit: 4}, got)
}
