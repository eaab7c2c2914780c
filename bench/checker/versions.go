package checker

import (
	"cmp"
	"slices"
	"time"
)

// versions checks that no daemon goes back and that all have what was accepted
// in time.
func (c *check) versions() {
	c.fellByOwnWord()
	c.fellByAnswers()
	for host, due := range c.dueTimes() {
		c.late(host, due)
	}
	c.probes()
}

// fellByOwnWord goes by what daemons say. A daemon that has just started has
// nothing in force; from then on it may not be below what its host had, in this
// life or an earlier one.
func (c *check) fellByOwnWord() {
	type had struct {
		life            int
		inLife, highest uint64
	}
	hosts := map[string]*had{}
	for _, o := range c.Observations {
		h := hosts[o.Host]
		if h == nil {
			h = &had{}
			hosts[o.Host] = h
		}
		if o.Life != h.life {
			h.life, h.inLife = o.Life, 0
		}
		if o.Offset < h.inLife || o.Offset > 0 && o.Offset < h.highest {
			c.report(Fell, o.At, "host "+o.Host, "version %d in force in life %d after %d", o.Offset, o.Life, h.highest)
		}
		h.inLife = max(h.inLife, o.Offset)
		h.highest = max(h.highest, o.Offset)
	}
}

// served is one answer with the version that it was served with.
type served struct {
	target     string
	start, end time.Time
	offset     uint64
}

// fellByAnswers goes by what callers were served with: a call that began after
// another had ended, at the same daemon, may not be served with less.
func (c *check) fellByAnswers() {
	byTarget := map[string][]served{}
	for i := range c.Calls {
		for _, t := range c.Calls[i].Log {
			if t.Config > 0 {
				byTarget[t.Target] = append(byTarget[t.Target], served{t.Target, t.Start, t.End, t.Config})
			}
		}
	}
	for _, list := range byTarget {
		c.fellByAnswersOf(list)
	}
}

func (c *check) fellByAnswersOf(list []served) {
	byEnd := slices.Clone(list)
	slices.SortFunc(byEnd, func(a, b served) int { return a.end.Compare(b.end) })
	slices.SortFunc(list, func(a, b served) int { return a.start.Compare(b.start) })
	highest, ended := uint64(0), 0
	for _, s := range list {
		for ; ended < len(byEnd) && byEnd[ended].end.Before(s.start); ended++ {
			highest = max(highest, byEnd[ended].offset)
		}
		if s.offset < highest {
			c.report(Fell, s.end, "answers of "+s.target, "served with version %d after %d", s.offset, highest)
		}
	}
}

// due is a version with the time by which a host must have it in force.
type due struct {
	at     time.Time
	offset uint64
	id     string
}

// dueTimes works out for each host observed when each accepted version is due:
// at the end of the first stretch of InForceBound after the publish in which
// nothing kept the host from learning of it.
func (c *check) dueTimes() map[string][]due {
	hosts := map[string][]due{}
	for _, o := range c.Observations {
		hosts[o.Host] = nil
	}
	for host := range hosts {
		for _, p := range c.Publishes {
			if p.Outcome == Accepted {
				hosts[host] = append(hosts[host], due{c.dueAt(host, p.At), p.Offset, p.ID})
			}
		}
		slices.SortFunc(hosts[host], func(a, b due) int { return a.at.Compare(b.at) })
	}
	return hosts
}

func (c *check) dueAt(host string, accepted time.Time) time.Time {
	start := accepted
	for _, a := range c.absencesOf(host) {
		over := a.To
		if over.IsZero() {
			over = a.From.Add(forever)
		}
		if a.From.Before(start.Add(InForceBound)) && over.After(start) {
			start = over
		}
	}
	return start.Add(InForceBound)
}

// forever stands for the end of an absence that lasts.
const forever = 1000 * time.Hour

func (c *check) absencesOf(host string) []Absence {
	var list []Absence
	for _, a := range c.Absences {
		if a.Host == host || a.Host == "" {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b Absence) int { return a.From.Compare(b.From) })
	return list
}

// late checks a host's observations against what was due. A daemon without any
// version serves no older one; whether it comes back at all is for the trial to
// see.
func (c *check) late(host string, list []due) {
	var want due
	next := 0
	for _, o := range c.Observations {
		if o.Host != host || o.Offset == 0 || c.absent(host, o.Asked) {
			continue
		}
		for ; next < len(list) && list[next].at.Before(o.Asked); next++ {
			if list[next].offset > want.offset {
				want = list[next]
			}
		}
		if o.Offset < want.offset {
			c.report(Late, o.At, "host "+host+" publish "+want.id, "version %d in force, %d was due at %s",
				o.Offset, want.offset, want.at.Format("15:04:05.000"))
		}
	}
}

func (c *check) absent(host string, at time.Time) bool {
	for _, a := range c.Absences {
		if a.Host == host && !at.Before(a.From) && (a.To.IsZero() || at.Before(a.To)) {
			return true
		}
	}
	return false
}

// probes checks that each accepted publish can be felt by its customer.
func (c *check) probes() {
	published := map[string]Publish{}
	for _, p := range c.Publishes {
		if p.Outcome == Accepted && p.Customer != "" {
			published[p.Customer] = p
		}
	}
	known := map[[2]string]bool{}
	probes := slices.Clone(c.Probes)
	slices.SortStableFunc(probes, func(a, b Probe) int { return cmp.Or(a.Sent.Compare(b.Sent)) })
	for _, p := range probes {
		at := [2]string{p.Host, p.Customer}
		if !p.Unknown {
			known[at] = true
			continue
		}
		publish, ok := published[p.Customer]
		switch {
		case !ok || c.absent(p.Host, p.Sent):
		case known[at]:
			c.report(Reverted, p.Sent, "host "+p.Host+" publish "+publish.ID, "customer %s was known and is no longer", p.Customer)
		case p.Sent.After(c.dueAt(p.Host, publish.At)):
			c.report(Late, p.Sent, "host "+p.Host+" publish "+publish.ID, "customer %s is not known", p.Customer)
		}
	}
}
