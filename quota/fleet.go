package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/membership"
)

// fleet is the ownership state derived from a membership view at one point in time. Times are
// relative to the start of the Manager.
type fleet struct {
	view  *membership.View
	start time.Time
	at    time.Duration
	// candidates are the members that may own customers: those reachable and not draining.
	candidates []candidate
	// departed lists the candidates that have ceased to be ones within minSettleTime.
	departed []departure
	// reachable lists the processes of the members that count as reachable, and grownAt is when the
	// last one was added to them.
	reachable []holderID
	grownAt   time.Duration
	// metOffset is the latest configuration offset that another process had in force when it became
	// reachable for this one.
	metOffset uint64
	// metAt is when this process, which has started recently, met others that had been running before. Those
	// that do not know it yet have other owners for its customers. It is negative if there were none.
	metAt time.Duration
	// known is the number of members, except those that left or have been unreachable for
	// unreachableRetention.
	known int
	// reachableShare is the share of the known members that are reachable, from 0 to 1.
	reachableShare float64
	// partitionedRegions are the regions of which almost no member is reachable.
	partitionedRegions map[string]bool
	// rejoining maps each region that was partitioned to the time by which all of its
	// holders have reported.
	rejoining map[string]time.Duration
	// silent contains the members that may hold leases without having reported them, by host.
	silent map[string]silence
	// isolated is set if at most half of the daemon's own region is reachable.
	isolated bool
	// alone is set while this process, which has started recently, has not found most of the fleet.
	// Ledgers settle then: what hosts grant that are cut off and restart would add up over all of them.
	alone bool
	// changesAt is the time at which the fleet changes without a new view.
	changesAt time.Duration
}

type candidate struct {
	hash   uint64
	member *membership.Member
}

// departure is a former candidate, and when it ceased to be one.
type departure struct {
	candidate
	at time.Duration
}

// regionCount counts the members of one region.
type regionCount struct{ known, reachable int }

// newFleet derives a fleet from a view. prev is the previous fleet, or nil.
func newFleet(view *membership.View, start time.Time, now time.Duration, prev *fleet, opts Options) *fleet {
	f := &fleet{view: view, start: start, at: now, partitionedRegions: map[string]bool{}, silent: map[string]silence{}, changesAt: forever}
	regions := map[string]regionCount{}
	reachable := 0
	for _, m := range view.Members {
		if m.Liveness == membership.Left || f.expired(m) {
			continue
		}
		f.known++
		r := regions[m.Region]
		r.known++
		if f.isReachable(m) {
			reachable++
			r.reachable++
			f.reachable = append(f.reachable, holderID{m.Host, m.Boot})
			if !m.Draining {
				f.candidates = append(f.candidates, candidate{xxhash.Sum64String(m.Host), m})
			}
		}
		regions[m.Region] = r
	}
	for name, r := range regions {
		if partitionDivisor*r.reachable <= r.known {
			f.partitionedRegions[name] = true
		}
	}
	f.known += view.Missing
	f.reachableShare = float64(reachable) / float64(max(1, f.known))
	own := regions[view.Self.Region]
	own.known += view.Missing
	f.isolated = own.known > 1 && own.reachable*2 <= own.known
	f.alone = view.Missing > 0 && f.isolated && now < aloneTime
	if f.alone {
		f.changesAt = min(f.changesAt, aloneTime)
	}
	f.trackGrowth(prev)
	f.trackDepartures(prev)
	f.trackRejoining(prev, opts.rejoinTime())
	f.trackUnreachable(prev, opts.settleTime())
	return f
}

// trackGrowth records whether a process has become reachable since the previous fleet, and which offset
// it had in force.
func (f *fleet) trackGrowth(prev *fleet) {
	f.grownAt, f.metAt = f.at, -introductionTime
	known := map[holderID]bool{}
	if prev != nil {
		f.grownAt, f.metOffset, f.metAt = prev.grownAt, prev.metOffset, prev.metAt
		for _, id := range prev.reachable {
			known[id] = true
		}
	}
	for _, id := range f.reachable {
		if known[id] {
			continue
		}
		f.grownAt = f.at
		if m := f.view.Find(id.host); m != nil && m != f.view.Self {
			f.metOffset = max(f.metOffset, m.Offset)
			if f.metAt < 0 && f.since(m) < -introductionTime {
				f.metAt = f.at
			}
		}
	}
}

// introduced reports whether the other daemons have had time to learn of this process, and to take it for
// the owner of its customers.
func (f *fleet) introduced(now time.Duration) bool { return now-f.metAt >= introductionTime }

