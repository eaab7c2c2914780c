package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Near the end of an order's duration the traffic moves in three steps. The gates of the
	// new version open when the lead time is left, which is leadShare of the duration, at most
	// maxLead. The gates of the old version close once all daemons can know of the open
	// gates, after settleTime. The rollout ends when the old servers have no calls left, or
	// when only the margin is left, which is marginShare of the duration, at most maxMargin.
	// These times are short because a version that turns bad during them is not detected in
	// time.
	maxLead    = 2400 * time.Millisecond
	leadShare  = 0.25
	settle     = 800 * time.Millisecond
	margin     = 400 * time.Millisecond
	marginPart = 0.06
)

// server is the state of one server and its gate, from the gate's latest report.
type server struct {
	Report
	// rank is a hash of the host that orders servers independently of their availability
	// zones.
	rank uint64
	// heard is when the latest report arrived.
	heard time.Time
	// granted is the number of calls that the gate may have admitted under its latest permit,
	// base the number that it had admitted when it reported for that permit.
	granted, base uint64
	// marks are the counts at the last two ends of a recentWindow, the older first. The recent
	// results are those since the older one.
	marks [2]Tally
	// suspect is set once this server alone was found bad.
	suspect bool
}

// active is the state of a rollout that is in progress or has ended recently.
type active struct {
	order Order
	opts  Options
	// begun is when the order was given, estimated from the oldest OrderAge in the reports.
	begun time.Time
	// heard is when the latest report of any gate arrived.
	heard time.Time
	// loaded is set once the recorded outcome has been looked up, so that it is known whether
	// the rollout had ended before.
	loaded  bool
	outcome Outcome
	// reason explains the outcome to operators.
	reason string
	// told is true once an outcome has been recorded and reported to the operator, toldOutcome
	// is the latest such outcome.
	told        bool
	toldOutcome Outcome

	servers map[ServerID]*server
	// evaluated is when the rollout was last evaluated, marked when the marks of the servers
	// were last set.
	evaluated time.Time
	marked    time.Time
	// openedAt is when the decider opened the gates of the new version, closedAt when it closed
	// those of the old version. They are zero before.
	openedAt, closedAt time.Time
}

// newActive returns the state of a rollout whose first report has just arrived.
func newActive(o Order, opts Options, now time.Time) *active {
	return &active{order: o, opts: opts, begun: now, heard: now, servers: make(map[ServerID]*server), marked: now}
}

// take processes a report.
func (c *active) take(r Report, now time.Time) {
	c.heard = now
	if begun := now.Add(-r.OrderAge); begun.Before(c.begun) {
		c.begun = begun
	}
	s := c.servers[r.Server]
	if s == nil {
		s = &server{rank: xxhash.Sum64String(r.Server.Host)}
		c.servers[r.Server] = s
	}
	s.Report, s.heard = r, now
	if r.Outcome != Undecided && c.outcome == Undecided {
		// The gate received the outcome from another daemon that decided before.
		c.end(r.Outcome, "reported by a gate")
	}
}

// end sets the outcome of the rollout. The first outcome is final: a version that was rolled
// back is not tried again under the same order.
func (c *active) end(outcome Outcome, reason string) {
	if c.outcome != Undecided {
		return
	}
	c.outcome, c.reason = outcome, reason
	c.opts.Logger.Info("rollout: ended", "service", c.order.Service, "to_version", c.order.ToVersion, "order", c.order.Offset,
		"outcome", outcome.String(), "reason", reason, "calls", c.admitted(false)+c.admitted(true), "new_calls", c.admitted(true))
}

// alive returns the servers of one version whose gates have reported within gateTimeout.
func (c *active) alive(newVersion bool, now time.Time) []*server {
	var list []*server
	for _, s := range c.servers {
		if s.NewVersion == newVersion && now.Sub(s.heard) <= silence {
			list = append(list, s)
		}
	}
	return list
}

// admitted returns the number of calls that the servers of one version admitted, including
// servers that no longer report.
func (c *active) admitted(newVersion bool) uint64 {
	var n uint64
	for _, s := range c.servers {
		if s.NewVersion == newVersion {
			n += s.Admitted
		}
	}
	return n
}

// evaluate rolls back a version that is worse than the old one, and otherwise performs the step
// of the move that is due. It does nothing before the recorded outcome has been looked up.
func (c *active) evaluate(now time.Time) {
	if c.outcome != Undecided || !c.loaded || now.Sub(c.evaluated) < evaluateGap {
		return
	}
	c.evaluated = now
	if f, bad := c.findsWorse(now); bad {
		c.end(RolledBack, f.String())
		return
	}
	if now.Sub(c.marked) >= window {
		c.marked = now
		for _, s := range c.servers {
			s.marks = [2]Tally{s.marks[1], s.Tally}
		}
	}
	c.move(now)
}

