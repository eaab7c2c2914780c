package capacity

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportInterval is the time between two reports to the same receiver. It bounds what the
	// reports cost: some 40 bytes each.
	reportInterval = 200 * time.Millisecond
	// maxEntries bounds the zones in a report.
	maxEntries = 4
	// receiverTTL is how long a receiver is remembered, and the time between two removals of old
	// ones.
	receiverTTL = 10 * time.Second
)

// Entry is the use of a service in one availability zone as one daemon passes it to another.
type Entry struct {
	AvailabilityZone string
	Use              float64
	// Age is the mean age of the loads that the daemon has observed.
	Age time.Duration
}

// Report returns what this daemon has itself observed of a service, its own zone first, for
// another daemon. It returns nil if the receiver got a report less than 200 ms ago. What other
// daemons have passed on is left out, so that no report returns to its origin, and the age of each
// entry is that of the loads it is computed from.
func (z *Zones) Report(serviceName, receiver string) []Entry {
	if receiver == "" {
		return nil
	}
	now := z.opts.Now()
	z.mu.Lock()
	defer z.mu.Unlock()
	s, ok := z.services[serviceName]
	if last, sent := z.reportedAt[receiver]; !ok || sent && now.Sub(last) < reportInterval {
		return nil
	}
	z.pruneReceivers(now)
	z.reportedAt[receiver] = now
	var entries []Entry
	for name, zn := range s.zones {
		k, age := estimate(now, zn.observed)
		if k.Known {
			entries = append(entries, Entry{AvailabilityZone: name, Use: k.Use, Age: age})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(z.ownFirst(a, b), cmp.Compare(a.Use, b.Use), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone))
	})
	return entries[:min(len(entries), maxEntries)]
}

func (z *Zones) ownFirst(a, b Entry) int {
	switch own := z.opts.AvailabilityZone; {
	case a.AvailabilityZone == b.AvailabilityZone:
		return 0
	case a.AvailabilityZone == own:
		return -1
	case b.AvailabilityZone == own:
		return 1
	}
	return 0
}

// pruneReceivers removes receivers that have not got a report lately. The caller holds mu.
func (z *Zones) pruneReceivers(now time.Time) {
	if now.Sub(z.prunedAt) < receiverTTL {
		return
	}
	z.prunedAt = now
	for receiver, at := range z.reportedAt {
		if now.Sub(at) >= receiverTTL {
			delete(z.reportedAt, receiver)
		}
	}
}

// Learn adds an entry that the daemon on the host from has passed on. It replaces an older entry
// of that daemon about the zone.
func (z *Zones) Learn(serviceName, from string, e Entry) {
	if e.Age < 0 || e.Age >= reportTTL || e.AvailabilityZone == "" {
		return
	}
	at := z.opts.Now().Add(-e.Age)
	z.mu.Lock()
	defer z.mu.Unlock()
	zn := z.zone(serviceName, e.AvailabilityZone)
	if zn == nil || !at.After(zn.learned[from].at) {
		return
	}
	store(zn.learned, from, report{min(max(e.Use, 0), maxUse), at})
}
