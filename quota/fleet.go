package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/membership"
)

// fleet is what a membership view says about ownership, at one time.
type fleet struct {
	view *membership.View
	// candidates may own customers: members that are heard and not draining.
	candidates []candidate
	// known is the number of members, less those that left or have not been
	// heard for lossMemory.
	known int
	// heardShare of the known members, 0 to 1.
	heardShare float64
	// lostRegions are those of which no member is heard.
	lostRegions map[string]bool
	// isolated is whether at most half of the own region is heard.
	isolated bool
	// changesAt is when time alone will change the fleet; zero if it will not.
	changesAt time.Time
}

type candidate struct {
	hash   uint64
	member *membership.Member
}

// regionCount counts members of one region.
type regionCount struct{ known, heard int }

func newFleet(view *membership.View, now time.Time) *fleet {
	f := &fleet{view: view, lostRegions: map[string]bool{}}
	regions := map[string]regionCount{}
	heard := 0
	for _, m := range view.Members {
		if m.Liveness == membership.Left || forgotten(m, now) {
			continue
		}
		f.known++
		r := regions[m.Region]
		r.known++
		if f.hears(m, now) {
			heard++
			r.heard++
			if !m.Draining {
				f.candidates = append(f.candidates, candidate{xxhash.Sum64String(m.Host), m})
			}
		}
		regions[m.Region] = r
	}
	for name, r := range regions {
		if r.heard == 0 {
			f.lostRegions[name] = true
		}
	}
	f.heardShare = float64(heard) / float64(max(1, f.known))
	own := regions[view.Self.Region]
	f.isolated = own.known > 1 && own.heard*2 <= own.known
	return f
}

// hears reports whether the member counts as heard, and notes when that will
// change by itself.
func (f *fleet) hears(m *membership.Member, now time.Time) bool {
	switch m.Liveness {
	case membership.Alive:
		return true
	case membership.Suspect:
		end := m.Since.Add(suspectGrace)
		if !now.Before(end) {
			return false
		}
		if f.changesAt.IsZero() || end.Before(f.changesAt) {
			f.changesAt = end
		}
		return true
	}
	return false
}

func forgotten(m *membership.Member, now time.Time) bool {
	return m.Liveness != membership.Alive && now.Sub(m.Since) >= lossMemory
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

// runs reports whether a host is known to run the process named.
func (f *fleet) runs(host string, boot uint64) bool {
	m := f.view.Find(host)
	return m != nil && m.Boot == boot && m.Liveness != membership.Left
}

// moved reports whether a host runs another process than the one named, or the
// one named has said goodbye.
func (f *fleet) moved(host string, boot uint64) bool {
	m := f.view.Find(host)
	return m != nil && (m.Boot != boot && m.Liveness == membership.Alive || m.Boot == boot && m.Liveness == membership.Left)
}

// region returns the region of a host.
func (f *fleet) region(host string) string {
	if m := f.view.Find(host); m != nil {
		return m.Region
	}
	return ""
}

// lost reports whether a host is in a region that is taken to be cut off.
func (f *fleet) lost(host string) bool {
	if len(f.lostRegions) == 0 {
		return false
	}
	m := f.view.Find(host)
	return m != nil && f.lostRegions[m.Region]
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
