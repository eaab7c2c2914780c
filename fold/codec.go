package fold

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// ErrBadState means that a serialized state contradicts itself or could not
// have come from the fold.
var ErrBadState = errors.New("serialized state is not valid")

// EncodeRecord returns the record of a bundle.
func EncodeRecord(b *configpb.Bundle) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Record{RuleVersion: BundleRule, Bundle: b})
}

// Encode returns the state as a message in canonical order: equal states give
// equal messages. The message shares the state's resources and must not be
// changed.
func (s *State) Encode() *configpb.State {
	m := &configpb.State{
		Offset:        s.Offset,
		Chain:         slices.Clone(s.Chain[:]),
		PreviousChain: slices.Clone(s.previous[:]),
		RuleVersion:   s.rule,
		Document:      s.document,
		Rollouts:      s.Rollouts(),
	}
	for _, kind := range kinds {
		for _, e := range s.Entries(kind) {
			m.Entries = append(m.Entries, &configpb.Entry{
				Resource:        e.Resource,
				Revision:        e.Revision,
				Author:          e.Author,
				PublishedUnixMs: e.PublishedUnixMs,
			})
		}
	}
	for _, b := range s.recent.blocks {
		b.encode(m)
	}
	return m
}

func (b *block) encode(m *configpb.State) {
	for _, v := range b.verdicts {
		m.Verdicts = append(m.Verdicts, &configpb.Verdict{
			PublishId: v.PublishID, Offset: v.Offset, Accepted: v.Accepted, Reasons: v.Reasons,
		})
	}
	for _, d := range b.deletions {
		m.Deletions = append(m.Deletions, &configpb.Deletion{
			Kind: uint32(d.Key.Kind), Name: d.Key.Name, Offset: d.Offset, Author: d.Author,
		})
	}
}

// Decode returns the state of a message, which must not be changed afterwards.
// It takes only what the fold could have produced, so that a damaged or made up
// state never comes into force. The error is ErrBadState, or an
// *UnknownRuleError where a record of the state needs a newer program.
func Decode(m *configpb.State) (*State, error) {
	if m.GetRuleVersion() > RuleVersion {
		return nil, &UnknownRuleError{Offset: m.GetOffset(), Rule: m.GetRuleVersion()}
	}
	s := Empty()
	s.Offset = m.GetOffset()
	s.rule = m.GetRuleVersion()
	if err := s.decodeDocument(m.GetDocument()); err != nil {
		return nil, err
	}
	if err := s.decodeRollouts(m.GetRollouts()); err != nil {
		return nil, err
	}
	if err := s.decodeChains(m); err != nil {
		return nil, err
	}
	if err := s.decodeEntries(m.GetEntries()); err != nil {
		return nil, err
	}
	if err := s.decodeVerdicts(m.GetVerdicts()); err != nil {
		return nil, err
	}
	if err := s.decodeDeletions(m.GetDeletions()); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *State) decodeChains(m *configpb.State) error {
	if len(m.GetChain()) != len(s.Chain) || len(m.GetPreviousChain()) != len(s.previous) {
		return errors.Wrap(ErrBadState, "chain digest length")
	}
	s.Chain, s.previous = Chain(m.GetChain()), Chain(m.GetPreviousChain())
	// After a document or a rollout the chain begins anew, so that it may have nothing before.
	index := eventlog.Index(s.Offset)
	begun := index <= 1 || (s.document != nil || len(s.rollouts) > 0) && s.previous == Chain{}
	if (index == 0) != (s.Chain == Chain{}) || begun != (s.previous == Chain{}) {
		return errors.Wrap(ErrBadState, "chain digest does not suit the offset")
	}
	return nil
}

func (s *State) decodeDocument(d *configpb.Document) error {
	if d == nil {
		return nil
	}
	if n := proto.Size(d); n > MaxDocumentBytes {
		return errors.Wrapf(ErrBadState, "a document of %d bytes", n)
	}
	if r := CheckDocument(d); len(r) > 0 {
		return errors.Wrapf(ErrBadState, "%s", r[0])
	}
	s.document = d
	return nil
}

func (s *State) decodeEntries(list []*configpb.Entry) error {
	if len(list) > MaxResources {
		return errors.Wrapf(ErrBadState, "%d resources", len(list))
	}
	for _, m := range list {
		e, err := s.decodeEntry(m)
		if err != nil {
			return err
		}
		s.put(e)
	}
	if s.bytes > MaxResourceBytes {
		return errors.Wrapf(ErrBadState, "%d bytes of resources", s.bytes)
	}
	for _, e := range s.Entries(KindRoute) {
		if s.Get(Key{KindService, e.Resource.GetRoute().GetService()}) == nil {
			return errors.Wrapf(ErrBadState, "%s has no service", e.Key)
		}
	}
	return nil
}

func (s *State) decodeEntry(m *configpb.Entry) (*Entry, error) {
	k, ok := KeyOf(m.GetResource())
	if !ok {
		return nil, errors.Wrap(ErrBadState, "entry without a resource")
	}
	var r reasons
	if r.checkName(k) {
		r.checkResource(k, m.GetResource())
	}
	if len(r) > 0 {
		return nil, errors.Wrapf(ErrBadState, "%s", r[0])
	}
	if s.Get(k) != nil || m.GetRevision() == 0 || m.GetRevision() > s.Offset || !printable(m.GetAuthor(), MaxAuthorBytes) {
		return nil, errors.Wrapf(ErrBadState, "entry %s", k)
	}
	if route := m.GetResource().GetRoute(); route != nil {
		if other, taken := s.routes.holder(route.GetPathPrefix()); taken {
			return nil, errors.Wrapf(ErrBadState, "%s has the path_prefix of route %s", k, other)
		}
	}
	return &Entry{
		Key:             k,
		Revision:        m.GetRevision(),
		Author:          m.GetAuthor(),
		PublishedUnixMs: m.GetPublishedUnixMs(),
		Resource:        m.GetResource(),
	}, nil
}

func (s *State) decodeVerdicts(list []*configpb.Verdict) error {
	last := uint64(0)
	for _, m := range list {
		v := Verdict{
			PublishID: m.GetPublishId(),
			Offset:    m.GetOffset(),
			Accepted:  m.GetAccepted(),
			Reasons:   m.GetReasons(),
		}
		_, repeated := s.Verdict(v.PublishID)
		ascending := v.Offset > last && v.Offset <= s.Offset
		if repeated || !ascending || !remembered(v.Offset, s.Offset) ||
			!validPublishID(v.PublishID) || v.Accepted != (len(v.Reasons) == 0) {
			return errors.Wrapf(ErrBadState, "verdict at %d", v.Offset)
		}
		last = v.Offset
		s.recent.fill(v.Offset).addVerdict(v)
	}
	return nil
}

func (s *State) decodeDeletions(list []*configpb.Deletion) error {
	last := uint64(0)
	for _, m := range list {
		d := Deletion{
			Key:    Key{ResourceKind(m.GetKind()), m.GetName()},
			Offset: m.GetOffset(),
			Author: m.GetAuthor(),
		}
		var r reasons
		b := s.recent.find(d.Offset)
		if b == nil || !b.room() || d.Offset < last || d.Offset > s.Offset ||
			!slices.Contains(kinds[:], d.Key.Kind) || !r.checkName(d.Key) || !printable(d.Author, MaxAuthorBytes) {
			return errors.Wrapf(ErrBadState, "deletion at %d", d.Offset)
		}
		last = d.Offset
		b.deletions = append(b.deletions, d)
	}
	return nil
}
