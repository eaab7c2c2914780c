package fold

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
)

// foldInEpoch returns the state after records with consecutive indexes, starting at 1, in an
// epoch.
func foldInEpoch(t *testing.T, epoch uint32, records ...[]byte) *State {
	t.Helper()
	s := EmptyAt(eventlog.MakeOffset(epoch, 0))
	for _, data := range records {
		next, _, err := Apply(s, s.Offset+1, data)
		must.NoError(t, err)
		s = next
	}
	return s
}

// Guards against reverting to the document of an older copy of the log.
func TestAfterRestore_KeepsNewerDocument(t *testing.T) {
	before := foldInEpoch(t, 1, plainDocument(t, 3), plainDocument(t, 7), plainDocument(t, 9))
	for name, c := range map[string]struct {
		log  [][]byte
		want uint64
	}{
		"empty copy":             {nil, 9},
		"older document":         {[][]byte{plainDocument(t, 3)}, 9},
		"document written again": {[][]byte{plainDocument(t, 3), plainDocument(t, 9)}, 9},
		"newer document":         {[][]byte{plainDocument(t, 3), plainDocument(t, 9), plainDocument(t, 12)}, 12},
	} {
		t.Run(name, func(t *testing.T) {
			log := foldInEpoch(t, 2, c.log...)
			s := log.AfterRestore(before)
			must.Eq(t, c.want, s.Document().GetVersion())
			must.Eq(t, log.Offset, s.Offset)
			must.Eq(t, log.Chain, s.Chain)
			decoded, err := Decode(s.Encode())
			must.NoError(t, err)
			must.Eq(t, c.want, decoded.Document().GetVersion())

			// Later records fold alike with and without the carried-over document.
			for _, st := range []*State{s, log} {
				next, v, err := Apply(st, st.Offset+1, plainDocument(t, 20))
				must.NoError(t, err)
				must.True(t, v.Accepted)
				must.Eq(t, 20, next.Document().GetVersion())
				must.Eq(t, foldInEpoch(t, 2, append(c.log[:len(c.log):len(c.log)], plainDocument(t, 20))...).Chain, next.Chain)
			}
		})
	}
	must.True(t, before.AfterRestore(before) == before)
	must.True(t, foldInEpoch(t, 1, plainDocument(t, 3)).AfterRestore(before).Document().GetVersion() == 3, must.Sprint("same epoch"))
}

// A document that the operator writes again is accepted.
func TestDocument_RepeatIsAccepted(t *testing.T) {
	s := foldInEpoch(t, 1, plainDocument(t, 3))
	n, v, err := Apply(s, s.Offset+1, plainDocument(t, 3))
	must.NoError(t, err)
	must.True(t, v.Accepted)
	must.True(t, n.Document() == s.Document())
}

// Guards against a finished rollout that starts again and against the loss of a newer order after
// a restore.
func TestAfterRestore_KeepsRollouts(t *testing.T) {
	signs := func(version string) []byte { return rolloutRecord(t, "signs", version) }
	before := foldInEpoch(t, 1, plainDocument(t, 3), signs("v2"), plainDocument(t, 7), signs("v3"), plainDocument(t, 9))
	order := before.Rollout("signs")
	for name, c := range map[string]struct {
		log      [][]byte
		version  string
		newOrder bool
	}{
		"order not in the copy":                {[][]byte{plainDocument(t, 3)}, "v3", false},
		"earlier order in the copy":            {[][]byte{plainDocument(t, 3), signs("v2")}, "v3", false},
		"order in the copy":                    {[][]byte{plainDocument(t, 3), signs("v2"), plainDocument(t, 7), signs("v3")}, "v3", false},
		"order written again at another index": {[][]byte{plainDocument(t, 3), signs("v3")}, "v3", false},
		"newer order at a later index":         {[][]byte{plainDocument(t, 3), signs("v2"), plainDocument(t, 7), plainDocument(t, 9), signs("v4")}, "v4", true},
		"earlier order at a later index":       {[][]byte{plainDocument(t, 3), plainDocument(t, 4), plainDocument(t, 5), plainDocument(t, 6), signs("v2")}, "v2", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := foldInEpoch(t, 2, c.log...).AfterRestore(before)
			got := s.Rollout("signs")
			must.Eq(t, c.version, got.GetRollout().GetToVersion())
			must.Eq(t, c.newOrder, got.GetOffset() != order.GetOffset())
		})
	}

	// After the restore, the operator writes the order again. The first record restates the
	// order; the second is a new one.
	s := foldInEpoch(t, 2, plainDocument(t, 3)).AfterRestore(before)
	again, _, err := Apply(s, s.Offset+1, signs("v3"))
	must.NoError(t, err)
	must.Eq(t, order.GetOffset(), again.Rollout("signs").GetOffset())
	decoded, err := Decode(again.Encode())
	must.NoError(t, err)
	must.Eq(t, again.Offset, decoded.Rollout("signs").GetRestated())
	anew, _, err := Apply(again, again.Offset+1, signs("v3"))
	must.NoError(t, err)
	must.Eq(t, anew.Offset, anew.Rollout("signs").GetOffset())
}

// Guards against a daemon that started from an older copy of the log and never gets the newer
// document that other daemons have in force.
func TestWithNewerPeerState(t *testing.T) {
	before := foldInEpoch(t, 1, plainDocument(t, 3), plainDocument(t, 9))
	log := foldInEpoch(t, 2, plainDocument(t, 3))
	for _, theirs := range []*State{before, log.AfterRestore(before)} {
		s := log.WithNewerPeerState(theirs)
		must.Eq(t, 9, s.Document().GetVersion())
		must.Eq(t, log.Offset, s.Offset)
		must.True(t, s.WithNewerPeerState(theirs) == s)
		must.True(t, s.WithNewerPeerState(log) == s)
	}
}
