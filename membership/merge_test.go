package membership

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawRecord returns a record as a few processes of a few hosts could produce it: an info always
// belongs to the incarnation that is its revision.
func drawRecord(t *rapid.T) record {
	r := record{
		host: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"),
		state: state{
			incarnation: rapid.Uint64Range(1, 5).Draw(t, "incarnation"),
			boot:        rapid.Uint64Range(1, 3).Draw(t, "boot"),
			liveness:    rapid.SampledFrom([]Liveness{Alive, Suspect, Dead, Left}).Draw(t, "liveness"),
		},
		offset: rapid.Uint64Range(0, 9).Draw(t, "offset"),
		floor:  rapid.Uint64Range(0, 9).Draw(t, "floor"),
	}
	if rapid.Bool().Draw(t, "full") {
		revision := rapid.Uint64Range(1, r.incarnation).Draw(t, "revision")
		addr := netip.AddrFrom4([4]byte{10, 0, byte(r.boot), byte(revision)})
		r.info = &info{revision: revision, boot: r.boot, region: "r", peerAddr: netip.AddrPortFrom(addr, 1)}
	}
	return r
}

// converged is the state of one host on which all daemons must agree.
type converged struct {
	state   state
	info    info
	highest uint64
}

func (t *table) converged() map[string]converged {
	all := make(map[string]converged)
	for _, e := range t.order {
		c := converged{state: e.state, highest: e.highest()}
		if e.info != nil {
			c.info = *e.info
		}
		all[e.host] = c
	}
	return all
}

// Daemons that receive the same records in any order and with repetitions must end with the same
// table and digests. Meanwhile no incarnation or floor may decrease, and the counts and digests
// must match the entries.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 30).Draw(t, "records")
		again := rapid.SliceOf(rapid.SampledFrom(records)).Draw(t, "repeated")
		shuffled := rapid.Permutation(slices.Concat(records, again)).Draw(t, "shuffled")
		a, b := newTable(10), newTable(10)
		for i := range records {
			a.merge(&records[i])
		}
		for i := range shuffled {
			r := &shuffled[i]
			var before entry
			if e := b.get(r.host); e != nil {
				before = *e
			}
			e, _ := b.merge(r)
			must.GreaterEq(t, before.incarnation, e.incarnation)
			must.GreaterEq(t, before.highest(), e.highest())
			b.checkCounts(t)
		}
		must.Eq(t, a.converged(), b.converged())
		must.Eq(t, a.digests, b.digests)
	})
}

// checkCounts checks the counts and digests against the entries.
func (t *table) checkCounts(tb must.T) {
	var d digests
	usable, suspects := 0, 0
	for _, e := range t.order {
		usable += count(e.usable())
		suspects += count(e.liveness == Suspect)
		if e.usable() {
			d[bucketOf(e.host)] ^= digestOf(e)
		}
	}
	must.Eq(tb, d, t.digests)
	must.Eq(tb, usable, t.usable)
	must.Eq(tb, suspects, t.suspects)
}

// A member that refutes a suspicion with a higher incarnation must stay alive, regardless of how
// often and how late the suspicion arrives again.
func TestRefutedSuspicionStaysRefuted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable(1)
		s := state{incarnation: rapid.Uint64Range(1, 9).Draw(t, "incarnation"), boot: 1, liveness: Suspect}
		refuted := state{incarnation: s.incarnation + 1, boot: 1, liveness: Alive}
		late := rapid.SliceOf(rapid.SampledFrom([]Liveness{Alive, Suspect, Dead, Left})).Draw(t, "late")
		tb.merge(&record{host: "a", state: s})
		tb.merge(&record{host: "a", state: refuted})
		for _, l := range late {
			s.liveness = l
			tb.merge(&record{host: "a", state: s})
		}
		must.Eq(t, refuted, tb.get("a").state)
	})
}
