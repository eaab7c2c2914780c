package fold

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// ErrBadState means that a serialized state is inconsistent or cannot be the result of a fold.
var ErrBadState = errors.New("serialized state is not valid")

// EncodeRecord returns the serialized record of a bundle.
func EncodeRecord(b *configpb.Bundle) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Record{RuleVersion: bundleRule(b), Bundle: b})
}

// bundleRule returns the lowest rule that is sufficient for a bundle.
func bundleRule(b *configpb.Bundle) uint32 {
	if changesAPIKeys(b) {
		return APIKeyRule
	}
	return BundleRule
}

func changesAPIKeys(b *configpb.Bundle) bool {
	return slices.ContainsFunc(b.GetChanges(), func(c *configpb.Change) bool {
		return c.GetResource().GetApiKey() != nil
	})
}

// Encode returns the state as a message in canonical order: equal states give equal messages. The
// message shares the state's resources and must not be modified.
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

// Decode returns the state that a message contains. The message must not be modified afterwards.
// Decode accepts only states that a fold can produce, so that a damaged or forged state is never
// put in force. The error is ErrBadState, or an *UnknownRuleError if the state includes records
// of a rule that this program does not implement.
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
		return errors.Wrap(ErrBadState, "chain digest has the wrong length")
	}
	s.Chain, s.previous = Chain(m.GetChain()), Chain(m.GetPreviousChain())
	// A document or a rollout restarts the chain, so the chain before it is empty.
	index := eventlog.Index(s.Offset)
	chainStarts := index <= 1 || (s.document != nil || len(s.rollouts) > 0) && s.previous == Chain{}
	if (index == 0) != (s.Chain == Chain{}) || chainStarts != (s.previous == Chain{}) {
		return errors.Wrap(ErrBadState, "chain digest does not match the offset")
	}
	return nil
}

func (s *State) decodeDocument(d *configpb.Document) error {
	if d == nil {
		return nil
	}
	if n := proto.Size(d); n > MaxDocumentBytes {
		return errors.Wrapf(ErrBadState, "document of %d bytes is too large", n)
	}
	if r := CheckDocument(d); len(r) > 0 {
		return errors.Wrapf(ErrBadState, "%s", r[0])
	}
	if need := documentRule(d); s.rule < need {
		return errors.Wrapf(ErrBadState, "the document needs rule %d, the state has rule %d", need, s.rule)
	}
	s.document = d
	return nil
}

func (s *State) decodeEntries(list []*configpb.Entry) error {
	if len(list) > MaxResources {
		return errors.Wrapf(ErrBadState, "%d resources are too many", len(list))
	}
	for _, m := range list {
		e, err := s.decodeEntry(m)
		if err != nil {
			return err
		}
		s.put(e)
	}
	if s.bytes > MaxResourceBytes {
		return errors.Wrapf(ErrBadState, "resources of %d bytes are too large", s.bytes)
	}
	for _, e := range s.Entries(KindRoute) {
		if s.Get(Key{KindService, e.Resource.GetRoute().GetService()}) == nil {
			return errors.Wrapf(ErrBadState, "%s refers to a service that does not exist", e.Key)
		}
	}
	for _, e := range s.Entries(KindAPIKey) {
		if s.Get(Key{KindContract, e.Resource.GetApiKey().GetCustomer()}) == nil {
			return errors.Wrapf(ErrBadState, "%s refers to a contract that does not exist", e.Key)
		}
		if customer := e.Resource.GetApiKey().GetCustomer(); s.keys.count(customer) > MaxContractKeys {
			return errors.Wrapf(ErrBadState, "customer %s has too many API keys", customer)
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
		return nil, errors.Wrapf(ErrBadState, "entry %s is repeated or invalid", k)
	}
	if route := m.GetResource().GetRoute(); route != nil {
		if other, taken := s.routes.holderOf(route.GetPathPrefix()); taken {
			return nil, errors.Wrapf(ErrBadState, "%s has the path_prefix of route %s", k, other)
		}
	}
	if key := m.GetResource().GetApiKey(); key != nil {
		if other, taken := s.keys.holderOf(string(key.GetDigest())); taken {
			return nil, errors.Wrapf(ErrBadState, "%s has the digest of API key %s", k, other)
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
		if repeated || !ascending || !retained(v.Offset, s.Offset) ||
			!validPublishID(v.PublishID) || v.Accepted != (len(v.Reasons) == 0) {
			return errors.Wrapf(ErrBadState, "verdict at offset %d is not valid", v.Offset)
		}
		last = v.Offset
		s.recent.unsharedBlock(v.Offset).addVerdict(v)
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
		if b == nil || !b.hasRoomForDeletion() || d.Offset < last || d.Offset > s.Offset ||
			!slices.Contains(kinds[:], d.Key.Kind) || !r.checkName(d.Key) || !printable(d.Author, MaxAuthorBytes) {
			return errors.Wrapf(ErrBadState, "deletion at offset %d is not valid", d.Offset)
		}
		last = d.Offset
		b.deletions = append(b.deletions, d)
	}
	return nil
}
