package capacity

import (
	"cmp"
	"slices"
)

// CountSpill counts a call that left its zone.
func (z *Zones) CountSpill(r Reason) { z.spills[r].Add(1) }

// Reasons returns the reasons why calls leave their zone.
func Reasons() []Reason { return []Reason{Relief, Probe, Refused, NoServer, Unknown} }

// ZoneUse is the use of a service in one availability zone.
type ZoneUse struct {
	Service, AvailabilityZone string
	Use                       float64
}

// Stats is the state of Zones for metrics.
type Stats struct {
	// Uses holds the uses that are known, by service and zone.
	Uses []ZoneUse
	// Spills counts the calls that left their zone, by reason. Calls that stayed are not counted.
	Spills map[Reason]int64
}

// Stats returns the current state.
func (z *Zones) Stats() Stats {
	z.mu.Lock()
	names := make([]string, 0, len(z.services))
	for name := range z.services {
		names = append(names, name)
	}
	z.mu.Unlock()
	st := Stats{Spills: make(map[Reason]int64)}
	for _, r := range Reasons() {
		st.Spills[r] = z.spills[r].Load()
	}
	for _, name := range names {
		for zone, k := range z.View(name).zones {
			st.Uses = append(st.Uses, ZoneUse{Service: name, AvailabilityZone: zone, Use: k.Use})
		}
	}
	slices.SortFunc(st.Uses, func(a, b ZoneUse) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	return st
}
