package snapshot

import (
	"cmp"
	"slices"
	"strings"
)

// noParent marks a prefix that lies within no other.
const noParent = -1

// node is one prefix of a table.
type node struct {
	route Route
	// withheld is set where calls are refused until the route is in force.
	withheld bool
	// parent is the index of the longest shorter prefix, or noParent.
	parent int
}

// table finds the longest prefix of a path. Its nodes are sorted by prefix in
// byte order.
type table []node

// newTable takes the routes in force and the ones whose prefixes are refused.
// No prefix occurs twice.
func newTable(routes, withheld []Route) table {
	t := make(table, 0, len(routes)+len(withheld))
	for _, r := range routes {
		t = append(t, node{route: r, parent: noParent})
	}
	for _, r := range withheld {
		t = append(t, node{route: r, withheld: true, parent: noParent})
	}
	slices.SortFunc(t, func(a, b node) int { return cmp.Compare(a.route.PathPrefix, b.route.PathPrefix) })
	for i := 1; i < len(t); i++ {
		t[i].parent = t.ancestor(i-1, t[i].route.PathPrefix)
	}
	return t
}

// find returns the node of the longest prefix of a path, nil if there is none.
// All prefixes that sort between the one sought and the path begin with the one
// sought, so it is found among the last of them and its parents.
func (t table) find(path string) *node {
	lo, hi := 0, len(t)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if t[mid].route.PathPrefix <= path {
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
func (t table) ancestor(i int, path string) int {
	for i != noParent && !strings.HasPrefix(path, t[i].route.PathPrefix) {
		i = t[i].parent
	}
	return i
}
