package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// knowledge is what this process knows of the fleet apart from its table. The table of a process that has
// just started is empty: a process that took it for the fleet would act for all hosts while it is cut
// off from them.
type knowledge struct {
	startedAt time.Time
	// fleet is set once the table is that of the fleet: a daemon that knew the fleet has sent its table,
	// or the hosts found are most of those that the directory names.
	fleet bool
	// directory is whether hosts is known.
	directory bool
	// hosts contains the digests of the hosts that the platform's directory names.
	hosts []uint64
}

// HostDigest returns the digest of a host name for SetDirectoryHosts.
func HostDigest(host string) uint64 { return xxhash.Sum64String(host) }

// SetDirectoryHosts sets the hosts that the platform's directory names, by their digests. Those that are
// neither members nor known to have left count as missing until this process knows the fleet.
func (m *Membership) SetDirectoryHosts(digests []uint64) {
	m.update(func(now time.Time) {
		m.knowledge.directory, m.knowledge.hosts = true, slices.Clone(digests)
		m.markChanged(now)
		m.reviewKnowledge(now)
	})
}

// DirectoryHosts returns what was passed to SetDirectoryHosts last.
func (m *Membership) DirectoryHosts() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knowledge.hosts
}

// missing returns View.Missing.
func (m *Membership) missing() int {
	if m.knowledge.fleet {
		return 0
	}
	return max(m.missingHosts(), 1)
}

// missingHosts returns the number of hosts that the directory names and the table lacks.
func (m *Membership) missingHosts() int {
	found := make(map[uint64]bool, len(m.table.order)+1)
	found[HostDigest(m.self.host)] = true
	for _, e := range m.table.order {
		found[HostDigest(e.host)] = true
	}
	n := 0
	for _, h := range m.knowledge.hosts {
		if !found[h] {
			n++
		}
	}
	return n
}

// reviewKnowledge decides whether this process knows the fleet without having met a daemon that does: it has
// found more than half of the hosts that the directory names, as after a power loss of the whole fleet, or
// has looked for them for as long as a partition is assumed to last.
func (m *Membership) reviewKnowledge(now time.Time) {
	k := &m.knowledge
	if k.fleet {
		return
	}
	if now.Sub(k.startedAt) >= m.opts.PartitionTimeout {
		m.learnFleet(now)
		return
	}
	if !k.directory || !m.announced {
		return
	}
	usable, absent := 0, 0
	for _, e := range m.table.order {
		usable += count(e.usable())
		absent += count(!e.usable() && e.liveness != Left)
	}
	if usable > absent+m.missingHosts() {
		m.learnFleet(now)
	}
}

// learnFleet records that the table is that of the fleet.
func (m *Membership) learnFleet(now time.Time) {
	if m.knowledge.fleet {
		return
	}
	m.log.Info("membership: fleet known", "members", m.table.usable, "missing", m.missingHosts(), "after", now.Sub(m.knowledge.startedAt))
	m.knowledge.fleet = true
	m.markChanged(now)
}
