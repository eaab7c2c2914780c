package fold

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// Two operators change revision 1 of a resource concurrently. The first record in the log is
// accepted. The reason for rejecting the other must name the revision and the author of the
// first, even if the first deleted the resource.
func TestConflictReasonNamesFirstAuthor(t *testing.T) {
	for name, tc := range map[string]struct {
		winner []byte
		reason string
	}{
		"revised": {
			bundle("2", "ann", set(contract("c", 2), 1)),
			"contract c is at revision 2 by ann, the change replaces revision 1",
		},
		"deleted": {
			bundle("2", "ann", del(contract("c", 0), 1)),
			"contract c was deleted at revision 2 by ann, the change replaces revision 1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, v := foldAll(t,
				bundle("1", "zoe", set(contract("c", 1), 0)),
				tc.winner,
				bundle("3", "bo", set(contract("c", 3), 1)))
			must.True(t, v[1].Accepted)
			must.Eq(t, Verdict{PublishID: "3", Offset: 3, Reasons: []string{tc.reason}}, v[2])
		})
	}
}

// The response to an append is lost and the publisher appends the bundle again under the same id,
// possibly after another operator has published. A second decision would revert the other
// operator's change, or accept a bundle whose rejection the publisher already knows of.
func TestRepeatedPublishGetsFirstVerdict(t *testing.T) {
	first := bundle("1", "ann", set(contract("c", 1), 0))
	rejected := bundle("2", "ann", set(route("r", "/", "s"), 0))
	s, v := foldAll(t, first, rejected,
		bundle("3", "bo", set(contract("c", 9), 1)),
		bundle("4", "bo", set(service("s"), 0)),
		first, rejected)
	must.Eq(t, v[0], v[4])
	must.Eq(t, v[1], v[5])
	must.False(t, v[5].Accepted)
	must.Eq(t, uint64(3), s.Get(Key{KindContract, "c"}).Revision)
	must.Nil(t, s.Get(Key{KindRoute, "r"}))
}

// A record is damaged on its way into the log such that only its publish id can be read. It must
// only advance the offset: the publisher's retry under the same id needs a decision of its own,
// not the verdict on the damaged record.
func TestUnreadableRecordStoresNoPublishID(t *testing.T) {
	whole := bundle("1", "ann", set(contract("c", 1), 0))
	// The id is complete; a field after it is truncated.
	damaged := append(bytes.Clone(whole), 0x12, 0x7f)
	s, v := foldAll(t, damaged, whole)
	must.False(t, v[0].Accepted)
	must.Eq(t, "", v[0].PublishID)
	must.True(t, v[1].Accepted)
	must.Eq(t, uint64(2), s.Get(Key{KindContract, "c"}).Revision)
}

// A newer program publishes a record under a later rule, in a form that this program cannot
// parse. A daemon that skipped the record as unreadable would diverge from the daemons that can
// parse it; it must stop at the offset before.
func TestUnknownRuleStopsFold(t *testing.T) {
	var newer []byte
	newer = protowire.AppendTag(newer, 1, protowire.VarintType)
	newer = protowire.AppendVarint(newer, RuleVersion+1)
	newer = protowire.AppendTag(newer, 2, protowire.BytesType)
	newer = protowire.AppendString(newer, "\xff not a bundle")
	records := log(bundle("1", "ann", set(contract("c", 1), 0)), newer, bundle("3", "ann", set(contract("d", 1), 0)))
	s, v, err := ApplyAll(Empty(), records)
	var unknown *UnknownRuleError
	must.True(t, errors.As(err, &unknown))
	must.Eq(t, UnknownRuleError{Offset: 2, Rule: RuleVersion + 1}, *unknown)
	must.Eq(t, 1, len(v))
	must.Eq(t, uint64(1), s.Offset)
	must.NotNil(t, s.Get(Key{KindContract, "c"}))

	m := s.Encode()
	m.RuleVersion = RuleVersion + 1
	_, err = Decode(m)
	must.True(t, errors.As(err, &unknown))
}

