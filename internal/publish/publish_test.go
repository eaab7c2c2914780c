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

func empty(context.Context) (*fold.State, error) { return fold.Empty(), nil }

func publisher(log eventlog.Log) *publish.Publisher {
	return &publish.Publisher{Reader: &configlog.Reader{Log: log, Checkpoint: empty}}
}

// request publishes one contract whose revision is filled in.
func request(id, author string) publish.Request {
	f, err := bundle.Parse("f", []byte(`{"changes": [{"contract": {"customer": "c", "rate_per_second": 1, "max_wait_ms": 100}}]}`))
	if err != nil {
		panic(err)
	}
	return publish.Request{File: f, Author: author, PublishID: id, Revisions: publish.Revisions{Auto: true}}
}

// hookLog calls before once, when the first append is about to be sent.
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

// run publishes in a bubble, so that waits cost nothing.
func run(t *testing.T, f func(t *testing.T, ctx context.Context, svc *memlog.Service)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		f(t, ctx, memlog.New(memlog.DefaultOptions()))
	})
}

func TestAcceptedThenRevised(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		p := publisher(svc.Stream("config"))
		for revision := uint64(1); revision <= 3; revision++ {
			r, err := p.Publish(ctx, request(publish.NewPublishID(), "jane"))
			must.NoError(t, err)
			must.Eq(t, publish.Accepted, r.Outcome)
			must.Eq(t, revision, r.Revision)
			must.False(t, r.Began.IsZero())
		}
		fixed := request("x", "jane")
		fixed.Revisions = publish.Revisions{Fixed: 2}
		r, err := p.Publish(ctx, fixed)
		must.NoError(t, err)
		must.Eq(t, publish.Rejected, r.Outcome)
		must.StrContains(t, r.Reasons[0], "contract c is at revision 3 by ")
		must.Eq(t, 3, svc.Counters().Appends)
	})
}

// The append takes effect and its answer is lost. The operator sees "accepted":
// the publisher finds its own record in the log and does not append again.
func TestLostAnswerIsFound(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		svc.LoseResponses(1)
		r, err := publisher(svc.Stream("config")).Publish(ctx, request("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
		must.Eq(t, 1, r.Revision)
		must.Eq(t, 1, svc.Counters().Appends)
	})
}

// The request itself is lost, which looks the same. The operator sees
// "accepted" after one more append with the same publish id.
func TestLostRequestIsRepeated(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		svc.LoseRequests(2)
		r, err := publisher(svc.Stream("config")).Publish(ctx, request("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
		must.Eq(t, 1, svc.Counters().Appends)
	})
}

// The append stalls in the platform beyond the operator's time. "Unknown" is
// the truth then: the record arrives later and takes effect. A repeat with the
// same publish id is told the first verdict and changes nothing.
func TestStalledAppendIsUnknownAndRepeatIsSafe(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		var release func()
		log := &hookLog{svc.Stream("config"), func() { release = svc.Hold() }}
		r, err := publisher(log).Publish(ctx, request("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Unknown, r.Outcome)
		must.SliceNotEmpty(t, r.Reasons)
		release()
		must.Eq(t, 1, svc.Counters().Appends)

		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		again := request("id", "jane")
		again.Repeat = true
		r, err = publisher(svc.Stream("config")).Publish(ctx, again)
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
		must.Eq(t, 1, r.Revision)
		must.Eq(t, 1, svc.Counters().Appends)
	})
}

// A repeat that the current state rejects still goes into the log: the append
// of the earlier run may arrive later, and without a verdict on its id the
// operator would be told "rejected" for changes that then come into force.
func TestRepeatIsDecidedByTheLog(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		req := request("id", "jane")
		req.Revisions = publish.Revisions{Fixed: 7}
		req.Repeat = true
		r, err := publisher(svc.Stream("config")).Publish(ctx, req)
		must.NoError(t, err)
		must.Eq(t, publish.Rejected, r.Outcome)
		must.Eq(t, 1, r.Revision)
	})
}

// The log is down for all of the operator's time, or from the append on. The
// operator sees an error that says that nothing was published, and that is
// certain: each append was refused.
func TestOutageIsNotUnknown(t *testing.T) {
	for name, downFromTheStart := range map[string]bool{"from the start": true, "from the append on": false} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
				svc.SetOutage(downFromTheStart)
				log := &hookLog{svc.Stream("config"), func() { svc.SetOutage(true) }}
				_, err := publisher(log).Publish(ctx, request("id", "jane"))
				must.ErrorContains(t, err, "nothing was published")
				must.True(t, errors.Is(err, eventlog.ErrUnavailable))
				must.Zero(t, svc.Counters().Appends)
			})
		})
	}
}

func TestOutageThatEnds(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		svc.SetOutage(true)
		time.AfterFunc(time.Second, func() { svc.SetOutage(false) })
		r, err := publisher(svc.Stream("config")).Publish(ctx, request("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
	})
}

// Two operators revise the same contract at once. Both read the same revision;
// the first record in the log wins. The second operator is told so, and whose
// revision stands.
func TestRaceIsRejectedWithTheWinner(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		winner := request("winner", "zola").File.Changes[0].Change
		data, err := fold.EncodeRecord(&configpb.Bundle{PublishId: "winner", Author: "zola", Changes: []*configpb.Change{winner}})
		must.NoError(t, err)
		log := &hookLog{svc.Stream("config"), func() {
			_, err := svc.Stream("config").Append(ctx, data)
			must.NoError(t, err)
		}}
		r, err := publisher(log).Publish(ctx, request("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Rejected, r.Outcome)
		must.Eq(t, 2, r.Revision)
		must.Len(t, 1, r.Reasons)
		must.StrContains(t, r.Reasons[0], "contract c is at revision 1 by ")
		must.StrContains(t, r.Reasons[0], "zola")
	})
}

// blindLog takes appends but cannot be read once one was taken.
type blindLog struct {
	eventlog.Log
	blind bool
}

func (l *blindLog) Append(ctx context.Context, data []byte) (eventlog.Offset, error) {
	l.blind = true
	return l.Log.Append(ctx, data)
}

func (l *blindLog) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	if l.blind {
		return eventlog.Bounds{}, eventlog.ErrUnavailable
	}
	return l.Log.Bounds(ctx)
}

type daemonVerdicts struct{ verdict fold.Verdict }

func (d daemonVerdicts) Verdict(_ context.Context, id string) (fold.Verdict, bool, error) {
	return d.verdict, d.verdict.PublishID == id, nil
}

// The append is answered and then reads fail. A daemon that has folded the
// record tells the verdict; without one the outcome is unknown, with the offset.
func TestVerdictFromADaemon(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context, svc *memlog.Service) {
		p := publisher(&blindLog{Log: svc.Stream("config")})
		r, err := p.Publish(ctx, request("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Unknown, r.Outcome)
		must.Eq(t, 1, r.Revision)

		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		p = publisher(&blindLog{Log: svc.Stream("other")})
		p.Verdicts = daemonVerdicts{fold.Verdict{PublishID: "id", Offset: 1, Accepted: true}}
		r, err = p.Publish(ctx, request("id", "jane"))
		must.NoError(t, err)
		must.Eq(t, publish.Accepted, r.Outcome)
	})
}
