package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/httplog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
)

// silentLog is a log behind the client of package httplog that swallows the calls that begin before
// returns.
type silentLog struct {
	eventlog.Log
	begins, returns time.Time
	// callTimeout is how long the client waits for a response, in addition to the wait of a read.
	callTimeout time.Duration
}

func (l *silentLog) swallow(ctx context.Context, wait time.Duration) error {
	if now := time.Now(); now.Before(l.begins) || !now.Before(l.returns) {
		return nil
	}
	select {
	case <-time.After(wait + l.callTimeout):
		return eventlog.ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *silentLog) Read(ctx context.Context, from eventlog.Offset, limit int, wait time.Duration) ([]eventlog.Record, error) {
	if err := l.swallow(ctx, wait); err != nil {
		return nil, err
	}
	return l.Log.Read(ctx, from, limit, wait)
}

func (l *silentLog) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	if err := l.swallow(ctx, 0); err != nil {
		return eventlog.Bounds{}, err
	}
	return l.Log.Bounds(ctx)
}

// On a platform whose log does not report restores, readers wait for a swallowed read far beyond the
// 4 s within which a change is to be in force everywhere.
func TestVersionAfterOutageOfOwnLogIsReadInTime(t *testing.T) {
	const inForce = 4 * time.Second
	worst := time.Duration(0)
	for begins := time.Duration(0); begins < 11*time.Second; begins += 500 * time.Millisecond {
		for length := 600 * time.Millisecond; length < 20*time.Second; length += time.Second {
			worst = max(worst, delayAfterSilence(t, begins, length))
		}
	}
	must.LessEq(t, inForce, worst)
}

// delayAfterSilence returns how long after the end of a silence of the log a reader receives the
// version that is published then.
func delayAfterSilence(t *testing.T, begins, length time.Duration) (delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		svc := memlog.New(memlog.DefaultOptions())
		log := &silentLog{Log: svc.Stream(eventlog.StreamConfig), callTimeout: httplog.DefaultOptions("").ReadTimeout}
		log.begins = time.Now().Add(begins)
		log.returns = log.begins.Add(length)
		o := DefaultOptions()
		o.Log, o.Mode = log, ModeDirect
		s := New(o)
		s.InstallState(fold.Empty())
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		time.Sleep(time.Until(log.returns))
		_, err := log.Log.Append(ctx, documentRecord(t, 1, 10))
		must.NoError(t, err)
		for s.State().Offset == 0 && time.Since(log.returns) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		delay = time.Since(log.returns)
		stop()
		must.NoError(t, <-done)
	})
	return delay
}