// A daemon that started from a serialized state must drop verdicts at the same offset as one that
// never restarted. Otherwise one of them would apply a late repeat that the other skips.
func TestVerdictsExpireAtSameOffsetAfterRestart(t *testing.T) {
	s, _ := foldAll(t, bundle("old", "ann", set(contract("c", 1), 0)), bundle("gone", "ann", del(contract("c", 0), 1)))
	restarted := s
	forgotten := uint64(0)
	for s.Offset < MaxVerdicts+blockRecords {
		data := bundle(fmt.Sprint(s.Offset), "ann")
		s, _, _ = Apply(s, s.Offset+1, data)
		if s.Offset%31 == 0 {
			var err error
			restarted, err = Decode(restarted.Encode())
			must.NoError(t, err)
		}
		restarted, _, _ = Apply(restarted, s.Offset, data)
		_, ok := s.Verdict("old")
		_, also := restarted.Verdict("old")
		must.Eq(t, ok, also)
		if !ok && forgotten == 0 {
			forgotten = s.Offset
		}
	}
	must.Eq(t, encoded(s), encoded(restarted))
	must.Between(t, MaxVerdicts-blockRecords, forgotten, MaxVerdicts)
	_, v, err := Apply(s, s.Offset+1, bundle("old", "ann", set(contract("c", 1), 0)))
	must.NoError(t, err)
	must.True(t, v.Accepted)
}

// The log lost its latest record and assigned offset 2 again. A peer that has read the second
// history sends the records after it. Folding them onto the first history would give a state that
// no other daemon has; the receiver must keep its state and report the fork.
func TestDeltaOfForkedHistoryIsRejected(t *testing.T) {
	one, lost, other := bundle("1", "ann", set(contract("c", 1), 0)), bundle("2", "ann", set(contract("d", 1), 0)), bundle("2b", "bo", set(contract("e", 1), 0))
	next := bundle("3", "bo", set(contract("f", 1), 0))
	ours, _ := foldAll(t, one, lost)
	theirs, _ := foldAll(t, one, other)
	base, _ := foldAll(t, one)
	for name, d := range map[string]Delta{
		"base at our offset":     {2, theirs.Chain, []eventlog.Record{{Offset: 3, Data: next}}},
		"base before our offset": {1, base.Chain, log(one, other, next)[1:]},
		"nothing new":            {2, theirs.Chain, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, err := ApplyDelta(ours, d)
			var fork *ForkError
			must.True(t, errors.As(err, &fork))
			must.Eq(t, ForkError{Offset: 2, Ours: ours.Chain, Theirs: theirs.Chain}, *fork)
			must.True(t, s == ours)
		})
	}
	_, _, err := ApplyDelta(ours, Delta{Base: 3, BaseChain: theirs.Chain})
	must.ErrorIs(t, err, ErrGap)
	s, _, err := ApplyDelta(ours, Delta{Base: 0, Records: log(one)})
	must.NoError(t, err)
	must.True(t, s == ours, must.Sprint("a delta that ends before the state must be skipped"))
	_, _, err = ApplyDelta(ours, Delta{Base: 0, Records: log(one, lost, next)[1:]})
	must.ErrorIs(t, err, ErrGap)
}

// One bundle swaps the prefixes of two routes. Each prefix must be registered for its new route,
// or a third route could take it.
func TestBundleSwapsRoutePrefixes(t *testing.T) {
	s, v := foldAll(t,
		bundle("1", "ann", set(service("s"), 0), set(route("p", "/p", "s"), 0), set(route("q", "/q", "s"), 0)),
		bundle("2", "ann", set(route("p", "/q", "s"), 1), set(route("q", "/p", "s"), 1)),
		bundle("3", "ann", set(route("r", "/p", "s"), 0)),
		bundle("4", "ann", set(route("r", "/q", "s"), 0)))
	must.True(t, v[1].Accepted)
	must.Eq(t, []string{"route r and route q would have the same path_prefix"}, v[2].Reasons)
	must.Eq(t, []string{"route r and route p would have the same path_prefix"}, v[3].Reasons)
	must.Eq(t, 3, s.Len())
}

