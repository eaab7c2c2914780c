package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// shorterLog holds nothing from an offset on that its readers have, and says so each time.
type shorterLog struct {
	eventlog.Log
	reads int
}

func (l *shorterLog) Read(_ context.Context, from eventlog.Offset, _ int, _ time.Duration) ([]eventlog.Record, error) {
	l.reads++
	time.Sleep(5 * time.Millisecond)
	return nil, &eventlog.TruncatedError{Asked: from, First: 1}
}

// Guards against asking a log without a pause that does not hold the offset asked for.
func TestReaderOfAShorterLogWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &shorterLog{}
		o := DefaultOptions()
		o.Log, o.LogKeepsEnd, o.Mode = log, true, ModeDirect
		s := New(o)
		st, _, err := fold.Apply(fold.Empty(), 1, document(t, 1, 10))
		must.NoError(t, err)
		s.Start(st)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		time.Sleep(10 * time.Second)
		stop()
		must.NoError(t, <-done)
		// The pauses grow to 2 s, with full jitter.
		must.Less(t, 100, log.reads)
	})
}
