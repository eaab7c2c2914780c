package snapshot

import (
	"cmp"
	"slices"
	"strings"
)

// noParent is the parent of a node whose prefix has no shorter prefix in the table.
const noParent = -1

// node is a prefix of a table and its value.
type node[T any] struct {
	prefix string
	value  T
	// parent is the index of the node with the longest prefix that is a proper prefix of this
	// one, or noParent.
	parent int
}

// table finds the longest matching prefix of a path. Its nodes are sorted by prefix in byte
// order.
type table[T any] []node[T]

// newTable sorts the nodes and sets their parents. The prefixes must be unique.
func newTable[T any](t table[T]) table[T] {
	slices.SortFunc(t, func(a, b node[T]) int { return cmp.Compare(a.prefix, b.prefix) })
	for i := range t {
		t[i].parent = t.ancestor(i-1, t[i].prefix)
	}
	return t
}

// find returns the node of the longest matching prefix of a path, nil if there is none. Every
// prefix that sorts between the longest match and the path begins with the longest match, so the
// search can start at the last node that does not sort after the path and follow the parents.
func (t table[T]) find(path string) *node[T] {
	lo, hi := 0, len(t)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if t[mid].prefix <= path {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	i := t.ancestor(lo-1, path)
	if i == noParent {
		return nil
	}
	return &t[i]
}

// ancestor returns the index of the first node that is a prefix of the path, starting at node i
// and following the parents, or noParent.
func (t table[T]) ancestor(i int, path string) int {
	for i != noParent && !strings.HasPrefix(path, t[i].prefix) {
		i = t[i].parent
	}
	return i
}
