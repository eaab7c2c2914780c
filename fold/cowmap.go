package fold

import (
	"hash/maphash"
	"iter"
	"maps"
)

// cowShards is the number of shards of a cowMap. More shards make the copy of one shard on a
// change cheaper and the copy of the shard array for a new state more expensive. cowMap.owned has
// one bit for each shard.
const cowShards = 64

// shardSeed differs between processes. It determines in which shard a key is stored, never the
// contents of a map.
var shardSeed = maphash.MakeSeed()

// cowMap is a copy-on-write map. Copies made by fork share their shards; the first change to a
// shard copies it, so the other copies keep their contents. The zero value is an empty map.
type cowMap[K comparable, V any] struct {
	shards [cowShards]map[K]V
	// owned has a bit set for each shard that is not shared with another copy.
	owned uint64
	n     int
}

// fork returns a copy that may be modified. m itself must not be modified any more.
func (m *cowMap[K, V]) fork() cowMap[K, V] {
	c := *m
	c.owned = 0
	return c
}

func shardOf[K comparable](k K) uint64 { return maphash.Comparable(shardSeed, k) % cowShards }

func (m *cowMap[K, V]) len() int { return m.n }

func (m *cowMap[K, V]) get(k K) (V, bool) {
	v, ok := m.shards[shardOf(k)][k]
	return v, ok
}

func (m *cowMap[K, V]) set(k K, v V) {
	shard := m.writableShard(k)
	if _, ok := shard[k]; !ok {
		m.n++
	}
	shard[k] = v
}

func (m *cowMap[K, V]) delete(k K) {
	if _, ok := m.get(k); !ok {
		return
	}
	delete(m.writableShard(k), k)
	m.n--
}

// writableShard returns the shard of a key for writing. It copies the shard first if it is
// shared.
func (m *cowMap[K, V]) writableShard(k K) map[K]V {
	i := shardOf(k)
	if m.owned&(1<<i) != 0 {
		return m.shards[i]
	}
	shard := maps.Clone(m.shards[i])
	if shard == nil {
		shard = make(map[K]V)
	}
	m.shards[i] = shard
	m.owned |= 1 << i
	return shard
}

// all yields the entries in no particular order.
func (m *cowMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, shard := range m.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}
