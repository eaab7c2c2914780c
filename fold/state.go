// Package fold computes the configuration state from the records of the configuration stream. The
// fold is deterministic and uses neither a clock nor I/O, so all daemons reach the same verdict
// on every record without a consensus protocol.
package fold

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// RuleVersion is the latest rule version that this package implements. Any change of the meaning
// of a record, including a new field or a different limit, needs a new rule.
//
// The increase of MaxDocumentBytes above eventlog.MaxRecordBytes is an exception, although some
// programs still apply eventlog.MaxRecordBytes to documents. These programs check the size before
// the rule and would skip a record of a new rule as well. Moreover each reader, not the operator,
// sets the rule of a document's record, so readers of the two programs would pass on different
// records, with different chains, for one document. With one rule the chains agree, and a daemon
// that starts from the state of such a program checks the last record again (WithLastDocument).
const RuleVersion = APIKeyRule

// Rule versions. A record has the lowest one that is sufficient for it, so that older programs can
// fold as many records as possible.
const (
	BundleRule   = 1
	DocumentRule = 2
	RolloutRule  = 3
	// APIKeyRule is the rule of documents with accounts or public routes, and of API keys. A program
	// that does not implement it would serve calls without a key, and must stop before the record.
	APIKeyRule = 4
)

// ResourceKind is the kind of a resource.
type ResourceKind uint8

// The resource kinds, in the order in which they are serialized.
const (
	KindService ResourceKind = iota + 1
	KindRoute
	KindContract
	KindAPIKey
)

// kinds lists all resource kinds in serialization order.
var kinds = [...]ResourceKind{KindService, KindRoute, KindContract, KindAPIKey}

// String returns the name used in error texts and rejection reasons.
func (k ResourceKind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindRoute:
		return "route"
	case KindContract:
		return "contract"
	case KindAPIKey:
		return "API key"
	}
	return "unknown"
}

// Key identifies a resource.
type Key struct {
	Kind ResourceKind
	Name string
}

// String returns the kind and the name.
func (k Key) String() string { return k.Kind.String() + " " + k.Name }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Entry is a resource in force. It is immutable.
type Entry struct {
	Key Key
	// Revision is the offset of the record that set the resource.
	Revision        uint64
	Author          string
	PublishedUnixMs int64
	Resource        *configpb.Resource
}

// Chain is a hash chain over the records up to an offset. Two daemons with the same chain at an
// offset have folded the same records. A document or a rollout restarts the chain; see
// predecessor.
type Chain [sha256.Size]byte

// Extend returns the chain after one more record. A daemon that relays records uses it to compute
// the chain before the first of them.
func (c Chain) Extend(offset uint64, data []byte) Chain {
	c = c.predecessor(data)
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

// predecessor returns the chain that a record is hashed with. A document replaces all records
// before it and restarts the chain: a daemon that starts with the document, because the log has
// dropped the earlier records, then has the same chain as a daemon that folded them. A rollout
// restarts the chain as well, since some logs keep only the latest document and the latest
// rollouts.
func (c Chain) predecessor(data []byte) Chain {
	if hasField(data, documentField) || hasField(data, rolloutField) {
		return Chain{}
	}
	return c
}

// State is the result of folding all records up to Offset. States are immutable and share memory
// with their predecessors; Apply returns a new State.
type State struct {
	Offset uint64
	Chain  Chain

	// previous is the chain that the last record was hashed with.
	previous Chain
	// rule is the highest rule version among the folded records.
	rule    uint32
	entries cowMap[Key, *Entry]
	// bytes is the sum of entryBytes over all entries.
	bytes  int
	routes uniqueIndex
	keys   uniqueIndex
	recent recentHistory
	// document is the latest accepted document, nil if there is none.
	document *configpb.Document
	// rollouts maps each service to its latest order. The map is replaced, never modified.
	rollouts map[string]*configpb.RolloutOrder
}

// Empty returns the state before the first record.
func Empty() *State { return &State{} }

// EmptyAt returns the state before the first record of an epoch. The index of the offset is 0.
func EmptyAt(offset eventlog.Offset) *State { return &State{Offset: offset} }

// Get returns a resource in force, nil if there is none.
func (s *State) Get(k Key) *Entry {
	e, _ := s.entries.get(k)
	return e
}

// LastRecordIs reports whether data is the record that the state folded last. A log that lost its
// latest records and assigned their offsets again has a different record there. A daemon must
// check this before it folds further records of a log into a state, or it would mix two
// histories.
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

// Verdict returns the verdict on a publish if it is still stored.
func (s *State) Verdict(publishID string) (Verdict, bool) { return s.recent.verdict(publishID) }

// mutableCopy returns a copy that may be modified until it is shared.
func (s *State) mutableCopy() *State {
	n := *s
	n.entries = s.entries.fork()
	n.routes = s.routes.fork()
	n.keys = s.keys.fork()
	return &n
}

// put sets or replaces a resource. s must not be shared yet.
func (s *State) put(e *Entry) {
	s.remove(e.Key)
	s.entries.set(e.Key, e)
	s.bytes += entryBytes(e)
	if r := e.Resource.GetRoute(); r != nil {
		s.routes.add(r.GetName(), r.GetPathPrefix(), r.GetService())
	}
	if k := e.Resource.GetApiKey(); k != nil {
		s.keys.add(k.GetId(), string(k.GetDigest()), k.GetCustomer())
	}
}

// remove removes a resource if it exists. s must not be shared yet.
func (s *State) remove(k Key) {
	e := s.Get(k)
	if e == nil {
		return
	}
	s.entries.delete(k)
	s.bytes -= entryBytes(e)
	if r := e.Resource.GetRoute(); r != nil {
		s.routes.remove(r.GetName(), r.GetPathPrefix(), r.GetService())
	}
	if k := e.Resource.GetApiKey(); k != nil {
		s.keys.remove(k.GetId(), string(k.GetDigest()), k.GetCustomer())
	}
}
