// Package fold turns the records of the configuration stream into the state of
// the configuration. The rule is deterministic and uses neither clock nor I/O,
// so all daemons reach the same verdict on every record without voting.
package fold

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// RuleVersion is the latest rule that this package knows. Any change of what a
// record means, a new field or another bound included, needs a new rule.
//
// MaxDocumentBytes has none, though there are programs that hold documents against
// eventlog.MaxRecordBytes: these look at the size before the rule and would pass over a
// record of a new rule as well; and it is each reader, not the operator, that names
// the rule, so that readers of both programs would hand on different records, and
// chains, for one document. With one rule the chains agree, and a daemon that starts
// from the state of such a program looks at the record again (WithLastDocument).
const RuleVersion = RolloutRule

// The rules. Records carry the lowest one that suits them, so that an older
// program follows as far as it can.
const (
	BundleRule   = 1
	DocumentRule = 2
	RolloutRule  = 3
)

// ResourceKind is one of the three kinds of resource.
type ResourceKind uint8

// The resource kinds, in the order in which they are serialized.
const (
	KindService ResourceKind = iota + 1
	KindRoute
	KindContract
)

// kinds lists all kinds in serialization order.
var kinds = [...]ResourceKind{KindService, KindRoute, KindContract}

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

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Entry is one resource in force. It is immutable.
type Entry struct {
	Key Key
	// Revision is the offset of the record that set the resource.
	Revision        uint64
	Author          string
	PublishedUnixMs int64
	Resource        *configpb.Resource
}

// Chain is the digest over all records up to an offset. Two daemons with the
// same chain have folded the same records.
type Chain [sha256.Size]byte

// Extend returns the chain after one more record. Whoever passes records on
// uses it to tell the chain before the first of them.
func (c Chain) Extend(offset uint64, data []byte) Chain {
	c = c.before(data)
	h := sha256.New()
	h.Write(c[:])
	var o [8]byte
	binary.BigEndian.PutUint64(o[:], offset)
	h.Write(o[:])
	h.Write(data)
	var n Chain
	h.Sum(n[:0])
	return n
}

// before returns what a record is chained to. A document takes the place of all
// records before it and begins the chain anew: a daemon that starts with it, since
// the log no longer has those, is then at the same chain as one that folded them. So
// does a rollout, which stands beside documents in logs that keep the latest of each
// alone.
func (c Chain) before(data []byte) Chain {
	if holdsField(data, documentField) || holdsField(data, rolloutField) {
		return Chain{}
	}
	return c
}

// State is the fold of all records up to Offset. States are immutable and
// share what they have in common; Apply returns a new one.
type State struct {
	Offset uint64
	Chain  Chain

	// previous is the chain before the last record.
	previous Chain
	// rule is the highest rule version among the records folded.
	rule    uint32
	entries cowMap[Key, *Entry]
	// bytes is the sum of the entries' sizes, see entryBytes.
	bytes  int
	routes routeIndex
	recent recent
	// document is the latest one accepted.
	document *configpb.Document
	// rollouts holds the latest order for each service; it is replaced, never changed.
	rollouts map[string]*configpb.RolloutOrder
}

// Empty returns the state before the first record.
func Empty() *State { return &State{} }

// EmptyAt returns the state before the first record of an epoch, whose offset has index 0.
func EmptyAt(offset eventlog.Offset) *State { return &State{Offset: offset} }

// Get returns a resource in force, nil if there is none.
func (s *State) Get(k Key) *Entry {
	e, _ := s.entries.get(k)
	return e
}

// LastRecordIs reports whether data is the record that the state folded last. A log
// that lost its end and gave offsets out again holds another record there;
// whoever folds on from a state must ask first, or would mix two histories.
func (s *State) LastRecordIs(data []byte) bool {
	return s.Offset > 0 && s.previous.Extend(s.Offset, data) == s.Chain
}

// Len returns the number of resources in force.
func (s *State) Len() int { return s.entries.len() }

// Entries returns the resources of one kind, sorted by name.
func (s *State) Entries(kind ResourceKind) []*Entry {
	var list []*Entry
	for k, e := range s.entries.all() {
		if k.Kind == kind {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Entry) int { return compareKeys(a.Key, b.Key) })
	return list
}

// Verdict returns what became of a publish, if that is still remembered.
func (s *State) Verdict(publishID string) (Verdict, bool) { return s.recent.verdict(publishID) }

// next returns a copy that may be changed until it is handed out.
func (s *State) next() *State {
	n := *s
	n.entries = s.entries.fork()
	n.routes.byPrefix = s.routes.byPrefix.fork()
	n.routes.byService = s.routes.byService.fork()
	return &n
}

// put sets or replaces a resource. s must not have been handed out yet.
func (s *State) put(e *Entry) {
	s.remove(e.Key)
	s.entries.set(e.Key, e)
	s.bytes += entryBytes(e)
	if r := e.Resource.GetRoute(); r != nil {
		s.routes.add(r)
	}
}

// remove deletes a resource if it is there. s must not have been handed out
// yet.
func (s *State) remove(k Key) {
	e := s.Get(k)
	if e == nil {
		return
	}
	s.entries.delete(k)
	s.bytes -= entryBytes(e)
	if r := e.Resource.GetRoute(); r != nil {
		s.routes.remove(r)
	}
}
