package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Near the end of an order's duration the traffic moves in three steps. The gates of the
	// new version open when the lead time is left, which is leadShare of the duration, at most
	// maxLead. The gates of the old version close after settleTime, when all daemons can know
	// of the open gates. The rollout ends when the old servers have no calls left, or when
	// only the margin is left, which is marginShare of the duration, at most maxMargin. These
	// times are short because a version that turns bad during them is not detected in time.
	maxLead     = 2400 * time.Millisecond
	leadShare   = 0.25
	settleTime  = 800 * time.Millisecond
	maxMargin   = 400 * time.Millisecond
	marginShare = 0.06
)

// serverState is the state of one backend server and its gate, from the gate's latest report.
type serverState struct {
	Report
	// rank is a hash of the host that orders servers independently of their availability
	// zones.
	rank uint64
	// lastReport is when the latest report arrived.
	lastReport time.Time
	// granted is the number of calls that the gate may have admitted under its latest permit,
	// base the number that it had admitted when it reported for that permit.
	granted, base uint64
	// checkpoints are copies of the counts, taken once per recentWindow, the older first. The
	// recent results are those since the older one.
	checkpoints [2]CountsByRoute
	// suspect is set once this server alone was found bad.
	suspect bool
}

// activeRollout is the state of a rollout that is in progress or has ended recently.
type activeRollout struct {
	order Order
	opts  Options
	// startedAt is when the order was given, estimated from the oldest OrderAge in the reports.
	startedAt time.Time
	// lastReport is when the latest report of any gate arrived.
	lastReport time.Time
	// loaded is set once the recorded outcome of the order has been looked up. Before, an
	// earlier decider may have ended the rollout already.
	loaded  bool
	outcome Outcome
	// reason explains the outcome to operators.
	reason string
	// published is true once an outcome has been recorded and reported to the operator.
	// publishedOutcome is the latest such outcome.
	published        bool
	publishedOutcome Outcome

	servers map[ServerID]*serverState
	// lastEvaluation is when the rollout was last evaluated, lastCheckpoint when the
	// checkpoints of the servers were last taken.
	lastEvaluation time.Time
	lastCheckpoint time.Time
	// openedAt is when the decider opened the gates of the new version, closedAt when it closed
	// those of the old version. They are zero before.
	openedAt, closedAt time.Time
}

// newActiveRollout returns the state of a rollout whose first report has just arrived.
func newActiveRollout(o Order, opts Options, now time.Time) *activeRollout {
	return &activeRollout{order: o, opts: opts, startedAt: now, lastReport: now, servers: make(map[ServerID]*serverState), lastCheckpoint: now}
}

// addReport stores a gate's report, and ends the rollout if the report contains an outcome.
func (c *activeRollout) addReport(r Report, now time.Time) {
	c.lastReport = now
	if started := now.Add(-r.OrderAge); started.Before(c.startedAt) {
		c.startedAt = started
	}
	s := c.servers[r.Server]
	if s == nil {
		s = &serverState{rank: xxhash.Sum64String(r.Server.Host)}
		c.servers[r.Server] = s
	}
	s.Report, s.lastReport = r, now
	if r.Outcome != Undecided && c.outcome == Undecided {
		// The gate received the outcome from another daemon that decided before.
		c.end(r.Outcome, "reported by a gate")
	}
}

// end sets the outcome of the rollout. The first outcome is final: a version that was rolled
// back is not tried again under the same order.
func (c *activeRollout) end(outcome Outcome, reason string) {
	if c.outcome != Undecided {
		return
	}
	c.outcome, c.reason = outcome, reason
	c.opts.Logger.Info("rollout: ended", "service", c.order.Service, "to_version", c.order.ToVersion, "order", c.order.Offset,
		"outcome", outcome.String(), "reason", reason, "calls", c.admitted(false)+c.admitted(true), "new_calls", c.admitted(true))
}

