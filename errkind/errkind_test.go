package errkind

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

func TestKinds_ResponsesAreConsistent(t *testing.T) {
	for _, k := range Kinds() {
		a := k.Response()
		must.Between(t, 400, a.Status, 599, must.Sprint(k))
		must.True(t, a.Run == NotRun || a.Run == RunUnknown, must.Sprint(k))
		// A Retry-After header is only valid for a call that may be retried.
		must.True(t, a.RetryAfter == 0 || a.Retry, must.Sprint(k))
	}
}

func TestKind_UnknownNameIsInternal(t *testing.T) {
	k := Kind("from_a_newer_daemon")
	must.False(t, k.Known())
	must.Eq(t, Internal.Response(), k.Response())
}

func TestOf_FindsKindInErrorChain(t *testing.T) {
	cause := errors.New("cause")
	err := fmt.Errorf("outer: %w", Wrap(Overloaded, cause, "inner"))
	must.Eq(t, Overloaded, Of(err))
	must.ErrorIs(t, err, cause)
	must.Eq(t, Internal, Of(cause))
	must.Eq(t, None, Of(nil))
}

func TestRetryAfterOf_ErrorOverridesTable(t *testing.T) {
	plain := New(Overloaded, "full")
	must.Eq(t, Overloaded.Response().RetryAfter, RetryAfterOf(plain))
	must.Eq(t, 7*time.Second, RetryAfterOf(plain.WithRetryAfter(7*time.Second)))
	must.Eq(t, Overloaded.Response().RetryAfter, RetryAfterOf(plain))
}

func TestWithRunUnknown_OverridesNotRun(t *testing.T) {
	err := New(RateLimited, "over the rate").WithRetryAfter(3 * time.Second)
	must.Eq(t, NotRun, RunOf(err))
	overridden := WithRunUnknown(err)
	must.Eq(t, RunUnknown, RunOf(overridden))
	must.Eq(t, RateLimited, Of(overridden))
	must.Eq(t, 3*time.Second, RetryAfterOf(overridden))
	must.NoError(t, WithRunUnknown(nil))
}
