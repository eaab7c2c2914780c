package fold

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
)

// MaxVerdicts bounds how many publishes are remembered for telling repeats. At
// 1,300 changes a day that is three days, far longer than a publisher repeats.
const MaxVerdicts = 4096

// ErrGap means that a record does not follow the state's offset.
var ErrGap = errors.New("record does not follow the state")

// UnknownRuleError means that a record needs a newer program. The state must
// stay before the record: guessing would make daemons differ.
type UnknownRuleError struct {
	Offset uint64
	Rule   uint32
}

// Error names the rule and the offset.
func (e *UnknownRuleError) Error() string {
	return fmt.Sprintf("record %d follows rule %d, this program knows rules up to %d", e.Offset, e.Rule, RuleVersion)
}

// Apply folds one record. It returns the new state and the verdict; a rejected
// or unreadable record moves the offset and changes no resource. The error is
// ErrGap or an *UnknownRuleError, and the state is then unchanged.
func Apply(s *State, offset uint64, data []byte) (*State, Verdict, error) {
	if offset != s.Offset+1 {
		return s, Verdict{}, errors.Wrapf(ErrGap, "record %d after state %d", offset, s.Offset)
	}
	var rec configpb.Record
	err := proto.Unmarshal(data, &rec)
	if err == nil && rec.GetRuleVersion() > RuleVersion {
		return s, Verdict{}, &UnknownRuleError{Offset: offset, Rule: rec.GetRuleVersion()}
	}
	n := s.next()
	n.Offset = offset
	n.Chain = s.Chain.extend(offset, data)
	if err != nil {
		return n, Verdict{Offset: offset, Reasons: []string{"the record cannot be read"}}, nil
	}
	return n, n.decide(&rec), nil
}

// decide applies a record's bundle if it is acceptable and remembers the verdict.
func (s *State) decide(rec *configpb.Record) Verdict {
	b := rec.GetBundle()
	v := Verdict{PublishID: b.GetPublishId(), Offset: s.Offset}
	if first, ok := s.Verdict(v.PublishID); ok {
		// A repeat after a lost answer: the first decision stands, and the
		// publisher is told that one.
		return first
	}
	v.Reasons = s.check(rec)
	v.Accepted = len(v.Reasons) == 0
	if v.Accepted {
		for _, c := range b.GetChanges() {
			s.set(b, c)
		}
	}
	if v.PublishID != "" {
		s.remember(v)
	}
	return v
}

func (s *State) set(b *configpb.Bundle, c *configpb.Change) {
	k, _ := KeyOf(c.GetResource())
	if c.GetDelete() {
		delete(s.entries, k)
		return
	}
	s.entries[k] = &Entry{
		Key:             k,
		Revision:        s.Offset,
		Author:          b.GetAuthor(),
		PublishedUnixMs: b.GetPublishedUnixMs(),
		Resource:        c.GetResource(),
	}
}

func (s *State) remember(v Verdict) {
	if len(s.verdicts) >= MaxVerdicts {
		delete(s.byPublish, s.verdicts[0].PublishID)
		s.verdicts = s.verdicts[1:]
	}
	s.verdicts = append(s.verdicts, v)
	s.byPublish[v.PublishID] = v.Offset
}

// extend chains the next record to the digest.
func (c Chain) extend(offset uint64, data []byte) Chain {
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

func compareOffsets(a, b uint64) int { return cmp.Compare(a, b) }

func compareEntries(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
}