// alive returns the servers of one version whose gates have reported within gateTimeout.
func (c *activeRollout) alive(newVersion bool, now time.Time) []*serverState {
	var list []*serverState
	for _, s := range c.servers {
		if s.NewVersion == newVersion && now.Sub(s.lastReport) <= gateTimeout {
			list = append(list, s)
		}
	}
	return list
}

// admitted returns the number of calls that the servers of one version admitted, including
// servers that no longer report.
func (c *activeRollout) admitted(newVersion bool) uint64 {
	var n uint64
	for _, s := range c.servers {
		if s.NewVersion == newVersion {
			n += s.Admitted
		}
	}
	return n
}

// inContact reports whether most of the hosts whose gates have ever reported on the order still
// do. Otherwise another daemon decides by now, or this one is cut off. It sees neither the calls
// nor the gates any more: it would roll back a version whose traffic has moved, or report a
// success, at which the operator stops the old servers, while their gates are open.
func (c *activeRollout) inContact(now time.Time) bool {
	reporting := make(map[string]bool)
	for _, s := range c.servers {
		reporting[s.Server.Host] = reporting[s.Server.Host] || now.Sub(s.lastReport) <= gateTimeout
	}
	n := 0
	for _, r := range reporting {
		if r {
			n++
		}
	}
	return 2*n > len(reporting)
}

// evaluate rolls back a version that is worse than the old one, and otherwise performs the step
// of the move that is due. It does nothing before the recorded outcome has been looked up, nor
// without contact to the gates.
func (c *activeRollout) evaluate(now time.Time) {
	if c.outcome != Undecided || !c.loaded || now.Sub(c.lastEvaluation) < evaluateInterval || !c.inContact(now) {
		return
	}
	c.lastEvaluation = now
	if f, bad := c.findRegression(now); bad {
		c.end(RolledBack, f.String())
		return
	}
	if now.Sub(c.lastCheckpoint) >= recentWindow {
		c.lastCheckpoint = now
		for _, s := range c.servers {
			s.checkpoints = [2]CountsByRoute{s.checkpoints[1], s.Routes}
		}
	}
	c.moveTraffic(now)
}

