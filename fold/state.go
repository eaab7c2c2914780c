// Package fold turns the records of the configuration stream into the state of
// the configuration. The rule is deterministic and uses neither clock nor I/O,
// so all daemons reach the same verdict on every record without voting.
package fold

import (
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/crocuscross/crocuscross/configpb"
)

// RuleVersion is the latest rule that this package knows.
const RuleVersion = 1

// ResourceKind is one of the three kinds of resource.
type ResourceKind uint8

// The resource kinds, in the order in which they are serialized.
const (
	KindService ResourceKind = iota + 1
	KindRoute
	KindContract
)

// String returns the name used in messages.
func (k ResourceKind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindRoute:
		return "route"
	case KindContract:
		return "contract"
	}
	return "unknown"
}

// Key names one resource.
type Key struct {
	Kind ResourceKind
	Name string
}

// String returns kind and name.
func (k Key) String() string { return k.Kind.String() + " " + k.Name }

// Entry is one resource in force. It is immutable.
type Entry struct {
	Key Key
	// Revision is the offset of the record that set the resource.
	Revision        uint64
	Author          string
	PublishedUnixMs int64
	Resource        *configpb.Resource
}

// Chain is the digest over all records up to an offset.
type Chain [sha256.Size]byte

// Verdict is what became of one publish.
type Verdict struct {
	PublishID string
	// Offset of the record that was decided on.
	Offset   uint64
	Accepted bool
	// Reasons tells why a publish was rejected.
	Reasons []string
}

// State is the fold of all records up to Offset. States are immutable; Apply
// returns a new one.
type State struct {
	Offset  uint64
	Chain   Chain
	entries map[Key]*Entry
	// verdicts of the latest publishes, oldest first.
	verdicts []Verdict
	// byPublish finds a verdict's offset by publish id.
	byPublish map[string]uint64
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{entries: map[Key]*Entry{}, byPublish: map[string]uint64{}}
}

// Get returns a resource in force, nil if there is none.
func (s *State) Get(k Key) *Entry { return s.entries[k] }

// Len returns the number of resources in force.
func (s *State) Len() int { return len(s.entries) }

// Entries returns the resources of one kind, sorted by name.
func (s *State) Entries(kind ResourceKind) []*Entry {
	var list []*Entry
	for k, e := range s.entries {
		if k.Kind == kind {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

// Verdict returns what became of a publish, if that is still remembered.
func (s *State) Verdict(publishID string) (Verdict, bool) {
	offset, ok := s.byPublish[publishID]
	if !ok {
		return Verdict{}, false
	}
	i, _ := slices.BinarySearchFunc(s.verdicts, offset, func(v Verdict, o uint64) int {
		return compareOffsets(v.Offset, o)
	})
	return s.verdicts[i], true
}

// next returns a copy of s that may be changed.
func (s *State) next() *State {
	return &State{
		Offset:    s.Offset,
		Chain:     s.Chain,
		entries:   maps.Clone(s.entries),
		verdicts:  slices.Clone(s.verdicts),
		byPublish: maps.Clone(s.byPublish),
	}
}
