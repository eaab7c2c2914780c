package fold

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
)

// history folds a log record by record and returns the state at each offset, together with its
// serialized form at that time.
func history(t *rapid.T, records []eventlog.Record) (states []*State, bytes []string) {
	states, bytes = []*State{Empty()}, []string{encoded(Empty())}
	for _, r := range records {
		s, _, err := Apply(states[len(states)-1], r.Offset, r.Data)
		must.NoError(t, err)
		states, bytes = append(states, s), append(bytes, encoded(s))
	}
	return states, bytes
}

// A daemon receives records in batches that are repeated, overlap, have holes or are out of
// order, from the log or from peers, and restarts from a serialized state in between. At each
// offset its state must be byte for byte that of a daemon that read the log in order, or two
// daemons would answer callers differently at the same version.
func TestAnyDeliveryOrderGivesSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawLog(t)
		states, want := history(t, records)
		s := Empty()
		for s.Offset < uint64(len(records)) {
			from := rapid.IntRange(0, len(records)-1).Draw(t, "from")
			to := rapid.IntRange(from+1, len(records)).Draw(t, "to")
			batch := records[from:to]
			follows := uint64(from) <= s.Offset
			reached := max(s.Offset, uint64(to))
			var err error
			switch rapid.IntRange(0, 3).Draw(t, "way") {
			case 0:
				s, _, err = ApplyAll(s, batch)
				must.Eq(t, follows, err == nil && s.Offset == reached)
			case 1:
				s, _, err = ApplyDelta(s, Delta{Base: uint64(from), BaseChain: states[from].Chain, Records: batch})
				must.Eq(t, follows, err == nil && s.Offset == reached)
			case 2:
				s, _, err = ApplyAll(s, rapid.Permutation(batch).Draw(t, "order"))
			case 3:
				s, err = Decode(s.Encode())
				must.NoError(t, err)
			}
			must.True(t, err == nil || errors.Is(err, ErrGap))
			must.Eq(t, want[s.Offset], encoded(s))
			must.Eq(t, states[s.Offset].Chain, s.Chain)
			must.True(t, s.Offset == 0 || s.LastRecordIs(records[s.Offset-1].Data))
			must.False(t, s.LastRecordIs([]byte("another")))
		}
		for i, old := range states {
			must.Eq(t, want[i], encoded(old), must.Sprint("an older state was modified"))
		}
	})
}

// Two records are folded into the same state. Neither result may change when the other record is
// folded, or a daemon that tries a record on the state in force would modify that state.
func TestBranchesAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states, _ := history(t, drawLog(t))
		base := states[len(states)-1]
		one, _, err := Apply(base, base.Offset+1, drawRecord(t, base))
		must.NoError(t, err)
		before := encoded(one)
		_, _, err = Apply(base, base.Offset+1, drawRecord(t, base))
		must.NoError(t, err)
		must.Eq(t, before, encoded(one))
	})
}

// The same as TestBranchesAreIndependent over many blocks of verdicts, whose slice grows and is
// truncated in place.
func TestBranchesWithManyBlocksAreIndependent(t *testing.T) {
	s := Empty()
	for s.Offset < (maxBlocks+4)*blockRecords {
		next, _, err := Apply(s, s.Offset+1, bundle(fmt.Sprint(s.Offset), "ann"))
		must.NoError(t, err)
		if blockOf(next.Offset) != blockOf(s.Offset) {
			before := encoded(next)
			_, _, err = Apply(s, s.Offset+1, bundle("other branch", "bo"))
			must.NoError(t, err)
			must.Eq(t, before, encoded(next))
		}
		s = next
	}
}

// A record is accepted as a whole or changes no resource; revisions in force never decrease; no
// accepted bundle leaves a route without its service, an API key without its contract, two routes with
// one prefix or two API keys with one digest; and a publish
// id keeps its first verdict whatever is published under it later.
func TestRecordIsAtomic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawLog(t)
		s := Empty()
		first := map[string]Verdict{}
		for _, r := range records {
			var rec configpb.Record
			readable := proto.Unmarshal(r.Data, &rec) == nil
			id := rec.GetBundle().GetPublishId()
			next, v, err := Apply(s, r.Offset, r.Data)
			must.NoError(t, err)
			earlier, repeat := first[id]
			switch {
			case !readable:
				must.False(t, v.Accepted)
			case repeat:
				must.Eq(t, earlier, v)
			default:
				must.Eq(t, referenceAccepts(s, rec.GetBundle()), v.Accepted, must.Sprint(v.Reasons))
				first[id] = v
			}
			checkChanges(t, s, next, &rec, readable && !repeat && v.Accepted)
			s = next
		}
	})
}

// referenceAccepts decides on a bundle with a simple reference implementation on a copy of all
// resources.
func referenceAccepts(s *State, b *configpb.Bundle) bool {
	if len(CheckBundle(b)) > 0 {
		return false
	}
	after := map[Key]*configpb.Resource{}
	for k, e := range s.entries.all() {
		after[k] = e.Resource
	}
	for _, c := range b.GetChanges() {
		k, _ := KeyOf(c.GetResource())
		revision := uint64(0)
		if e := s.Get(k); e != nil {
			revision = e.Revision
		}
		if revision != c.GetReplaces() || revision == 0 && c.GetDelete() {
			return false
		}
		after[k] = c.GetResource()
		if c.GetDelete() {
			delete(after, k)
		}
	}
	prefixes := map[string]bool{}
	for _, r := range after {
		if r.GetRoute() == nil {
			continue
		}
		if prefixes[r.GetRoute().GetPathPrefix()] || after[Key{KindService, r.GetRoute().GetService()}] == nil {
			return false
		}
		prefixes[r.GetRoute().GetPathPrefix()] = true
	}
	digests := map[string]bool{}
	for _, r := range after {
		if r.GetApiKey() == nil {
			continue
		}
		if digests[string(r.GetApiKey().GetDigest())] || after[Key{KindContract, r.GetApiKey().GetCustomer()}] == nil {
			return false
		}
		digests[string(r.GetApiKey().GetDigest())] = true
	}
	return true
}

// checkChanges checks that next differs from s in exactly the changes of an accepted record.
func checkChanges(t *rapid.T, s, next *State, rec *configpb.Record, accepted bool) {
	changed := map[Key]*configpb.Change{}
	if accepted {
		for _, c := range rec.GetBundle().GetChanges() {
			k, _ := KeyOf(c.GetResource())
			changed[k] = c
		}
	}
	for k, c := range changed {
		e := next.Get(k)
		must.Eq(t, c.GetDelete(), e == nil)
		must.True(t, e == nil || e.Revision == next.Offset && proto.Equal(e.Resource, c.GetResource()))
	}
	for k, e := range s.entries.all() {
		if changed[k] == nil {
			must.True(t, e == next.Get(k), must.Sprintf("%s changed", k))
		}
	}
	for k, e := range next.entries.all() {
		old := s.Get(k)
		must.True(t, old == nil || old.Revision <= e.Revision)
		must.True(t, old != nil || changed[k] != nil)
	}
}
