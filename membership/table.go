package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is how many parts of the table have a digest of their own. Two
// daemons that differ in one member exchange one bucket: at 910 members 14
// records in place of 910, for 512 bytes of digests.
const bucketCount = 64

// digests holds the exclusive or of the digests of the usable members by
// bucket. Tombstones stay out, since daemons forget them at different times.
type digests [bucketCount]uint64

// sum returns the digest of the whole table.
func (d *digests) sum() uint64 {
	var s uint64
	for _, b := range d {
		s ^= b
	}
	return s
}

// differing returns the buckets in which two tables differ.
func (d *digests) differing(o *digests) (buckets [bucketCount]bool, differ bool) {
	for i := range d {
		buckets[i] = d[i] != o[i]
		differ = differ || buckets[i]
	}
	return buckets, differ
}

func bucketOf(host string) int { return int(xxhash.Sum64String(host) % bucketCount) }

// table holds the entries of all hosts and the digests over them. It uses
// neither clock nor I/O.
type table struct {
	limit   int
	byHost  map[string]*entry
	order   []*entry // by host
	digests digests
	// usable and suspects count entries.
	usable   int
	suspects int
}

func newTable(limit int) *table {
	return &table{limit: limit, byHost: make(map[string]*entry)}
}

func (t *table) get(host string) *entry { return t.byHost[host] }

// merge takes a record in. The entry is nil where the table has no room.
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
	t.place(e)
	return e
}

// adopt puts in an entry that was made elsewhere.
func (t *table) adopt(e *entry) {
	t.place(e)
	t.recount(state{}, e)
}

func (t *table) place(e *entry) {
	i, _ := t.find(e.host)
	t.order = slices.Insert(t.order, i, e)
	t.byHost[e.host] = e
}

func (t *table) find(host string) (int, bool) {
	return slices.BinarySearchFunc(t.order, host, func(e *entry, h string) int { return cmp.Compare(e.host, h) })
}

// remove forgets a tombstone.
func (t *table) remove(e *entry) {
	if i, ok := t.find(e.host); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
	delete(t.byHost, e.host)
}

// recount brings counts and digests up to date after an entry has changed.
func (t *table) recount(before state, e *entry) {
	t.usable += count(e.usable()) - count(before.usable())
	t.suspects += count(e.liveness == Suspect) - count(before.liveness == Suspect)
	t.digests[bucketOf(e.host)] ^= e.digest
	e.digest = 0
	if e.usable() {
		e.digest = digestOf(e)
	}
	t.digests[bucketOf(e.host)] ^= e.digest
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

// expire forgets the tombstones that are older than the retention.
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

// sample returns up to n random entries that match.
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
