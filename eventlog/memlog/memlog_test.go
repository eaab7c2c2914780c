package memlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/eventlog"
)

// A stream behaves like a slice with a first offset, for any sequence of appends and of truncations
// at either end.
func TestStreamMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		st := New(DefaultOptions()).Stream("s")
		first, model := eventlog.Offset(1), [][]byte{}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				data := rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "data")
				off, err := st.Append(ctx, data)
				must.NoError(t, err)
				must.Eq(t, first+eventlog.Offset(len(model)), off)
				model = append(model, data)
			},
			"cut": func(t *rapid.T) {
				n := rapid.IntRange(0, len(model)).Draw(t, "n")
				st.TruncateBefore(first + eventlog.Offset(n))
				first, model = first+eventlog.Offset(n), model[n:]
			},
			"truncate end": func(t *rapid.T) {
				n := rapid.IntRange(0, len(model)).Draw(t, "n")
				st.TruncateEnd(first + eventlog.Offset(n))
				model = model[:n]
			},
			"read": func(t *rapid.T) {
				n := rapid.IntRange(0, len(model)).Draw(t, "n")
				limit := rapid.IntRange(1, 4).Draw(t, "limit")
				recs, err := st.Read(ctx, first+eventlog.Offset(n), limit, 0)
				must.NoError(t, err)
				must.Len(t, min(limit, len(model)-n), recs)
				for i, r := range recs {
					must.Eq(t, eventlog.Record{Offset: first + eventlog.Offset(n+i), Data: model[n+i]}, r)
				}
			},
			"": func(t *rapid.T) {
				b, err := st.Bounds(ctx)
				must.NoError(t, err)
				must.Eq(t, eventlog.Bounds{First: first, End: first + eventlog.Offset(len(model))}, b)
				_, err = st.Read(ctx, first-1, 1, 0)
				var trunc *eventlog.TruncatedError
				must.True(t, errors.As(err, &trunc))
				must.Eq(t, first, trunc.First)
			},
		})
	})
}

// The caller receives ErrUnknown for a lost request, which had no effect, and for a lost response,
// whose append took effect. It cannot distinguish them. ErrUnavailable would assert that the record
// is not in the log.
func TestLostMessagesReturnUnknown(t *testing.T) {
	svc := New(DefaultOptions())
	st := svc.Stream("s")
	svc.LoseRequests(1)
	svc.LoseResponses(1)
	for range 2 {
		_, err := st.Append(t.Context(), []byte("x"))
		must.ErrorIs(t, err, eventlog.ErrUnknown)
		must.False(t, errors.Is(err, eventlog.ErrUnavailable))
	}
	off, err := st.Append(t.Context(), []byte("y"))
	must.NoError(t, err)
	must.Eq(t, 2, off)
}

// The caller of a held append times out with ErrUnknown. The append takes effect when the service
// is released.
func TestHeldAppendTakesEffectLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := New(DefaultOptions())
		st := svc.Stream("s")
		release := svc.Hold()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := st.Append(ctx, []byte("x"))
		must.ErrorIs(t, err, eventlog.ErrUnknown)
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Eq(t, 0, svc.Counters().Appends)
		must.Eq(t, 1, svc.Held())
		release()
		must.Eq(t, 1, svc.Counters().Appends)
	})
}

// A delayed append returns after the delay. If the caller times out first, the append takes effect
// nevertheless.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := New(DefaultOptions())
		svc.SetDelay(time.Minute)
		began := time.Now()
		_, err := svc.Stream("s").Append(t.Context(), []byte("x"))
		must.NoError(t, err)
		must.Eq(t, time.Minute, time.Since(began))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = svc.Stream("s").Append(ctx, []byte("y"))
		must.ErrorIs(t, err, eventlog.ErrUnknown)
		time.Sleep(time.Minute)
		must.Eq(t, 2, svc.Counters().Appends)
	})
}

// An outage ends reads that wait for records at once, and all requests fail until it is over.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := New(DefaultOptions())
		st := svc.Stream("s")
		waiting := make(chan error, 1)
		go func() {
			_, err := st.Read(t.Context(), 1, 1, time.Hour)
			waiting <- err
		}()
		synctest.Wait()
		began := time.Now()
		svc.SetOutage(true)
		must.ErrorIs(t, <-waiting, eventlog.ErrUnavailable)
		must.Eq(t, 0, time.Since(began))
		_, err := st.Append(t.Context(), nil)
		must.ErrorIs(t, err, eventlog.ErrUnavailable)
		must.False(t, errors.Is(err, eventlog.ErrUnknown))
		svc.SetOutage(false)
		_, err = st.Append(t.Context(), nil)
		must.NoError(t, err)
	})
}

// A read returns nothing when its wait is over, or returns as soon as a record is appended.
func TestReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := New(DefaultOptions()).Stream("s")
		recs, err := st.Read(t.Context(), 1, 1, time.Minute)
		must.NoError(t, err)
		must.SliceEmpty(t, recs)
		time.AfterFunc(time.Second, func() { _, _ = st.Append(context.Background(), []byte("x")) })
		began := time.Now()
		recs, err = st.Read(t.Context(), 1, 1, time.Minute)
		must.NoError(t, err)
		must.Len(t, 1, recs)
		must.Eq(t, time.Second, time.Since(began))
	})
}

// Records are dropped when their retention time is over. Appends above the rate limit fail with
// ErrUnavailable, not with ErrUnknown.
func TestRetentionAndRate(t *testing.T) {
	now := time.Now()
	opts := DefaultOptions()
	opts.Now = func() time.Time { return now }
	opts.RetainFor = time.Minute
	opts.MaxAppendsPerSecond = 2
	st := New(opts).Stream("s")
	for range 2 {
		_, err := st.Append(t.Context(), []byte("x"))
		must.NoError(t, err)
	}
	_, err := st.Append(t.Context(), []byte("x"))
	must.ErrorIs(t, err, eventlog.ErrUnavailable)
	now = now.Add(30 * time.Second)
	_, err = st.Append(t.Context(), []byte("x"))
	must.NoError(t, err)
	now = now.Add(30 * time.Second)
	b, err := st.Bounds(t.Context())
	must.NoError(t, err)
	must.Eq(t, eventlog.Bounds{First: 3, End: 4}, b)
}

func TestRequestLimits(t *testing.T) {
	opts := DefaultOptions()
	opts.MaxReadBytes = 10
	st := New(opts).Stream("s")
	var rejected *eventlog.RejectedError
	_, err := st.Append(t.Context(), make([]byte, eventlog.MaxRecordBytes+1))
	must.True(t, errors.As(err, &rejected))
	must.ErrorIs(t, err, eventlog.ErrUnavailable)
	_, err = st.Read(t.Context(), 1, 0, 0)
	must.True(t, errors.As(err, &rejected))
	for range 3 {
		_, err = st.Append(t.Context(), make([]byte, 6))
		must.NoError(t, err)
	}
	recs, err := st.Read(t.Context(), 1, 3, 0)
	must.NoError(t, err)
	must.Len(t, 1, recs)
}
