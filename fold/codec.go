package fold

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
)

// ErrBadState means that a serialized state contradicts itself.
var ErrBadState = errors.New("serialized state is not valid")

// Encode returns the state as a message in canonical order: equal states give
// equal messages.
func (s *State) Encode() *configpb.State {
	m := &configpb.State{Offset: s.Offset, Chain: slices.Clone(s.Chain[:]), RuleVersion: RuleVersion}
	for _, kind := range []ResourceKind{KindService, KindRoute, KindContract} {
		for _, e := range s.Entries(kind) {
			m.Entries = append(m.Entries, &configpb.Entry{
				Resource:        e.Resource,
				Revision:        e.Revision,
				Author:          e.Author,
				PublishedUnixMs: e.PublishedUnixMs,
			})
		}
	}
	for _, v := range s.verdicts {
		m.Verdicts = append(m.Verdicts, &configpb.Verdict{
			PublishId: v.PublishID, Offset: v.Offset, Accepted: v.Accepted, Reasons: v.Reasons,
		})
	}
	return m
}

// Decode returns the state of a message. The error is ErrBadState, or an
// *UnknownRuleError where a newer program wrote it.
func Decode(m *configpb.State) (*State, error) {
	if m.GetRuleVersion() > RuleVersion {
		return nil, &UnknownRuleError{Offset: m.GetOffset(), Rule: m.GetRuleVersion()}
	}
	s := Empty()
	s.Offset = m.GetOffset()
	if len(m.GetChain()) != len(s.Chain) {
		return nil, errors.Wrap(ErrBadState, "chain digest length")
	}
	copy(s.Chain[:], m.GetChain())
	for _, e := range m.GetEntries() {
		k, ok := KeyOf(e.GetResource())
		if !ok || s.entries[k] != nil || e.GetRevision() == 0 || e.GetRevision() > s.Offset {
			return nil, errors.Wrapf(ErrBadState, "entry %s", k)
		}
		s.entries[k] = &Entry{
			Key: k, Revision: e.GetRevision(), Author: e.GetAuthor(),
			PublishedUnixMs: e.GetPublishedUnixMs(), Resource: e.GetResource(),
		}
	}
	return s, s.decodeVerdicts(m.GetVerdicts())
}

func (s *State) decodeVerdicts(list []*configpb.Verdict) error {
	last := uint64(0)
	for _, v := range list {
		if v.GetOffset() <= last || v.GetOffset() > s.Offset || v.GetPublishId() == "" {
			return errors.Wrapf(ErrBadState, "verdict at %d", v.GetOffset())
		}
		last = v.GetOffset()
		s.remember(Verdict{
			PublishID: v.GetPublishId(), Offset: v.GetOffset(), Accepted: v.GetAccepted(), Reasons: v.GetReasons(),
		})
	}
	return nil
}

// EncodeRecord returns the record of a bundle under the current rule.
func EncodeRecord(b *configpb.Bundle) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Record{RuleVersion: RuleVersion, Bundle: b})
}

// sortedKeys returns the keys of one kind by name, so that reasons come in the
// same order on every daemon.
func sortedKeys(m map[Key]*configpb.Resource, kind ResourceKind) []Key {
	var keys []Key
	for k := range m {
		if k.Kind == kind {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Name, b.Name) })
	return keys
}
