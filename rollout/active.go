package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Near the end of its time a rollout opens the gates of the new version (the lead before
	// the end), closes those of the old one once all can know of the first (settle), and
	// ends when these have run out or the time is nearly up (margin). All that is kept
	// short: a version that turns bad this late cannot be caught.
	maxLead    = 2400 * time.Millisecond
	leadShare  = 0.25
	settle     = 800 * time.Millisecond
	margin     = 400 * time.Millisecond
	marginPart = 0.06
)

// server is what a decider knows of one server's gate.
type server struct {
	Report
	// rank orders servers in a way that mixes availability zones.
	rank  uint64
	heard time.Time
	// granted is the most that the gate may have let through by its latest permit, base what
	// it had let through when it got that.
	granted, base uint64
	// marks are earlier tallies, to judge what has come since.
	marks [2]Tally
	// suspect is set once the server by itself looks bad, while the others do not.
	suspect bool
}

// active is one rollout in progress or just ended.
type active struct {
	order Order
	opts  Options
	// begun is when the order was given, as far as any gate knows.
	begun time.Time
	heard time.Time
	// loaded is whether it is known that the rollout had not ended before.
	loaded  bool
	outcome Outcome
	reason  string
	// told is whether toldOutcome has been recorded and told to the operator.
	told        bool
	toldOutcome Outcome

	servers   map[ServerID]*server
	evaluated time.Time
	marked    time.Time
	// openedAt and closedAt are when the gates of the new version were opened, and those
	// of the old one closed; zero before.
	openedAt, closedAt time.Time
}

func newActive(o Order, opts Options, now time.Time) *active {
	return &active{order: o, opts: opts, begun: now, heard: now, servers: make(map[ServerID]*server), marked: now}
}

// take takes in a report.
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
		// Another daemon has decided.
		c.end(r.Outcome, "as a gate was told")
	}
}

// end ends the rollout. What has been decided stays: a version that was taken back is not
// tried again under the same order.
func (c *active) end(outcome Outcome, reason string) {
	if c.outcome != Undecided {
		return
	}
	c.outcome, c.reason = outcome, reason
	c.opts.Logger.Info("rollout: ended", "service", c.order.Service, "to_version", c.order.ToVersion, "order", c.order.Offset,
		"outcome", outcome.String(), "reason", reason, "calls", c.admitted(false)+c.admitted(true), "new_calls", c.admitted(true))
}

// alive returns the servers of one version whose gates have reported of late.
func (c *active) alive(newVersion bool, now time.Time) []*server {
	var list []*server
	for _, s := range c.servers {
		if s.NewVersion == newVersion && now.Sub(s.heard) <= silence {
			list = append(list, s)
		}
	}
	return list
}

// admitted returns the calls that the servers of one version got, those that are gone
// included.
func (c *active) admitted(newVersion bool) uint64 {
	var n uint64
	for _, s := range c.servers {
		if s.NewVersion == newVersion {
			n += s.Admitted
		}
	}
	return n
}

// evaluate brings the rollout to where it should be now.
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

// findsWorse judges the new version by all that was seen, and by what was seen of late. A
// server that looks bad alone is taken for a bad host and gets no more calls on trial; two
// of them are the version's fault.
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

// move opens and closes gates when it is time, and ends the rollout.
func (c *active) move(now time.Time) {
	left := c.order.Duration - now.Sub(c.begun)
	fresh, old := c.alive(true, now), c.alive(false, now)
	switch {
	case left <= 0:
		c.end(RolledBack, "the time was up before the traffic had moved")
	case left > c.lead() || len(fresh) == 0:
		// Still on trial, or no server of the new version is there to move traffic to.
	case c.openedAt.IsZero() && (!c.seenEnough() || c.doubtful()):
		// Deciders or the store were away for most of the time, or more has to be seen.
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
		// The operator stops the old servers at once: what an open gate lets through is lost.
	case inFlight(old) == 0 || left <= c.margin():
		c.end(Succeeded, "no worse than the version before")
	}
}

// seenEnough reports whether the new version has had calls enough to be judged by, those of
// servers that look bad alone aside.
func (c *active) seenEnough() bool {
	var calls uint64
	for _, s := range c.servers {
		if s.NewVersion && !s.suspect {
			calls += s.Admitted
		}
	}
	return float64(calls) >= min(enoughCalls, enoughShare*c.trialBound())
}

// doubtful reports whether the new version, servers that look bad alone aside, looks worse
// than the traffic may move to.
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

// trialBound returns how many calls the servers on trial may have had by now.
func (c *active) trialBound() float64 {
	calls := c.admitted(false) + c.admitted(true)
	return trialShare*c.opts.MaxShare*float64(calls) + spentShare*float64(c.opts.Slack)
}

// lead returns how long before the end of its time the traffic moves. Short orders have
// less time for each step.
func (c *active) lead() time.Duration {
	return min(maxLead, time.Duration(leadShare*float64(c.order.Duration)))
}

// scaled shortens a step as much as the lead is shortened.
func (c *active) scaled(step time.Duration) time.Duration {
	return time.Duration(float64(step) * float64(c.lead()) / float64(maxLead))
}

func (c *active) margin() time.Duration {
	return min(margin, time.Duration(marginPart*float64(c.order.Duration)))
}

func allAre(m Mode, servers []*server) bool {
	return !slices.ContainsFunc(servers, func(s *server) bool { return s.Mode != m })
}

func inFlight(servers []*server) int {
	n := 0
	for _, s := range servers {
		n += s.InFlight
	}
	return n
}

// task returns what has to be done outside of the decider, if anything.
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
