package publish_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/bundle"
	"github.com/crocuscross/crocuscross/internal/configlog"
	"github.com/crocuscross/crocuscross/internal/publish"
)

const timeout = 3 * time.Second

// emptyCheckpoint is a checkpoint source that returns the empty state.
func emptyCheckpoint(context.Context) (*fold.State, error) { return fold.Empty(), nil }

// newPublisher returns a Publisher for log without a VerdictSource.
func newPublisher(log eventlog.Log) *publish.Publisher {
	return &publish.Publisher{Reader: &configlog.Reader{Log: log, Checkpoint: emptyCheckpoint}}
}

// newRequest returns a request that publishes one contract and replaces its latest revision.
func newRequest(id, author string) publish.Request {
	f, err := bundle.Parse("f", []byte(`{"changes": [{"contract": {"customer": "c", "rate_per_second": 1, "max_wait_ms": 100}}]}`))
	if err != nil {
		panic(err)
	}
	return publish.Request{File: f, Author: author, PublishID: id, Revisions: publish.Revisions{Auto: true}}
}

// hookLog calls before once, before the first append.
type hookLog struct {
	eventlog.Log
	before func()
}

func (l *hookLog) Append(ctx context.Context, data []byte) (eventlog.Offset, error) {
	if before := l.before; before != nil {
		l.before = nil
		before()
	}
	return l.Log.Append(ctx, data)
}

// runPublish runs f in a synctest bubble, so that waits take no real time.
func runPublish(t *testing.T, f func(t *testing.T, ctx context.Context, svc *memlog.Service)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		f(t, ctx, memlog.New(memlog.DefaultOptions()))
	})
}

func TestPublish_AcceptedThenRevised(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		p := newPublisher(svc.Stream("config"))
		for revision := uint64(1); revision <= 3; revision++ {
			r, err := p.Publish(ctx, newRequest(publish.NewPublishID(), "jane"))
			must.NoError(t, err)
			must.Eq(t, publish.Accepted, r.Outcome)
			must.Eq(t, revision, r.Revision)
			must.False(t, r.Began.IsZero())
		}
		fixed := newRequest("x", "jane")
		fixed.Revisions = publish.Revisions{Fixed: 2}
		r, err := p.Publish(ctx, fixed)
		must.NoError(t, err)
		must.Eq(t, publish.Rejected, r.Outcome)
		must.StrContains(t, r.Reasons[0], "contract c is at revision 3 by ")
		must.Eq(t, 3, svc.Counters().Appends)
	})
}

// The append takes effect, but its response is lost. The publisher finds its record in the log,
// returns accepted and does not append again.
func TestPublish_FindsRecordAfterLostResponse(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		svc.LoseResponses(1)
		r, err := newPublisher(svc.Stream("config")).Publish(ctx, newRequest("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
		must.Eq(t, 1, r.Revision)
		must.Eq(t, 1, svc.Counters().Appends)
	})
}

// The append request is lost, which the publisher cannot distinguish from a lost response. It
// appends again with the same publish ID and returns accepted.
func TestPublish_RepeatsLostRequest(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		svc.LoseRequests(2)
		r, err := newPublisher(svc.Stream("config")).Publish(ctx, newRequest("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
		must.Eq(t, 1, svc.Counters().Appends)
	})
}

// The append stalls in the platform until the operator's time is up. The outcome is unknown,
// because the record takes effect later. A repeat with the same publish ID returns the first
// verdict and changes nothing.
func TestPublish_StalledAppendIsUnknownAndRepeatIsSafe(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		var release func()
		log := &hookLog{svc.Stream("config"), func() { release = svc.Hold() }}
		r, err := newPublisher(log).Publish(ctx, newRequest("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Unknown, r.Outcome)
		must.SliceNotEmpty(t, r.Reasons)
		release()
		must.Eq(t, 1, svc.Counters().Appends)

		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		again := newRequest("id", "jane")
		again.Repeat = true
		r, err = newPublisher(svc.Stream("config")).Publish(ctx, again)
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
		must.Eq(t, 1, r.Revision)
		must.Eq(t, 1, svc.Counters().Appends)
	})
}