func TestBadBundleIsRejectedWithReasons(t *testing.T) {
	long := strings.Repeat("x", MaxPrefixBytes+1)
	base := bundle("1", "ann", set(service("s"), 0), set(route("r", "/r", "s"), 0))
	// Each contract is valid; together they are too large for one record.
	big, bigger := bigContract("c", MaxRules/2), bigContract("d", MaxRules/2)
	for reason, data := range map[string][]byte{
		"publish_id must have":                     bundle("", "ann", set(service("t"), 0)),
		"author must have":                         bundle("2", long, set(service("t"), 0)),
		"1 to 1024 changes":                        bundle("2", "ann"),
		"names no resource":                        bundle("2", "ann", set(&configpb.Resource{}, 0)),
		"changed twice":                            bundle("2", "ann", set(service("t"), 0), del(service("t"), 0)),
		"service's name must have 1 to 128 bytes":  bundle("2", "ann", set(route("q", "/q", long), 0)),
		"no blanks":                                bundle("2", "ann", set(service("a b"), 0)),
		"path_prefix must start with /":            bundle("2", "ann", set(route("q", "q", "s"), 0)),
		"rate_per_second must be":                  bundle("2", "ann", set(contract("c", math.NaN()), 0)),
		"service t, which would not exist":         bundle("2", "ann", set(route("q", "/q", "t"), 0)),
		"route r needs service s, which would not": bundle("2", "ann", del(service("s"), 1)),
		"route q and route r would have the same":  bundle("2", "ann", set(route("q", "/r", "s"), 0)),
		"does not exist and cannot be deleted":     bundle("2", "ann", del(service("t"), 0)),
		"does not exist, the change replaces":      bundle("2", "ann", set(service("t"), 1)),
		"the record names no rule version":         mustMarshal(&configpb.Record{Bundle: &configpb.Bundle{PublishId: "2"}}),
		"the record cannot be read":                bundle("2", "ann", set(big, 0), set(bigger, 0)),
	} {
		t.Run(reason, func(t *testing.T) {
			s, v := foldAll(t, base, data)
			must.False(t, v[1].Accepted)
			must.StrContains(t, strings.Join(v[1].Reasons, "\n"), reason)
			must.Eq(t, 2, s.Len())
		})
	}
}

// A client repeats a faulty bundle with 1,024 changes and long names many times. The stored
// reasons must stay small, or a few hundred rejections would make the state too large for the
// message in which daemons pull it.
func TestStoredReasonsAreBounded(t *testing.T) {
	var changes []*configpb.Change
	for i := range MaxChanges {
		changes = append(changes, del(service(fmt.Sprintf("%0100d", i)), 0))
	}
	_, v := foldAll(t, bundle("1", "ann", changes...))
	total := 0
	for _, r := range v[0].Reasons {
		total += len(r)
	}
	must.Less(t, maxReasonBytes+64, total)
	must.StrContains(t, v[0].Reasons[len(v[0].Reasons)-1], "more reasons")
}

// The fold rejects bundles that would take the state beyond MaxResources or MaxResourceBytes.
func TestStateIsBounded(t *testing.T) {
	s := Empty()
	for n := 0; s.Offset < MaxResources/MaxChanges; {
		var changes []*configpb.Change
		for range MaxChanges {
			changes = append(changes, set(service(fmt.Sprint("s", n)), 0))
			n++
		}
		var v Verdict
		s, v, _ = Apply(s, s.Offset+1, bundle(fmt.Sprint(n), "ann", changes...))
		must.True(t, v.Accepted)
	}
	_, v, _ := Apply(s, s.Offset+1, bundle("last", "ann", set(service("one more"[:3]), 0)))
	must.Eq(t, []string{"there would be 16385 resources, at most 16384 may be in force"}, v.Reasons)

	s = Empty()
	for {
		c := bigContract(fmt.Sprint(s.Offset), MaxRules/2)
		s, v, _ = Apply(s, s.Offset+1, bundle(fmt.Sprint(s.Offset), "ann", set(c, 0)))
		if !v.Accepted {
			break
		}
	}
	must.StrContains(t, v.Reasons[0], "at most 8388608 may be in force")
	must.Less(t, MaxResourceBytes, proto.Size(s.Encode()))
	must.Greater(t, MaxResourceBytes-eventlog.MaxRecordBytes*2, proto.Size(s.Encode()))
}

// bigContract returns a contract with rules of 1 KiB each.
func bigContract(customer string, rules int) *configpb.Resource {
	r := contract(customer, 1)
	for range rules {
		rule := &configpb.CallRule{PathPrefix: "/" + strings.Repeat("x", MaxPrefixBytes-1)}
		r.GetContract().Rules = append(r.GetContract().Rules, rule)
	}
	return r
}

func mustMarshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
