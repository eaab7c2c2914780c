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

// Convergence tells how a version came into force over the live daemons.
type Convergence struct {
	Offset uint64
	// Converged is whether every live daemon has the version in force.
	Converged bool
	// Time is the longest After of the daemons that have it in force.
	Time    time.Duration
	Daemons []Progress
}

// Progress is one daemon's part in a Convergence.
type Progress struct {
	Host             string
	AvailabilityZone string
	// Offset in force at the last answer.
	Offset uint64
	// InForce is whether the version, or a later one, is in force.
	InForce bool
	// After is how long after the start the version came into force, at most;
	// 0 where it was in force before. For a daemon that has moved on it is the
	// time of the later version.
	After time.Duration
	// Reason tells why a daemon is not known to have the version in force.
	Reason string
}

// memberID tells one life of a daemon from the next: a daemon that restarts
// has to reach the version again.
type memberID struct {
	host string
	boot uint64
}

// Converge waits until every live daemon has a version in force or ctx ends,
// and returns what it has seen by then. Times count from start and are read
// from this daemon's clock alone: each answer carries the age of the version in
// force, a duration, which is taken off the time of the answer's arrival. The
// error is one message's travel.
func (f *Fleet) Converge(ctx context.Context, offset uint64, start time.Time) Convergence {
	w := wait{fleet: f, offset: offset, start: start, seen: map[memberID]Progress{}}
	for {
		c := w.round(ctx)
		if c.Converged || !loop.Sleep(ctx, f.opts.PollInterval) {
			return c
		}
	}
}

// wait is one wait for convergence.
type wait struct {
	fleet  *Fleet
	offset uint64
	start  time.Time
	// seen holds the latest progress of each daemon.
	seen map[memberID]Progress
}

// round asks the live daemons that are not known to have the version in force.
func (w *wait) round(ctx context.Context) Convergence {
	c := Convergence{Offset: w.offset}
	view := w.fleet.opts.Board.Members.Load()
	if view == nil {
		return c
	}
	live := view.Live()
	c.Daemons = make([]Progress, len(live))
	w.fleet.each(ctx, live, func(askCtx context.Context, i int, m *membership.Member) {
		c.Daemons[i] = w.progressOf(ctx, askCtx, m)
	})
	c.Converged = len(live) > 0
	for i, p := range c.Daemons {
		w.seen[idOf(live[i])] = p
		c.Converged = c.Converged && p.InForce
		c.Time = max(c.Time, p.After)
	}
	return c
}

func (w *wait) progressOf(ctx, askCtx context.Context, m *membership.Member) Progress {
	last, known := w.seen[idOf(m)]
	if last.InForce {
		return last
	}
	p := Progress{Host: m.Host, AvailabilityZone: m.AvailabilityZone, Offset: m.Offset}
	a, err := w.fleet.ask(askCtx, m)
	switch {
	case err != nil && known && ctx.Err() != nil:
		// The end of the wait says nothing of the daemon.
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

// StallReason tells why a daemon that answers is behind or may soon be; empty if it
// names no reason.
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

func idOf(m *membership.Member) memberID { return memberID{m.Host, m.Boot} }
