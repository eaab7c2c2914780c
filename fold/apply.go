package fold

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// ErrGap means that the offset of a record is not the one that follows the state's offset.
var ErrGap = errors.New("record does not follow the state")

// UnknownRuleError means that a record requires a rule version that this program does not
// implement. The state must stay before the record: interpreting it by an older rule would make
// daemons diverge.
type UnknownRuleError struct {
	Offset uint64
	Rule   uint32
}

// Error names the offset and the rule version of the record and the highest supported version.
func (e *UnknownRuleError) Error() string {
	return fmt.Sprintf("record %d follows rule %d, this program supports rules up to %d", e.Offset, e.Rule, RuleVersion)
}

// Apply folds one record into a state and returns the new state and the verdict. A rejected or
// unreadable record advances the offset and changes no resource. The error is ErrGap or an
// *UnknownRuleError; the state is then returned unchanged.
func Apply(s *State, offset uint64, data []byte) (*State, Verdict, error) {
	if offset != s.Offset+1 {
		return s, Verdict{}, errors.Wrapf(ErrGap, "record %d, state at offset %d", offset, s.Offset)
	}
	rec, reason, err := readRecord(offset, data)
	if err != nil {
		return s, Verdict{}, err
	}
	n := s.mutableCopy()
	n.Offset = offset
	n.previous, n.Chain = s.Chain.predecessor(data), s.Chain.Extend(offset, data)
	n.recent.evictExpired(offset)
	if reason != "" {
		return n, Verdict{Offset: offset, Reasons: []string{reason}}, nil
	}
	n.rule = max(n.rule, rec.GetRuleVersion())
	switch {
	case rec.GetDocument() != nil && rec.GetRuleVersion() >= DocumentRule:
		return n, n.decideDocument(rec), nil
	case rec.GetRollout() != nil && rec.GetRuleVersion() >= RolloutRule:
		return n, n.decideRollout(rec.GetRollout()), nil
	}
	return n, n.decideBundle(rec), nil
}

// ApplyAll folds records in order and returns the verdict on each record that it folded. It skips
// records at or below the state's offset, so a delivery may be repeated or overlap an earlier
// one. It stops at the first record that Apply returns an error for and returns that error with
// the state reached so far.
func ApplyAll(s *State, records []eventlog.Record) (*State, []Verdict, error) {
	var verdicts []Verdict
	for _, r := range records {
		if r.Offset <= s.Offset {
			continue
		}
		next, v, err := Apply(s, r.Offset, r.Data)
		if err != nil {
			return s, verdicts, err
		}
		s = next
		verdicts = append(verdicts, v)
	}
	return s, verdicts, nil
}

// reasonUnreadable is the rejection reason for data that is not a valid record. Reasons are part
// of the verdict and must be the same in all builds.
const reasonUnreadable = "the record cannot be read"

// readRecord parses a record. If no daemon can read the data, reason says why. The error is an
// *UnknownRuleError.
func readRecord(offset uint64, data []byte) (rec *configpb.Record, reason string, err error) {
	rule, ok := parseRuleVersion(data)
	if !ok {
		return nil, reasonUnreadable, nil
	}
	// The rule is checked before the size: a later rule may allow larger records, and a daemon
	// that does not know the rule must stop there.
	if rule > RuleVersion {
		return nil, "", &UnknownRuleError{Offset: offset, Rule: rule}
	}
	if limit := recordSizeLimit(data); len(data) > limit {
		return nil, fmt.Sprintf("%s: it has %d bytes, at most %d are taken", reasonUnreadable, len(data), limit), nil
	}
	rec = &configpb.Record{}
	if err := proto.Unmarshal(data, rec); err != nil {
		return nil, reasonUnreadable, nil
	}
	return rec, "", nil
}

// recordSizeLimit returns the maximum size of a record in bytes. Records that daemons append are
// limited by the size of one append. Documents are not: the operator writes them to the log, in
// the size that the routes require. Under the limit of an append, a document of about 4,300
// routes or more would be rejected as unreadable: the offset would advance, the previous document
// would stay in force, and every daemon would answer calls to the new routes with 404.
func recordSizeLimit(data []byte) int {
	if hasField(data, documentField) {
		return MaxDocumentBytes
	}
	return eventlog.MaxRecordBytes
}

// Field numbers of configpb.Record.
const (
	ruleField     = 1
	documentField = 3
	rolloutField  = 4
)

// parseRuleVersion reads the rule version and nothing else. This field and the wire format are
// all that the rules have in common: a record of a later rule that this program cannot parse must
// stop the fold. If it were skipped as unreadable, the state would differ from those of the
// daemons that can parse it.
func parseRuleVersion(data []byte) (rule uint32, ok bool) {
	ok = forEachField(data, func(num protowire.Number, typ protowire.Type, value []byte) {
		if num == ruleField && typ == protowire.VarintType {
			v, _ := protowire.ConsumeVarint(value)
			rule = uint32(v)
		}
	})
	return rule, ok
}

// hasField reports whether a field is set in a serialized record.
func hasField(data []byte, field protowire.Number) bool {
	found := false
	ok := forEachField(data, func(num protowire.Number, _ protowire.Type, _ []byte) {
		found = found || num == field
	})
	return ok && found
}

// forEachField calls f with each field of a serialized message and the bytes that start at its
// value. It returns false if the message cannot be parsed.
func forEachField(data []byte, f func(protowire.Number, protowire.Type, []byte)) bool {
	for len(data) > 0 {
		num, typ, n := protowire.ConsumeTag(data)
		if n < 0 {
			return false
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(num, typ, data)
		if n < 0 {
			return false
		}
		f(num, typ, data)
		data = data[n:]
	}
	return true
}

// decideBundle applies the bundle of a record if it is acceptable and records the verdict. s must
// not be shared yet.
func (s *State) decideBundle(rec *configpb.Record) Verdict {
	b := rec.GetBundle()
	if first, ok := s.Verdict(b.GetPublishId()); ok {
		// The publisher appended the bundle again because it received no response. The first
		// verdict stands and is returned.
		return first
	}
	reasons := s.checkRecord(rec)
	v := Verdict{
		PublishID: b.GetPublishId(),
		Offset:    s.Offset,
		Accepted:  len(reasons) == 0,
		Reasons:   reasons.truncate(),
	}
	if v.Accepted {
		s.applyBundle(b)
	}
	if validPublishID(v.PublishID) {
		s.recent.writableBlock(s.Offset).recordOutcome(v, b)
	}
	return v
}

func (s *State) applyBundle(b *configpb.Bundle) {
	for _, c := range b.GetChanges() {
		k, _ := KeyOf(c.GetResource())
		if c.GetDelete() {
			s.remove(k)
			continue
		}
		s.put(&Entry{
			Key:             k,
			Revision:        s.Offset,
			Author:          b.GetAuthor(),
			PublishedUnixMs: b.GetPublishedUnixMs(),
			Resource:        c.GetResource(),
		})
	}
}

// recordOutcome adds a verdict and, if the bundle was accepted, its deletions.
func (b *block) recordOutcome(v Verdict, bundle *configpb.Bundle) {
	b.addVerdict(v)
	if !v.Accepted {
		return
	}
	for _, c := range bundle.GetChanges() {
		if !c.GetDelete() {
			continue
		}
		k, _ := KeyOf(c.GetResource())
		b.addDeletion(Deletion{Key: k, Offset: v.Offset, Author: bundle.GetAuthor()})
	}
}
