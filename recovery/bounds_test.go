package recovery

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// slowLog is a log that answers a request for its bounds after a delay, like a log that sends a
// complete configuration over a slow link.
type slowLog struct {
	eventlog.Log
	delay time.Duration
	// canceled counts the requests that were canceled before the answer.
	canceled int
}

func (l *slowLog) Bounds(ctx context.Context) (eventlog.Bounds, error) {
	if sleep(ctx, l.delay) != nil {
		l.canceled++
		return eventlog.Bounds{}, eventlog.ErrUnavailable
	}
	return l.Log.Bounds(ctx)
}

// startingPeers are daemons that answer from a point in time on.
type startingPeers struct {
	mu          sync.Mutex
	answersFrom time.Time
	with        *peers
	known       int
	// broken is set if requests for a state fail.
	broken bool
}

func (p *startingPeers) Ask(ctx context.Context) PeerAnswers {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.answersFrom) {
		return PeerAnswers{Known: p.known}
	}
	return p.with.Ask(ctx)
}

func (p *startingPeers) State(ctx context.Context, host string) (*fold.State, error) {
	if p.broken {
		return nil, errors.New("broken")
	}
	return p.with.State(ctx, host)
}

// newStartingFleet returns a fleet in which all daemons have just started: three have a state after
// 1 s, and this daemon's request for the bounds of the log takes 3 s.
func newStartingFleet() (*fleet, *slowLog, *startingPeers) {
	f := newFleet(9)
	for _, host := range []string{"a", "b", "c"} {
		f.peer(host, 9, 0)
	}
	f.peers.known = 20
	p := &startingPeers{answersFrom: time.Now().Add(time.Second), with: &f.peers, known: 20}
	log := &slowLog{Log: f.config, delay: 3 * time.Second}
	f.opts.Peers, f.opts.Config, f.opts.PreferPeers, f.opts.Stagger = p, log, true, 0
	f.opts.LogTimeout = time.Minute
	return f, log, p
}

// All hosts start at the same time after a power loss. Guards against refusing callers until the
// host has read the complete configuration over its own link, which takes 3 s on 5 Mbit/s, while
// hosts with fast links have it after a fraction of that. The state of the first such host is
// used and the request to the log is canceled.
func TestFleetStart_UsesFirstPeerState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, log, _ := newStartingFleet()
		began := time.Now()
		res := f.mustServe(t, 9, NoProblem)
		must.Eq(t, FromPeer, res.From)
		must.LessEq(t, 1200*time.Millisecond, time.Since(began))
		synctest.Wait()
		must.Eq(t, 1, log.canceled)
	})
}

// The states of the daemons cannot be fetched, or are below the floor. The request to the log
// continues in the meantime and is not restarted.
func TestFleetStart_KeepsReadingLogIfPeerStatesUnusable(t *testing.T) {
	for _, how := range []string{"broken", "behind"} {
		synctest.Test(t, func(t *testing.T) {
			f, log, p := newStartingFleet()
			if how == "broken" {
				p.broken = true
			} else {
				for i := range f.peers.answers {
					f.peers.answers[i].Position = PositionOf(f.states[7])
					f.peers.answers[i].Floor = 8
					f.peers.states[f.peers.answers[i].Host] = f.states[7]
				}
			}
			began := time.Now()
			f.mustServe(t, 9, NoProblem)
			must.Between(t, 3*time.Second, time.Since(began), 3*time.Second+100*time.Millisecond)
			must.Zero(t, log.canceled)
		})
	}
}

// All daemons of a large fleet start at once, and this one is not among the few that ask the log
// first. Guards against calls to the platform that grow with the fleet: the state of the others is
// used, and the log is not asked.
func TestFleetStart_LogDelayLeavesTheLogToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, log := newPreferPeersFleet()
		for _, host := range []string{"a", "b", "c"} {
			f.peer(host, 9, 0)
		}
		f.opts.Peers = &startingPeers{answersFrom: time.Now().Add(time.Second), with: &f.peers, known: 20}
		began := time.Now()
		f.opts.LogDelay = func() time.Duration { return 2*time.Second - time.Since(began) }
		res := f.mustServe(t, 9, NoProblem)
		must.Eq(t, FromPeer, res.From)
		must.LessEq(t, 1200*time.Millisecond, time.Since(began))
		must.Zero(t, log.bounds)
	})
}

// The daemons that should have asked the log are gone. The log is asked after the delay, and earlier
// once the daemons that are known to be gone no longer count.
func TestFleetStart_LogDelayIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, log := newPreferPeersFleet()
		f.opts.Peers = &startingPeers{answersFrom: time.Now().Add(time.Hour), with: &f.peers, known: 20}
		began := time.Now()
		f.opts.LogDelay = func() time.Duration {
			if time.Since(began) > time.Second {
				return 0
			}
			return 3*time.Second - time.Since(began)
		}
		f.opts.Stagger = 0
		f.mustServe(t, 9, NoProblem)
		must.Between(t, time.Second, time.Since(began), 1300*time.Millisecond)
		must.Eq(t, 1, log.bounds)
	})
}
