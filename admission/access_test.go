package admission

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Only an authenticated caller or the local backend server is served, and a daemon that may lack the
// newest configuration denies no key.
func TestAccessRequest_Decide(t *testing.T) {
	for name, c := range map[string]struct {
		request AccessRequest
		want    Access
	}{
		"key in the configuration in force":         {AccessRequest{Key: KeyKnown, Origin: OriginCaller}, AccessGranted},
		"key only in the older one, still in force": {AccessRequest{Key: KeyKnown, Origin: OriginCaller, Stale: true}, AccessGranted},
		"key in none":                            {AccessRequest{Key: KeyUnknown, Origin: OriginCaller}, AccessDenied},
		"key perhaps in a newer one":             {AccessRequest{Key: KeyUnknown, Origin: OriginCaller, Stale: true}, AccessUndecided},
		"unknown key while a run is in progress": {AccessRequest{Key: KeyUnknown, Origin: OriginMaybeRun}, AccessDenied},
		"malformed":                              {AccessRequest{Key: KeyMalformed, Origin: OriginMaybeRun, Stale: true}, AccessDenied},
		"no key":                                 {AccessRequest{Origin: OriginCaller}, AccessDenied},
		"no key, stale":                          {AccessRequest{Origin: OriginCaller, Stale: true}, AccessUndecided},
		"no key, from a run":                     {AccessRequest{Origin: OriginMaybeRun}, AccessGranted},
		"no key, route of services":              {AccessRequest{Origin: OriginCaller, Nested: true}, AccessGranted},
		"unknown key, route of services":         {AccessRequest{Key: KeyUnknown, Origin: OriginCaller, Nested: true}, AccessDenied},
		"no key, runs not known yet":             {AccessRequest{Origin: OriginUnknown}, AccessUndecided},
		"public route without a key":             {AccessRequest{Public: true, Origin: OriginCaller}, AccessGranted},
		"public route with an unknown key":       {AccessRequest{Key: KeyUnknown, Public: true, Origin: OriginCaller}, AccessGranted},
		"public route with a malformed key":      {AccessRequest{Key: KeyMalformed, Public: true, Origin: OriginCaller}, AccessGranted},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.want, c.request.Decide()) })
	}
}
