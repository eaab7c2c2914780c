package rollout

import (
	"cmp"
	"slices"
	"time"
)

// permit returns what a gate may do from now on.
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

// movedMode opens the new version's gate and closes the old one's.
func movedMode(r Report) Mode {
	if r.NewVersion {
		return Open
	}
	return Closed
}

// recorded reports whether the outcome is where it outlives all daemons.
func (c *active) recorded() bool { return c.told && c.toldOutcome == c.outcome }

// candidates returns the servers of the new version that may be put on trial, in an order
// that stays.
func (c *active) candidates(now time.Time) []*server {
	list := slices.DeleteFunc(c.alive(true, now), func(s *server) bool { return s.suspect })
	slices.SortFunc(list, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Server.Host, b.Server.Host),
			cmp.Compare(a.Server.Boot, b.Server.Boot), cmp.Compare(a.Server.Instance, b.Server.Instance))
	})
	return list
}

// onTrial returns the servers of the new version that get calls before the move: as many as
// the bound leaves as many calls each as they would have after it, so that a version that is
// bad under load shows it.
func (c *active) onTrial(now time.Time) []*server {
	fresh, old := c.candidates(now), c.alive(false, now)
	n := int(trialShare * c.opts.MaxShare * float64(len(old)))
	if n > 1 || len(fresh) < 2 {
		return fresh[:min(max(n, 1), len(fresh))]
	}
	i := int(turns*now.Sub(c.begun)/c.order.Duration) % len(fresh)
	return fresh[i : i+1]
}

// grant returns how many calls a server on trial may have had by the end of its permit.
// What is granted to all of them stays below the bound on exposure, used or not.
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
