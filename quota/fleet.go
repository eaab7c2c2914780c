package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/membership"
)

// fleet is what a membership view says about ownership, at one time. Times are
// counted from the start of the Manager.
type fleet struct {
	view  *membership.View
	start time.Time
	at    time.Duration
	// candidates may own customers: members that are heard and not draining.
	candidates []candidate
	// known is the number of members, less those that left or have not been
	// heard for lossMemory.
	known int
	// heardShare of the known members, 0 to 1.
	heardShare float64
	// lostRegions are those of which next to no member is heard.
	lostRegions map[string]bool
	// rejoining are regions that were lost, with the time at which all of their
	// holders have reported.
	rejoining map[string]time.Duration
	// isolated is whether at most half of the own region is heard.
	isolated bool
	// changesAt is when time alone will change the fleet.
	changesAt time.Duration
}

type candidate struct {
	hash   uint64
	member *membership.Member
}

// regionCount counts members of one region.
type regionCount struct{ known, heard int }

// newFleet reads a view. prev is the fleet before, nil if there is none;
// rejoinTime is how long a region that was lost is rejoining.
func newFleet(view *membership.View, start time.Time, now time.Duration, prev *fleet, rejoinTime time.Duration) *fleet {
	f := &fleet{view: view, start: start, at: now, lostRegions: map[string]bool{}, changesAt: forever}
	regions := map[string]regionCount{}
	heard := 0
	for _, m := range view.Members {
		if m.Liveness == membership.Left || f.forgotten(m) {
			continue
		}
		f.known++
		r := regions[m.Region]
		r.known++
		if f.hears(m) {
			heard++
			r.heard++
			if !m.Draining {
				f.candidates = append(f.candidates, candidate{xxhash.Sum64String(m.Host), m})
			}
		}
		regions[m.Region] = r
	}
	for name, r := range regions {
		if lostShare*r.heard <= r.known {
			f.lostRegions[name] = true
		}
	}
	f.heardShare = float64(heard) / float64(max(1, f.known))
	own := regions[view.Self.Region]
	f.isolated = own.known > 1 && own.heard*2 <= own.known
	f.follow(prev, rejoinTime)
	return f
}

// follow notes which regions are heard again.
func (f *fleet) follow(prev *fleet, rejoinTime time.Duration) {
	if prev == nil {
		return
	}
	f.rejoining = map[string]time.Duration{}
	for region, until := range prev.rejoining {
		if f.at < until && !f.lostRegions[region] {
			f.rejoining[region] = until
		}
	}
	for region := range prev.lostRegions {
		if !f.lostRegions[region] {
			f.rejoining[region] = f.at + rejoinTime
		}
	}
}

// since returns when the member's state changed last.
func (f *fleet) since(m *membership.Member) time.Duration { return m.Since.Sub(f.start) }

// hears reports whether the member counts as heard, and notes when that will
// change by itself.
func (f *fleet) hears(m *membership.Member) bool {
	switch m.Liveness {
	case membership.Alive:
		return true
	case membership.Suspect:
		end := f.since(m) + suspectGrace
		if f.at >= end {
			return false
		}
		f.changesAt = min(f.changesAt, end)
		return true
	}
	return false
}

func (f *fleet) forgotten(m *membership.Member) bool {
	return m.Liveness != membership.Alive && f.at-f.since(m) >= lossMemory
}

// owner returns the member that owns a customer, nil if there is none.
func (f *fleet) owner(customer string) *membership.Member {
	h := xxhash.Sum64String(customer)
	var best *membership.Member
	var bestScore uint64
	for _, c := range f.candidates {
		score := mix(h ^ c.hash)
		if best == nil || score > bestScore {
			best, bestScore = c.member, score
		}
	}
	return best
}

// ownsSelf reports whether this daemon owns a customer.
func (f *fleet) ownsSelf(customer string) bool {
	o := f.owner(customer)
	return o != nil && o.Host == f.view.Self.Host
}

// sameOwners reports whether both fleets give every customer the same owner
// process.
func (f *fleet) sameOwners(g *fleet) bool {
	if g == nil || len(f.candidates) != len(g.candidates) {
		return false
	}
	for i, c := range f.candidates {
		o := g.candidates[i]
		if c.hash != o.hash || c.member.Boot != o.member.Boot {
			return false
		}
	}
	return true
}

// boot returns the life of this daemon.
func (f *fleet) boot() uint64 { return f.view.Self.Boot }

// runs reports whether a process is known to run.
func (f *fleet) runs(id holderID) bool {
	m := f.view.Find(id.host)
	return m != nil && m.Boot == id.boot && m.Liveness != membership.Left
}

// moved reports whether a process's host runs another one, or the process has
// said goodbye.
func (f *fleet) moved(id holderID) bool {
	m := f.view.Find(id.host)
	return m != nil && (m.Boot != id.boot && m.Liveness == membership.Alive || m.Boot == id.boot && m.Liveness == membership.Left)
}

// region returns the region of a host.
func (f *fleet) region(host string) string {
	if m := f.view.Find(host); m != nil {
		return m.Region
	}
	return ""
}

// lost reports whether a host is not heard and in a region that is taken to be
// cut off.
func (f *fleet) lost(host string) bool {
	if len(f.lostRegions) == 0 {
		return false
	}
	m := f.view.Find(host)
	return m != nil && f.lostRegions[m.Region] && !f.hears(m)
}

// rejoins reports whether a host that was just heard from is in a region that
// was lost until now or lately.
func (f *fleet) rejoins(host string, now time.Duration) bool {
	if len(f.rejoining) == 0 && len(f.lostRegions) == 0 {
		return false
	}
	region := f.region(host)
	return f.lostRegions[region] || now < f.rejoining[region]
}

// mix spreads a hash over all bits (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
