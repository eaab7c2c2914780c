package snapshot

import (
	"cmp"
	"slices"
	"strings"
)

// noParent marks a prefix that lies within no other.
const noParent = -1

// node is one prefix of a table.
type node[T any] struct {
	prefix string
	value  T
	// parent is the index of the longest shorter prefix, or noParent.
	parent int
}

// table finds the longest prefix of a path. Its nodes are sorted by prefix in
// byte order.
type table[T any] []node[T]

// newTable links the nodes given, which need no parent yet. No prefix occurs
// twice.
func newTable[T any](t table[T]) table[T] {
	slices.SortFunc(t, func(a, b node[T]) int { return cmp.Compare(a.prefix, b.prefix) })
	for i := range t {
		t[i].parent = t.ancestor(i-1, t[i].prefix)
	}
	return t
}

// find returns the node of the longest prefix of a path, nil if there is none.
// All prefixes that sort between the one sought and the path begin with the one
// sought, so it is found among the last of them and its parents.
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

// ancestor returns the first of a node and its parents that is a prefix of a
// path, or noParent.
func (t table[T]) ancestor(i int, path string) int {
	for i != noParent && !strings.HasPrefix(path, t[i].prefix) {
		i = t[i].parent
	}
	return i
}
