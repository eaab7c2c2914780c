package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/capacity"
)

// zoneTier holds the members of a tier by availability zone.
type zoneTier struct {
	local  []*member
	remote []remoteZone
}

// remoteZone holds the members of another availability zone.
type remoteZone struct {
	name    string
	members []*member
}

// splitByZone returns the members of each tier by availability zone.
func splitByZone(tiers []tier) []zoneTier {
	split := make([]zoneTier, len(tiers))
	for i, t := range tiers {
		byName := make(map[string][]*member)
		for _, group := range t {
			for _, m := range group {
				if m.local {
					split[i].local = append(split[i].local, m)
					continue
				}
				byName[m.server.AvailabilityZone] = append(byName[m.server.AvailabilityZone], m)
			}
		}
		for name, members := range byName {
			split[i].remote = append(split[i].remote, remoteZone{name, members})
		}
		slices.SortFunc(split[i].remote, func(a, b remoteZone) int { return cmp.Compare(a.name, b.name) })
	}
	return split
}

// candidates returns the zones outside the daemon's own for a decision.
func (t zoneTier) candidates(view *capacity.View) []capacity.Candidate {
	list := make([]capacity.Candidate, len(t.remote))
	for i, z := range t.remote {
		list[i] = capacity.Candidate{AvailabilityZone: z.name, Knowledge: view.Zone(z.name), Hop: time.Duration(z.members[0].hop * float64(time.Second))}
	}
	return list
}

// selection is the result of a choice.
type selection struct {
	member *member
	// reason says why the call leaves its zone, if it does.
	reason capacity.Reason
	// withheld is whether servers in other zones were left out because these zones are full.
	withheld bool
}

// chooseByZone returns the server for a call whose use of other zones depends on the capacity of
// the zones. In each tier a call stays in its own zone or goes to the zone that the rule selects.
// If no server there takes the call, the rule for refused calls applies. Where the use of the own
// zone is not known, or the own zone has no usable server, calls are placed by latency.
func (p *Picker) chooseByZone(plan *plan, opts PickOptions, now instant) selection {
	first := slices.IndexFunc(plan.byZone, func(t zoneTier) bool { return len(t.local) > 0 })
	if first < 0 {
		first = len(plan.tiers)
	}
	view := p.opts.Zones.View(plan.service)
	own := view.Zone(p.opts.AvailabilityZone)
	if first == 0 && (!own.Known || own.Stale || opts.Spill.ServiceTime <= 0) {
		return selection{member: p.chooseByLatency(plan, plan.tiers, opts, now), reason: capacity.Unknown}
	}
	if m := p.chooseByLatency(plan, plan.tiers[:first], opts, now); m != nil {
		return selection{member: m, reason: capacity.NoServer}
	}
	withheld := false
	for i, t := range plan.byZone[first:] {
		s := p.chooseInTier(plan, t, i == 0, own, view, opts, now)
		if s.member != nil {
			return s
		}
		withheld = withheld || s.withheld
	}
	return selection{withheld: withheld}
}

// chooseInTier applies the rule to one tier. Only in the first tier do calls leave for relief.
func (p *Picker) chooseInTier(plan *plan, t zoneTier, relief bool, own capacity.Knowledge, view *capacity.View, opts PickOptions, now instant) selection {
	others := t.candidates(view)
	if relief {
		if i, reason := opts.Spill.Choose(own, others, p.draw01); i >= 0 {
			if m := p.bestInZone(plan, t.remote[i].members, opts, now); m != nil {
				return selection{member: m, reason: reason}
			}
		}
	}
	if m := p.bestInZone(plan, t.local, opts, now); m != nil {
		return selection{member: m, reason: capacity.Stayed}
	}
	opts.Spill.Final = opts.Spill.Final || allExcluded(t.local, opts)
	var lowest selection
	lowestUse := 0.0
	for i, z := range t.remote {
		if !opts.Spill.MayTakeRefused(own.Use, others[i]) {
			lowest.withheld = true
			continue
		}
		use := others[i].Use
		if !others[i].Known {
			use = 1 // A zone that is known to have room is preferred.
		}
		if lowest.member != nil && use >= lowestUse {
			continue
		}
		if m := p.bestInZone(plan, z.members, opts, now); m != nil {
			lowest.member, lowest.reason, lowestUse = m, capacity.Refused, use
		}
	}
	return lowest
}

// allExcluded reports whether the call itself has been at all members, or must not go there for
// another reason than a reported wait.
func allExcluded(members []*member, opts PickOptions) bool {
	return !slices.ContainsFunc(members, func(m *member) bool { return !opts.excludesID(m.server.ID) })
}

func (o PickOptions) excludesID(id backend.ID) bool { return o.Exclude != nil && o.Exclude(id) }

// zoneDraws is the number of servers that are compared for a call that stays in a zone. It is as many
// as are compared by latency, two inside the zone and two outside.
const zoneDraws = 4

// bestInZone draws members at random and returns the one with the lowest cost, or nil if all are
// excluded.
func (p *Picker) bestInZone(plan *plan, members []*member, opts PickOptions, now instant) *member {
	var best *member
	var lowest float64
	exclude := opts.Exclude
	var drawn [zoneDraws]backend.ID
	for i := range zoneDraws {
		opts.Exclude = func(id backend.ID) bool {
			return slices.Contains(drawn[:i], id) || exclude != nil && exclude(id)
		}
		m := p.draw(members, nil, opts, now)
		if m == nil {
			break
		}
		drawn[i] = m.server.ID
		if cost := plan.costInZone(m, opts, now); best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}

// costInZone returns the cost of a call at a member, compared with others of its zone.
func (pl *plan) costInZone(m *member, opts PickOptions, now instant) float64 {
	if pl.speeds != nil {
		return pl.cost(m, opts, now)
	}
	return m.cost(pl, now)
}

// drawSteps is the resolution of a random draw between 0 and 1.
const drawSteps = 1 << 20

func (p *Picker) draw01() float64 { return float64(p.opts.Rand(drawSteps)) / drawSteps }
