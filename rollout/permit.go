package rollout

import (
	"cmp"
	"slices"
	"time"
)

// permitFor returns the permit that answers a report, which addReport must have processed.
func (c *activeRollout) permitFor(r Report, now time.Time) Permit {
	p := Permit{Mode: modeBeforeOrder(r), Lease: permitLease}
	s := c.servers[r.Server]
	switch c.outcome {
	case Succeeded:
		if c.recorded() {
			p.Outcome, p.Recorded = Succeeded, true
		}
		p.Mode = modeAfterMove(r)
		return p
	case RolledBack:
		s.granted = r.Admitted
		p.Outcome, p.Recorded = RolledBack, c.recorded()
		return p
	}
	switch {
	case !c.inContact(now):
		// What another decider grants meanwhile is not known here, and both would add up.
	case !c.closedAt.IsZero():
		p.Mode = modeAfterMove(r)
	case !r.NewVersion || !c.loaded:
	case !c.openedAt.IsZero():
		p.Mode = Open
	case slices.Contains(c.trialServers(now), s):
		p.Mode, p.AdmitUpTo = Limited, c.grant(s)
	}
	return p
}

// modeAfterMove returns the mode after the move: Open for the new version, Closed for the old one.
func modeAfterMove(r Report) Mode {
	if r.NewVersion {
		return Open
	}
	return Closed
}

// recorded reports whether the current outcome is recorded in the directory, where it outlives
// all daemons, and reported to the operator.
func (c *activeRollout) recorded() bool { return c.published && c.publishedOutcome == c.outcome }

// candidates returns the live servers of the new version that are not suspect, in a stable
// order.
func (c *activeRollout) candidates(now time.Time) []*serverState {
	list := slices.DeleteFunc(c.alive(true, now), func(s *serverState) bool { return s.suspect })
	slices.SortFunc(list, func(a, b *serverState) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Server.Host, b.Server.Host),
			cmp.Compare(a.Server.Boot, b.Server.Boot), cmp.Compare(a.Server.Instance, b.Server.Instance))
	})
	return list
}

// trialServers returns the servers of the new version that receive calls before the move. Their
// number is chosen so that the bound on calls gives each about the load that it will have
// after the move, and a version that fails under load fails in the trial. If the bound is too
// low for two servers, a single server is on trial at a time.
func (c *activeRollout) trialServers(now time.Time) []*serverState {
	newServers, oldServers := c.candidates(now), c.alive(false, now)
	n := int(trialShare * c.opts.MaxShare * float64(len(oldServers)))
	if n > 1 || len(newServers) < 2 {
		return newServers[:min(max(n, 1), len(newServers))]
	}
	i := int(trialTurns*now.Sub(c.startedAt)/c.order.Duration) % len(newServers)
	return newServers[i : i+1]
}

// grant returns the limit of Report.Admitted for the next permit of a server on trial: twice
// the calls that it admitted since the previous permit, and at least minGrant. The grants of
// all servers together, whether used or not, stay within trialLimit.
func (c *activeRollout) grant(s *serverState) uint64 {
	granted := float64(s.Admitted)
	for _, o := range c.servers {
		if o != s && o.NewVersion {
			granted += float64(max(o.Admitted, o.granted))
		}
	}
	want := max(2*float64(s.Admitted-min(s.base, s.Admitted)), minGrant)
	s.base = s.Admitted
	s.granted = s.Admitted + uint64(min(want, max(c.trialLimit()-granted, 0)))
	return s.granted
}
