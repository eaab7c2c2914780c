package rollout

import (
	"cmp"
	"slices"
	"time"
)

// permit returns the permit that answers a report which has been processed by take.
func (c *active) permit(r Report, now time.Time) Permit {
	p := Permit{Mode: safeMode(r), Lease: lease}
	s := c.servers[r.Server]
	switch c.outcome {
	case Succeeded:
		if c.recorded() {
			p.Outcome, p.Recorded = Succeeded, true
		}
		p.Mode = movedMode(r)
		return p
	case RolledBack:
		s.granted = r.Admitted
		p.Outcome, p.Recorded = RolledBack, c.recorded()
		return p
	}
	switch {
	case !c.closedAt.IsZero():
		p.Mode = movedMode(r)
	case !r.NewVersion || !c.loaded:
	case !c.openedAt.IsZero():
		p.Mode = Open
	case slices.Contains(c.onTrial(now), s):
		p.Mode, p.AdmitUpTo = Limited, c.grant(s)
	}
	return p
}

// movedMode returns the mode after the move: Open for the new version, Closed for the old one.
func movedMode(r Report) Mode {
	if r.NewVersion {
		return Open
	}
	return Closed
}

// recorded reports whether the current outcome is recorded in the directory, where it outlives
// all daemons, and reported to the operator.
func (c *active) recorded() bool { return c.told && c.toldOutcome == c.outcome }

// candidates returns the live servers of the new version without suspects, in a stable order.
func (c *active) candidates(now time.Time) []*server {
	list := slices.DeleteFunc(c.alive(true, now), func(s *server) bool { return s.suspect })
	slices.SortFunc(list, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Server.Host, b.Server.Host),
			cmp.Compare(a.Server.Boot, b.Server.Boot), cmp.Compare(a.Server.Instance, b.Server.Instance))
	})
	return list
}

// onTrial returns the servers of the new version that receive calls before the move. Their
// number is chosen so that the bound on calls gives each about the load that it will have
// after the move, and a version that fails under load fails in the trial. If the bound is too
// low for two servers, a single server is on trial at a time.
func (c *active) onTrial(now time.Time) []*server {
	fresh, old := c.candidates(now), c.alive(false, now)
	n := int(trialShare * c.opts.MaxShare * float64(len(old)))
	if n > 1 || len(fresh) < 2 {
		return fresh[:min(max(n, 1), len(fresh))]
	}
	i := int(turns*now.Sub(c.begun)/c.order.Duration) % len(fresh)
	return fresh[i : i+1]
}

// grant returns the limit of Report.Admitted for the next permit of a server on trial: twice
// the calls that it admitted since the previous permit, and at least minGrant. The grants of
// all servers together, whether used or not, stay within trialBound.
func (c *active) grant(s *server) uint64 {
	spent := float64(s.Admitted)
	for _, o := range c.servers {
		if o != s && o.NewVersion {
			spent += float64(max(o.Admitted, o.granted))
		}
	}
	want := max(2*float64(s.Admitted-min(s.base, s.Admitted)), firstGrant)
	s.base = s.Admitted
	s.granted = s.Admitted + uint64(min(want, max(c.trialBound()-spent, 0)))
	return s.granted
}
