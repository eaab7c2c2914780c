package fleet

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Convergence describes how a configuration version came into force on the live daemons.
type Convergence struct {
	// Offset is the version.
	Offset uint64
	// Converged is set if the version is in force on every live daemon.
	Converged bool
	// Time is the longest After of the daemons on which the version is in force.
	Time    time.Duration
	Daemons []Progress
}

// Progress is the progress of one daemon in a Convergence.
type Progress struct {
	Host             string
	AvailabilityZone string
	// Offset is the offset in force at the daemon's last response. If its status could not be
	// queried, it is the offset in the member table.
	Offset uint64
	// InForce is set if the version or a later one is in force.
	InForce bool
	// After is an upper bound of the time from the start until the version came into force, 0 if it
	// was in force before the start. For a daemon with a later version in force, it is the time of
	// the later version.
	After time.Duration
	// Reason describes why the version is not known to be in force on the daemon.
	Reason string
}

// instanceID identifies a daemon between two restarts. A restarted daemon has to reach the version
// again.
type instanceID struct {
	host string
	boot uint64
}

// Converge waits until a version is in force on every live daemon or ctx ends, and returns the
// progress by then. Times are relative to start and depend only on this daemon's clock: each
// response holds the age of the version in force, which is subtracted from the arrival time of the
// response. The error is the transit time of one message.
func (f *Fleet) Converge(ctx context.Context, offset uint64, start time.Time) Convergence {
	w := convergenceWait{fleet: f, offset: offset, start: start, latest: map[instanceID]Progress{}}
	for {
		c := w.round(ctx)
		if c.Converged || !loop.Sleep(ctx, f.opts.PollInterval) {
			return c
		}
	}
}

// convergenceWait is the state of one call of Converge.
type convergenceWait struct {
	fleet  *Fleet
	offset uint64
	start  time.Time
	// latest holds the latest progress of each daemon instance.
	latest map[instanceID]Progress
}

// round queries the live daemons on which the version is not known to be in force.
func (w *convergenceWait) round(ctx context.Context) Convergence {
	c := Convergence{Offset: w.offset}
	view := w.fleet.opts.Board.Members.Load()
	if view == nil {
		return c
	}
	live := view.Live()
	c.Daemons = make([]Progress, len(live))
	w.fleet.forEach(ctx, live, func(queryCtx context.Context, i int, m *membership.Member) {
		c.Daemons[i] = w.queryProgress(ctx, queryCtx, m)
	})
	c.Converged = len(live) > 0
	for i, p := range c.Daemons {
		w.latest[instanceIDOf(live[i])] = p
		c.Converged = c.Converged && p.InForce
		c.Time = max(c.Time, p.After)
	}
	return c
}

// queryProgress returns the progress of one daemon and queries its status unless the version is
// known to be in force. ctx ends with the wait, queryCtx with this query.
func (w *convergenceWait) queryProgress(ctx, queryCtx context.Context, m *membership.Member) Progress {
	last, known := w.latest[instanceIDOf(m)]
	if last.InForce {
		return last
	}
	p := Progress{Host: m.Host, AvailabilityZone: m.AvailabilityZone, Offset: m.Offset}
	a, err := w.fleet.queryStatus(queryCtx, m)
	switch {
	case err != nil && known && ctx.Err() != nil:
		// The query may have failed only because the wait has ended.
		return last
	case err != nil:
		p.Reason = err.Error()
		return p
	}
	p.Offset = a.GetOffset()
	p.InForce = p.Offset >= w.offset
	if !p.InForce {
		p.Reason = cmp.Or(StallReason(a), "has not got it yet")
		return p
	}
	age := time.Duration(a.GetInForceAgeMs()) * time.Millisecond
	p.After = max(0, w.fleet.opts.Local.now().Sub(w.start)-age)
	return p
}

// StallReason returns the reason in a daemon's status why the daemon is behind or may soon be,
// empty if there is none.
func StallReason(a *peerpb.StatusAnswer) string {
	switch {
	case a.GetStuckReason() != "":
		return a.GetStuckReason()
	case a.GetLogError() != "":
		age := time.Duration(a.GetLogErrorAgeMs()) * time.Millisecond
		return fmt.Sprintf("cannot read the platform's log for %s: %s", age.Round(time.Second), a.GetLogError())
	}
	return ""
}

// instanceIDOf returns the ID of a member's current instance.
func instanceIDOf(m *membership.Member) instanceID { return instanceID{m.Host, m.Boot} }