// findsWorse compares the new version with the old one by the results since the order and by
// the recent results. If only a single server is found bad, its host is assumed to be at
// fault, and the server receives no more trial calls. If a second server is found bad, the
// version is.
func (c *active) findsWorse(now time.Time) (Finding, bool) {
	old, oldLate := Tally{}, Tally{}
	var all, late []Tally
	var fresh []*server
	suspected := false
	for _, s := range c.servers {
		recent := s.Tally.less(s.marks[0])
		switch {
		case !s.NewVersion:
			old.add(s.Tally)
			oldLate.add(recent)
		case s.suspect:
			suspected = true
		case s.Admitted > 0:
			all, late, fresh = append(all, s.Tally), append(late, recent), append(fresh, s)
		}
	}
	if len(fresh) > 1 || len(c.candidates(now)) < 2 {
		if f, bad := c.opts.Judge.FindsWorse(old, all); bad {
			return f, true
		}
		if f, bad := c.opts.Judge.FindsWorse(oldLate, late); bad {
			return f, true
		}
	}
	for i, s := range fresh {
		judge := c.opts.Judge
		if suspected {
			judge = judge.again()
		}
		f, bad := judge.FindsWorse(old, all[i:i+1])
		if !bad {
			continue
		}
		if suspected {
			return f, true
		}
		s.suspect, suspected = true, true
		c.opts.Logger.Warn("rollout: one server looks bad", "service", c.order.Service, "host", s.Server.Host, "finding", f.String())
	}
	return Finding{}, false
}

// move opens and closes gates at the times for it, and ends the rollout.
func (c *active) move(now time.Time) {
	left := c.order.Duration - now.Sub(c.begun)
	fresh, old := c.alive(true, now), c.alive(false, now)
	switch {
	case left <= 0:
		c.end(RolledBack, "the duration of the order ended before the traffic had moved")
	case left > c.lead() || len(fresh) == 0:
		// The trial is still in progress, or no server of the new version is alive.
	case c.openedAt.IsZero() && (!c.seenEnough() || c.doubtful()):
		// Too few results, since deciders or the store were unavailable for most of the time, or
		// results that are too bad to move the traffic.
	case c.openedAt.IsZero():
		c.openedAt = now
		c.opts.Logger.Info("rollout: gates of the new version open", "service", c.order.Service, "order", c.order.Offset,
			"calls", c.admitted(false)+c.admitted(true), "new_calls", c.admitted(true), "servers", len(old), "new_servers", len(fresh))
	case c.closedAt.IsZero():
		known := now.Sub(c.openedAt) >= c.scaled(settle) && allAre(Open, fresh)
		if known || left <= 2*c.margin() {
			c.closedAt = now
		}
	case !allAre(Closed, old):
		// The operator stops the old servers at once after a success, and calls that an open gate
		// still admits would be lost.
	case inFlight(old) == 0 || left <= c.margin():
		c.end(Succeeded, "no worse than the previous version")
	}
}

// seenEnough reports whether the new version has received enough calls to move the traffic to
// it. Calls of suspect servers are not counted.
func (c *active) seenEnough() bool {
	var calls uint64
	for _, s := range c.servers {
		if s.NewVersion && !s.suspect {
			calls += s.Admitted
		}
	}
	return float64(calls) >= min(enoughCalls, enoughShare*c.trialBound())
}

// doubtful reports whether the new version, without suspect servers, is too bad for the
// traffic to move to it.
func (c *active) doubtful() bool {
	old := Tally{}
	var fresh []Tally
	for _, s := range c.servers {
		switch {
		case !s.NewVersion:
			old.add(s.Tally)
		case !s.suspect && s.Admitted > 0:
			fresh = append(fresh, s.Tally)
		}
	}
	_, bad := c.opts.Judge.toMove().FindsWorse(old, fresh)
	return bad
}

// trialBound returns the number of calls that the servers on trial may have received so far.
func (c *active) trialBound() float64 {
	calls := c.admitted(false) + c.admitted(true)
	return trialShare*c.opts.MaxShare*float64(calls) + spentShare*float64(c.opts.Slack)
}

// lead returns how long before the end of the order's duration the traffic starts to move. It
// is shorter for short orders.
func (c *active) lead() time.Duration {
	return min(maxLead, time.Duration(leadShare*float64(c.order.Duration)))
}

// scaled shortens the time of a step in proportion to the lead.
func (c *active) scaled(step time.Duration) time.Duration {
	return time.Duration(float64(step) * float64(c.lead()) / float64(maxLead))
}

// margin returns how long before the end of the order's duration the rollout ends at the latest.
func (c *active) margin() time.Duration {
	return min(margin, time.Duration(marginPart*float64(c.order.Duration)))
}

func allAre(m Mode, servers []*server) bool {
	return !slices.ContainsFunc(servers, func(s *server) bool { return s.Mode != m })
}

// inFlight returns the number of calls that the servers have not ended.
func inFlight(servers []*server) int {
	n := 0
	for _, s := range servers {
		n += s.InFlight
	}
	return n
}

// task returns the operation that the caller of the decider has to perform, if any.
func (c *active) task() (Task, bool) {
	switch {
	case c.outcome == Undecided && !c.loaded:
		return Task{Order: c.order, Load: true}, true
	case !c.recorded():
		return Task{Order: c.order, Outcome: c.outcome}, true
	}
	return Task{}, false
}

func (c *active) status(now time.Time) Status {
	fresh := c.admitted(true)
	return Status{
		Service: c.order.Service, ToVersion: c.order.ToVersion, Outcome: c.outcome.String(), Reason: c.reason,
		AgeS: now.Sub(c.begun).Seconds(), DurationS: c.order.Duration.Seconds(), Calls: c.admitted(false) + fresh, NewCalls: fresh,
		Servers: len(c.alive(false, now)), NewServers: len(c.alive(true, now)), TrafficMoved: !c.closedAt.IsZero(),
	}
}