// A repeat that the current state rejects is still appended. The append of the earlier run may
// arrive later. Without a verdict on its ID, the publisher would return rejected for changes that
// then come into force.
func TestPublish_RepeatIsDecidedByLog(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		req := newRequest("id", "jane")
		req.Revisions = publish.Revisions{Fixed: 7}
		req.Repeat = true
		r, err := newPublisher(svc.Stream("config")).Publish(ctx, req)
		must.NoError(t, err)
		must.Eq(t, publish.Rejected, r.Outcome)
		must.Eq(t, 1, r.Revision)
	})
}

// The log is unavailable for all of the operator's time, or from the append on. Publish returns an
// error that says that nothing was published, which is certain because each append was refused.
func TestPublish_OutageIsNotUnknown(t *testing.T) {
	for name, downFromTheStart := range map[string]bool{"from the start": true, "from the append on": false} {
		t.Run(name, func(t *testing.T) {
			runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
				svc.SetOutage(downFromTheStart)
				log := &hookLog{svc.Stream("config"), func() { svc.SetOutage(true) }}
				_, err := newPublisher(log).Publish(ctx, newRequest("id", "jane"))
				must.ErrorContains(t, err, "nothing was published")
				must.True(t, errors.Is(err, eventlog.ErrUnavailable))
				must.Zero(t, svc.Counters().Appends)
			})
		})
	}
}

// A publish that begins during an outage of the log continues when the log is available again.
func TestPublish_ContinuesAfterOutage(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		svc.SetOutage(true)
		time.AfterFunc(time.Second, func() { svc.SetOutage(false) })
		r, err := newPublisher(svc.Stream("config")).Publish(ctx, newRequest("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
	})
}

// Two operators revise the same contract concurrently. Both read the same revision, and the first
// record in the log is accepted. The second publish is rejected with a reason that names the first
// author.
func TestPublish_RaceIsRejectedNamingWinner(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		winner := newRequest("winner", "zola").File.Changes[0].Change
		data, err := fold.EncodeRecord(&configpb.Bundle{PublishId: "winner", Author: "zola", Changes: []*configpb.Change{winner}})
		must.NoError(t, err)
		log := &hookLog{svc.Stream("config"), func() {
			_, err := svc.Stream("config").Append(ctx, data)
			must.NoError(t, err)
		}}
		r, err := newPublisher(log).Publish(ctx, newRequest("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Rejected, r.Outcome)
		must.Eq(t, 2, r.Revision)
		must.Len(t, 1, r.Reasons)
		must.StrContains(t, r.Reasons[0], "contract c is at revision 1 by ")
		must.StrContains(t, r.Reasons[0], "zola")
	})
}

// unreadableLog accepts appends but cannot be read after the first append.
type unreadableLog struct {
	eventlog.Log
	unreadable bool
}

func (l *unreadableLog) Append(ctx context.Context, data []byte) (eventlog.Offset, error) {
	l.unreadable = true
	return l.Log.Append(ctx, data)
}

func (l *unreadableLog) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	if l.unreadable {
		return eventlog.Bounds{}, eventlog.ErrUnavailable
	}
	return l.Log.Bounds(ctx)
}

// fixedVerdict is a VerdictSource that knows one verdict.
type fixedVerdict struct{ verdict fold.Verdict }

func (d fixedVerdict) Verdict(_ context.Context, id string) (fold.Verdict, bool, error) {
	return d.verdict, d.verdict.PublishID == id, nil
}

// The append is acknowledged, and then reads fail. A daemon that has folded the record provides the
// verdict. Without such a daemon, the outcome is unknown and the result holds the offset.
func TestPublish_UsesVerdictOfDaemon(t *testing.T) {
	runPublish(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		p := newPublisher(&unreadableLog{Log: svc.Stream("config")})
		r, err := p.Publish(ctx, newRequest("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Unknown, r.Outcome)
		must.Eq(t, 1, r.Revision)

		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		p = newPublisher(&unreadableLog{Log: svc.Stream("other")})
		p.Verdicts = fixedVerdict{fold.Verdict{PublishID: "id", Offset: 1, Accepted: true}}
		r, err = p.Publish(ctx, newRequest("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
	})
}
