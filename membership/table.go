package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts of the table that have their own digest. Two daemons whose
// tables differ in one member exchange one bucket: at 910 members, 14 records instead of 910, at
// the cost of 512 bytes of digests.
const bucketCount = 64

// digests holds, for each bucket, the XOR of the digests of its usable members. Tombstones are
// excluded, since daemons expire them at different times.
type digests [bucketCount]uint64

// sum returns the digest of the whole table.
func (d *digests) sum() uint64 {
	var s uint64
	for _, b := range d {
		s ^= b
	}
	return s
}

// toggle adds the digest of an entry, or removes it if it is included.
func (d *digests) toggle(e *entry) { d[bucketOf(e.host)] ^= e.digest }

// differing returns the buckets in which two tables differ, and whether there are any.
func (d *digests) differing(o *digests) (buckets [bucketCount]bool, differ bool) {
	for i := range d {
		buckets[i] = d[i] != o[i]
		differ = differ || buckets[i]
	}
	return buckets, differ
}

func bucketOf(host string) int { return int(xxhash.Sum64String(host) % bucketCount) }

// table holds the entries of all hosts and their digests. It uses neither a clock nor I/O.
type table struct {
	limit   int
	byHost  map[string]*entry
	order   []*entry // sorted by host
	digests digests
	// usable and suspects count entries.
	usable   int
	suspects int
	// zones summarizes the usable members of each availability zone.
	zones map[string]zoneSummary
}

// zoneSummary summarizes the usable members of one availability zone whose info is known.
type zoneSummary struct {
	usable int
	// digest is the XOR of the members' digests, 0 if there are no members.
	digest uint64
}

func newTable(limit int) *table {
	return &table{limit: limit, byHost: make(map[string]*entry), zones: make(map[string]zoneSummary)}
}

func (t *table) get(host string) *entry { return t.byHost[host] }

// merge merges a record into the entry of its host. The entry is nil if the table is full.
func (t *table) merge(r *record) (*entry, change) {
	e, known := t.byHost[r.host]
	if !known {
		if len(t.order) >= t.limit {
			return nil, 0
		}
		e = t.insert(r.host)
	}
	before := e.state
	c := e.merge(r)
	if c != 0 {
		e.member = nil
	}
	if c&(changedState|changedInfo) != 0 {
		t.recount(before, e)
	}
	if e.usable() && !before.usable() {
		c |= appeared
	}
	return e, c
}

func (t *table) insert(host string) *entry {
	e := &entry{host: host}
	t.insertEntry(e)
	return e
}

// addEntry adds an entry that was created elsewhere.
func (t *table) addEntry(e *entry) {
	t.insertEntry(e)
	t.recount(state{}, e)
}

func (t *table) insertEntry(e *entry) {
	i, _ := t.find(e.host)
	t.order = slices.Insert(t.order, i, e)
	t.byHost[e.host] = e
}

func (t *table) find(host string) (int, bool) {
	return slices.BinarySearchFunc(t.order, host, func(e *entry, h string) int { return cmp.Compare(e.host, h) })
}

// remove removes a tombstone.
func (t *table) remove(e *entry) {
	if i, ok := t.find(e.host); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
	delete(t.byHost, e.host)
}

// recount updates the counts and digests after an entry has changed.
func (t *table) recount(before state, e *entry) {
	t.usable += count(e.usable()) - count(before.usable())
	t.suspects += count(e.liveness == Suspect) - count(before.liveness == Suspect)
	t.digests.toggle(e)
	t.countZone(e, -1)
	e.digest = 0
	if e.usable() {
		e.digest = digestOf(e)
	}
	t.digests.toggle(e)
	e.zone, e.counted = e.availabilityZone(), e.usable() && e.info != nil
	t.countZone(e, 1)
}

// countZone adds an entry to the summary of its zone (by is 1) or removes it (by is -1).
func (t *table) countZone(e *entry, by int) {
	if !e.counted {
		return
	}
	z := t.zones[e.zone]
	z.usable += by
	z.digest ^= e.digest
	if z.usable == 0 {
		delete(t.zones, e.zone)
		return
	}
	t.zones[e.zone] = z
}

// zoneDigests returns the digests by bucket of the members of one availability zone.
func (t *table) zoneDigests(zone string) *digests {
	var d digests
	for _, e := range t.order {
		if e.counted && e.zone == zone {
			d.toggle(e)
		}
	}
	return &d
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func digestOf(e *entry) uint64 {
	b := make([]byte, 0, 2*maxNameBytes)
	b = append(b, e.host...)
	b = binary.LittleEndian.AppendUint64(b, e.boot)
	b = binary.LittleEndian.AppendUint64(b, e.incarnation)
	b = append(b, byte(e.liveness))
	if e.info != nil {
		b = binary.LittleEndian.AppendUint64(b, e.info.revision)
		b = binary.LittleEndian.AppendUint64(b, e.info.boot)
	}
	return xxhash.Sum64(b)
}

// expire removes and returns the tombstones that are older than the retention.
func (t *table) expire(now time.Time, retention time.Duration) []*entry {
	var old []*entry
	for _, e := range t.order {
		if !e.usable() && now.Sub(e.since) > retention {
			old = append(old, e)
		}
	}
	for _, e := range old {
		t.remove(e)
	}
	return old
}

// sampleZones returns up to n random matching entries of each availability zone.
func (t *table) sampleZones(rng *rand.Rand, n int, match func(*entry) bool) []*entry {
	byZone := make(map[string][]*entry, len(t.zones))
	for _, e := range t.order {
		if match(e) {
			zone := e.availabilityZone()
			byZone[zone] = append(byZone[zone], e)
		}
	}
	var picked []*entry
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		members := byZone[zone]
		rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		picked = append(picked, members[:min(n, len(members))]...)
	}
	return picked
}

// sample returns up to n random matching entries.
func (t *table) sample(rng *rand.Rand, n int, match func(*entry) bool) []*entry {
	picked := make([]*entry, 0, n)
	seen := 0
	for _, e := range t.order {
		if !match(e) {
			continue
		}
		seen++
		if len(picked) < n {
			picked = append(picked, e)
		} else if i := rng.IntN(seen); i < n {
			picked[i] = e
		}
	}
	return picked
}
