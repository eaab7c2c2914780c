package loop

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

func waitDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestRun_EndOfContextIsNoError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.NoError(t, Run(ctx, waitDone, waitDone))
}

func TestRun_FailureEndsTheOthers(t *testing.T) {
	failure := errors.New("failure")
	fails := func(context.Context) error { return failure }
	must.ErrorIs(t, Run(t.Context(), waitDone, fails, waitDone), failure)
}
