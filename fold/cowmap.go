package fold

import (
	"hash/maphash"
	"iter"
	"maps"
)

// cowShards is a compromise: a change copies one shard, a new state copies the
// array of shards. There is one bit for each in cowMap.owned.
const cowShards = 64

// shardSeed differs between processes. Only the place of a key depends on it,
// never what a map holds.
var shardSeed = maphash.MakeSeed()

// cowMap is a map whose copies share their shards. The first change to a shard
// replaces it, so a copy made by fork keeps its content. The zero value is
// empty.
type cowMap[K comparable, V any] struct {
	shards [cowShards]map[K]V
	// owned has a bit set for each shard that no other copy has.
	owned uint64
	n     int
}

// fork returns a copy that may be changed; m itself must not be any more.
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
	shard := m.own(k)
	if _, ok := shard[k]; !ok {
		m.n++
	}
	shard[k] = v
}

func (m *cowMap[K, V]) delete(k K) {
	if _, ok := m.get(k); !ok {
		return
	}
	delete(m.own(k), k)
	m.n--
}

// own returns the key's shard for writing, after copying it if it is shared.
func (m *cowMap[K, V]) own(k K) map[K]V {
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
