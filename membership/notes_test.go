package membership

import (
	"bytes"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// contact is the time after which every daemon in touch must know what any has told.
const contact = 3 * time.Second

// crashNote is a note as long as that of a crash under nine calls.
func crashNote(i int) []byte { return bytes.Repeat([]byte{byte(i + 1)}, 9*16+8) }

// knows reports whether a daemon has the notes of others.
func (nd *node) knows(from *node, note []byte) bool {
	m := nd.View().Find(from.self.host)
	return m != nil && slices.ContainsFunc(m.Notes, func(b []byte) bool { return bytes.Equal(b, note) })
}

// Backend servers end one after the other, a third of all within a second, and return. Each
// daemon beside one tells of the requests that it ended under, while the news of servers that left
// and came is at its height. Where a daemon learned of it later than 3 s, it would send that
// request on to a server that is whole.
func TestNotes_ReachAllWhileServersEnd(t *testing.T) {
	for _, n := range []int{64, 295} {
		f := newZonedFleet(t, n, 6)
		for i, nd := range f.nodes {
			nd.SetLocalState(serving(i), false)
		}
		f.runFor(3*time.Second, nil)
		for i := 0; i < n; i += 3 {
			f.nodes[i].SetLocalState(nil, false)
			f.nodes[i].SetNotes([][]byte{crashNote(i)})
			f.step()
		}
		f.runFor(contact, nil)
		for i := 0; i < n; i += 3 {
			for _, nd := range f.nodes {
				must.True(t, nd.knows(f.nodes[i], crashNote(i)), must.Sprintf("%d daemons, crash %d", n, i))
			}
		}
	}
}

// One crash is known to all of 64, 295 and 910 daemons after 0.3, 0.4 and 0.65 s, and 6, 14
// and 51 kB go between zones meanwhile, idle probes included. Before, nothing was told.
func BenchmarkNotes_OneCrash(b *testing.B) {
	for _, n := range []int{64, 295, 910} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newFleetIn(b, n, 6).joined()
			f.runFor(2*time.Second, nil)
			for i := 0; b.Loop(); i++ {
				before, src := f.crossBytes, f.nodes[i%n]
				src.SetNotes([][]byte{crashNote(i)})
				took := f.run(contact, func() bool {
					return !slices.ContainsFunc(f.nodes, func(nd *node) bool { return !nd.knows(src, crashNote(i)) })
				})
				b.ReportMetric(took.Seconds(), "s_until_known")
				b.ReportMetric(float64(f.crossBytes-before), "B_between_zones")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// What a daemon tells beside its membership never keeps its backend server from being
// announced, and does not make it look like one that has just started: callers would go
// easy on it, as on one that is cold.
func TestNotes_LeaveTheAnnouncementAsItIs(t *testing.T) {
	f := newZonedFleet(t, 4, 2)
	told, other := f.nodes[0], f.nodes[1]
	told.SetLocalState(serving(0), false)
	f.runFor(10*time.Second, nil)
	started := func() time.Time {
		m := other.View().Find(told.self.host)
		return m.Since.Add(-m.Announcements[0].Age)
	}
	before := started()
	var notes [][]byte
	for i := range 30 {
		notes = append(notes, crashNote(i))
	}
	told.SetNotes(notes)
	f.run(contact, func() bool { return other.knows(told, notes[0]) })
	must.LessEq(t, time.Second, started().Sub(before).Abs())
	got := len(other.View().Find(told.self.host).Notes)
	must.Between(t, 1, got, 6)
	longer := append(serving(0), Announcement{Service: string(bytes.Repeat([]byte{'s'}, maxNameBytes)), Slots: 1})
	told.SetLocalState(longer, false)
	f.run(contact, func() bool { return len(other.View().Find(told.self.host).Announcements) == 2 })
	must.LessEq(t, got, len(other.View().Find(told.self.host).Notes))
}