// trackDepartures records which candidates have ceased to be ones.
func (f *fleet) trackDepartures(prev *fleet) {
	if prev == nil {
		return
	}
	for _, d := range prev.departed {
		if f.at-d.at < minSettleTime {
			f.departed = append(f.departed, d)
		}
	}
	if f.sameOwners(prev) {
		return
	}
	current := make(map[holderID]bool, len(f.candidates))
	for _, c := range f.candidates {
		current[holderID{c.member.Host, c.member.Boot}] = true
	}
	for _, c := range prev.candidates {
		if !current[holderID{c.member.Host, c.member.Boot}] {
			f.departed = append(f.departed, departure{c, f.at})
		}
	}
}

// trackRejoining records which partitioned regions have become reachable again.
func (f *fleet) trackRejoining(prev *fleet, rejoinTime time.Duration) {
	if prev == nil {
		return
	}
	f.rejoining = map[string]time.Duration{}
	for region, until := range prev.rejoining {
		if f.at < until && !f.partitionedRegions[region] {
			f.rejoining[region] = until
		}
	}
	for region := range prev.partitionedRegions {
		if !f.partitionedRegions[region] {
			f.rejoining[region] = f.at + rejoinTime
		}
	}
}

// trackUnreachable records the members that may hold leases without having reported them: those
// that are unreachable, and for settleTime those that were and are the same process as before. A
// process that has started in the meantime holds nothing.
func (f *fleet) trackUnreachable(prev *fleet, settleTime time.Duration) {
	for _, m := range f.view.Members {
		if m.Liveness == membership.Left || f.expired(m) {
			continue
		}
		if !f.isReachable(m) {
			f.silent[m.Host] = silence{m.Boot, forever}
			continue
		}
		if prev == nil {
			continue
		}
		s, ok := prev.silent[m.Host]
		if !ok || s.boot != m.Boot {
			continue
		}
		until := min(s.until, f.at+settleTime)
		if f.at < until {
			f.silent[m.Host] = silence{m.Boot, until}
			f.changesAt = min(f.changesAt, until)
		}
	}
}

// silence is a process that may not have reported its leases, and until when.
type silence struct {
	boot  uint64
	until time.Duration
}

// allReported reports whether every process that may hold a lease has had time to report it.
func (f *fleet) allReported() bool { return len(f.silent) == 0 }

// since returns the time of the member's last state change.
func (f *fleet) since(m *membership.Member) time.Duration { return m.Since.Sub(f.start) }

// isReachable reports whether the member counts as reachable, and updates changesAt if that
// will change without a new view.
func (f *fleet) isReachable(m *membership.Member) bool {
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

func (f *fleet) expired(m *membership.Member) bool {
	return m.Liveness != membership.Alive && f.at-f.since(m) >= unreachableRetention
}

// owner returns the member that owns a customer, or nil if there is none.
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

// ownerJustLeft reports whether another candidate owned a customer until shortly before. Other daemons may
// still hold it for the owner, and it itself as well.
func (f *fleet) ownerJustLeft(customer string, now time.Duration) bool {
	h := xxhash.Sum64String(customer)
	self := mix(h ^ xxhash.Sum64String(f.view.Self.Host))
	return slices.ContainsFunc(f.departed, func(d departure) bool {
		return now-d.at < minSettleTime && mix(h^d.hash) > self
	})
}

// selfOwns reports whether this daemon owns a customer.
func (f *fleet) selfOwns(customer string) bool {
	o := f.owner(customer)
	return o != nil && o.Host == f.view.Self.Host
}

// sameOwners reports whether both fleets assign every customer to the same owner process.
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

// boot returns the boot ID of this daemon.
func (f *fleet) boot() uint64 { return f.view.Self.Boot }

// runs reports whether a process is known to be running.
func (f *fleet) runs(id holderID) bool {
	m := f.view.Find(id.host)
	return m != nil && m.Boot == id.boot && m.Liveness != membership.Left
}

// replaced reports whether the host of a process runs a different process, or the process has
// left.
func (f *fleet) replaced(id holderID) bool {
	m := f.view.Find(id.host)
	return m != nil && (m.Boot != id.boot && m.Liveness == membership.Alive || m.Boot == id.boot && m.Liveness == membership.Left)
}

// region returns the region of a host, or "" if the host is not in the view.
func (f *fleet) region(host string) string {
	if m := f.view.Find(host); m != nil {
		return m.Region
	}
	return ""
}

// partitioned reports whether a host is unreachable and in a region that is treated as
// partitioned.
func (f *fleet) partitioned(host string) bool {
	if len(f.partitionedRegions) == 0 {
		return false
	}
	m := f.view.Find(host)
	return m != nil && f.partitionedRegions[m.Region] && !f.isReachable(m)
}

// rejoins reports whether a host that has just sent a request is in a region that is
// partitioned or was until recently.
func (f *fleet) rejoins(host string, now time.Duration) bool {
	if len(f.rejoining) == 0 && len(f.partitionedRegions) == 0 {
		return false
	}
	region := f.region(host)
	return f.partitionedRegions[region] || now < f.rejoining[region]
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
