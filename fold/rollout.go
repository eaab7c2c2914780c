package fold

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
)

// Limits on a rollout.
const (
	MaxRollouts          = MaxDocumentServices
	MaxVersionBytes      = 128
	MaxRolloutDurationMs = 24 * 60 * 60 * 1000
)

// EncodeRollout returns the serialized record of a rollout.
func EncodeRollout(r *configpb.Rollout) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&configpb.Record{RuleVersion: RolloutRule, Rollout: r})
}

// Rollout returns the latest order for a service, nil if there is none. The caller must not
// modify it.
func (s *State) Rollout(service string) *configpb.RolloutOrder { return s.rollouts[service] }

// Rollouts returns the latest order for each service, sorted by service. The caller must not
// modify the orders.
func (s *State) Rollouts() []*configpb.RolloutOrder {
	var list []*configpb.RolloutOrder
	for _, service := range slices.Sorted(maps.Keys(s.rollouts)) {
		list = append(list, s.rollouts[service])
	}
	return list
}

// decideRollout replaces the order of a service if the new one is acceptable. The service need
// not be in the document: the order may precede the document, and backend servers of the service
// may start later. s must not be shared yet.
func (s *State) decideRollout(r *configpb.Rollout) Verdict {
	v := Verdict{Offset: s.Offset}
	reasons := checkRollout(r)
	if s.rollouts[r.GetService()] == nil && len(s.rollouts) >= MaxRollouts {
		reasons.addf("at most %d services may have a rollout", MaxRollouts)
	}
	if len(reasons) > 0 {
		v.Reasons = reasons.truncate()
		return v
	}
	v.Accepted = true
	if o := s.rollouts[r.GetService()]; isRestatement(o, r, s.Offset) {
		s.setRollout(withRestatedAt(o, s.Offset))
		return v
	}
	s.setRollout(&configpb.RolloutOrder{Rollout: r, Offset: s.Offset})
	return v
}

// setRollout copies the map because older states share it.
func (s *State) setRollout(o *configpb.RolloutOrder) {
	rollouts := maps.Clone(s.rollouts)
	if rollouts == nil {
		rollouts = make(map[string]*configpb.RolloutOrder)
	}
	rollouts[o.GetRollout().GetService()] = o
	s.rollouts = rollouts
}

func checkRollout(r *configpb.Rollout) reasons {
	var list reasons
	k := Key{KindService, r.GetService()}
	list.checkName(k)
	if r.GetToVersion() == "" || !printable(r.GetToVersion(), MaxVersionBytes) {
		list.addf("rollout of %s: to_version must have 1 to %d printable bytes", k, MaxVersionBytes)
	}
	if d := r.GetDurationMs(); d == 0 || d > MaxRolloutDurationMs {
		list.addf("rollout of %s: the duration must be 1 to %d ms, not %d", k, MaxRolloutDurationMs, d)
	}
	return list
}

func (s *State) decodeRollouts(list []*configpb.RolloutOrder) error {
	if len(list) > MaxRollouts {
		return errors.Wrapf(ErrBadState, "%d rollouts are too many", len(list))
	}
	for _, o := range list {
		if o.GetOffset() == 0 || o.GetOffset() > s.Offset || s.Rollout(o.GetRollout().GetService()) != nil {
			return errors.Wrapf(ErrBadState, "rollout at offset %d is not valid", o.GetOffset())
		}
		if r := checkRollout(o.GetRollout()); len(r) > 0 {
			return errors.Wrapf(ErrBadState, "%s", r[0])
		}
		s.setRollout(o)
	}
	return nil
}
