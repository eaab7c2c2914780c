package checker

import (
	"maps"
	"time"
)

// configuration checks that bundles are applied whole, the same everywhere, and
// stay.
func (c *check) configuration() {
	c.diverged()
	for _, p := range c.Publishes {
		for i := range c.States {
			c.whole(&p, &c.States[i])
		}
	}
	c.races()
}

// diverged compares the daemons at each version.
func (c *check) diverged() {
	first := map[uint64]*State{}
	for i := range c.States {
		s := &c.States[i]
		f := first[s.Offset]
		if f == nil {
			first[s.Offset] = s
			continue
		}
		if f.Chain != s.Chain || !maps.Equal(f.Revisions, s.Revisions) {
			c.report(Diverged, s.At, "host "+s.Host, "other configuration than host %s at version %d", f.Host, s.Offset)
		}
	}
}

// whole compares one daemon's configuration with one bundle.
func (c *check) whole(p *Publish, s *State) {
	if p.Offset == 0 {
		return
	}
	set, reached := 0, 0
	for _, name := range p.Resources {
		if s.Revisions[name] == p.Offset {
			set++
		}
		if s.Revisions[name] >= p.Offset {
			reached++
		}
	}
	subject := "host " + s.Host + " publish " + p.ID
	switch {
	case p.Outcome == Rejected && set > 0:
		c.report(HalfApplied, s.At, subject, "%d of %d resources of the rejected bundle are in force", set, len(p.Resources))
	case set > 0 && reached < len(p.Resources):
		c.report(HalfApplied, s.At, subject, "%d of %d resources are in force at version %d", reached, len(p.Resources), s.Offset)
	case p.Outcome == Accepted && s.Offset >= p.Offset && reached < len(p.Resources):
		c.report(Reverted, s.At, subject, "%d of %d resources are in force at version %d", reached, len(p.Resources), s.Offset)
	}
}

// races checks that each race had one winner.
func (c *check) races() {
	type result struct {
		accepted, told int
		at             time.Time
	}
	results := map[string]result{}
	for _, p := range c.Publishes {
		if p.Race == "" {
			continue
		}
		r := results[p.Race]
		r.told++
		if p.Outcome == Accepted {
			r.accepted++
		}
		r.at = p.At
		results[p.Race] = r
	}
	for name, r := range results {
		if r.accepted != 1 {
			c.report(Race, r.at, "race "+name, "%d of %d operators were told that theirs was accepted", r.accepted, r.told)
		}
	}
}