// findRegression compares the new version with the old one by the results since the order and by
// the recent results. If only a single server is found bad, its host is assumed to be at
// fault, and the server receives no more trial calls. If a second server is found bad, the
// version is.
func (c *activeRollout) findRegression(now time.Time) (Finding, bool) {
	old, oldRecent := CountsByRoute{}, CountsByRoute{}
	var all, recent []CountsByRoute
	var newServers []*serverState
	suspected := false
	for _, s := range c.servers {
		serverRecent := s.Routes.minus(s.checkpoints[0])
		switch {
		case !s.NewVersion:
			old.add(s.Routes)
			oldRecent.add(serverRecent)
		case s.suspect:
			suspected = true
		case s.Admitted > 0:
			all, recent, newServers = append(all, s.Routes), append(recent, serverRecent), append(newServers, s)
		}
	}
	if len(newServers) > 1 || len(c.candidates(now)) < 2 {
		if f, bad := c.opts.Analyzer.FindRegression(old, all); bad {
			return f, true
		}
		if f, bad := c.opts.Analyzer.FindRegression(oldRecent, recent); bad {
			return f, true
		}
	}
	for i, s := range newServers {
		analyzer := c.opts.Analyzer
		if suspected {
			analyzer = analyzer.forSecondServer()
		}
		f, bad := analyzer.FindRegression(old, all[i:i+1])
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

// moveTraffic opens and closes gates at the times for it, and ends the rollout.
func (c *activeRollout) moveTraffic(now time.Time) {
	left := c.order.Duration - now.Sub(c.startedAt)
	newServers, oldServers := c.alive(true, now), c.alive(false, now)
	switch {
	case left <= 0:
		c.end(RolledBack, "the duration of the order ended before the traffic had moved")
	case left > c.lead() || len(newServers) == 0:
		// The trial is still in progress, or no server of the new version is alive.
	case c.openedAt.IsZero() && (!c.hasEnoughCalls() || c.tooBadToMove()):
		// Too few results, since deciders or the store were unavailable for most of the time, or
		// results that are too bad to move the traffic.
	case c.openedAt.IsZero():
		c.openedAt = now
		c.opts.Logger.Info("rollout: gates of the new version open", "service", c.order.Service, "order", c.order.Offset,
			"calls", c.admitted(false)+c.admitted(true), "new_calls", c.admitted(true), "servers", len(oldServers), "new_servers", len(newServers))
	case c.closedAt.IsZero():
		known := now.Sub(c.openedAt) >= c.scaled(settleTime) && allInMode(Open, newServers)
		if known || left <= 2*c.margin() {
			c.closedAt = now
		}
	case !allInMode(Closed, oldServers):
		// The operator stops the old servers at once after a success, and calls that an open gate
		// still admits would be lost.
	case inFlight(oldServers) == 0 || left <= c.margin():
		c.end(Succeeded, "no worse than the previous version")
	}
}

// hasEnoughCalls reports whether the new version has received enough calls to move the traffic
// to it. Calls of suspect servers are not counted.
func (c *activeRollout) hasEnoughCalls() bool {
	var calls uint64
	for _, s := range c.servers {
		if s.NewVersion && !s.suspect {
			calls += s.Admitted
		}
	}
	return float64(calls) >= min(minTrialCalls, minTrialShare*c.trialLimit())
}

// tooBadToMove reports whether the new version, without suspect servers, is too bad for the
// traffic to move to it.
func (c *activeRollout) tooBadToMove() bool {
	old := CountsByRoute{}
	var counts []CountsByRoute
	for _, s := range c.servers {
		switch {
		case !s.NewVersion:
			old.add(s.Routes)
		case !s.suspect && s.Admitted > 0:
			counts = append(counts, s.Routes)
		}
	}
	_, bad := c.opts.Analyzer.forMove().FindRegression(old, counts)
	return bad
}

// trialLimit returns the number of calls that the servers on trial may have received so far.
func (c *activeRollout) trialLimit() float64 {
	calls := c.admitted(false) + c.admitted(true)
	return trialShare*c.opts.MaxShare*float64(calls) + trialSlackShare*float64(c.opts.Slack)
}

// lead returns how long before the end of the order's duration the traffic starts to move. It
// is shorter for short orders.
func (c *activeRollout) lead() time.Duration {
	return min(maxLead, time.Duration(leadShare*float64(c.order.Duration)))
}

// scaled shortens the time of a step in proportion to the lead.
func (c *activeRollout) scaled(step time.Duration) time.Duration {
	return time.Duration(float64(step) * float64(c.lead()) / float64(maxLead))
}

// margin returns how long before the end of the order's duration the rollout ends at the latest.
func (c *activeRollout) margin() time.Duration {
	return min(maxMargin, time.Duration(marginShare*float64(c.order.Duration)))
}

func allInMode(m Mode, servers []*serverState) bool {
	return !slices.ContainsFunc(servers, func(s *serverState) bool { return s.Mode != m })
}

// inFlight returns the number of calls that the servers have not ended.
func inFlight(servers []*serverState) int {
	n := 0
	for _, s := range servers {
		n += s.InFlight
	}
	return n
}

// task returns the operation that the caller of the decider has to perform, if any.
func (c *activeRollout) task() (Task, bool) {
	switch {
	case c.outcome == Undecided && !c.loaded:
		return Task{Order: c.order, Load: true}, true
	case !c.recorded():
		return Task{Order: c.order, Outcome: c.outcome}, true
	}
	return Task{}, false
}

func (c *activeRollout) status(now time.Time) Status {
	newCalls := c.admitted(true)
	return Status{
		Service: c.order.Service, ToVersion: c.order.ToVersion, Outcome: c.outcome.String(), Reason: c.reason,
		AgeS: now.Sub(c.startedAt).Seconds(), DurationS: c.order.Duration.Seconds(), Calls: c.admitted(false) + newCalls, NewCalls: newCalls,
		Servers: len(c.alive(false, now)), NewServers: len(c.alive(true, now)), TrafficMoved: !c.closedAt.IsZero(),
	}
}
