package membership

import (
	"bytes"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// deliveryTime is the time within which a note must reach every connected daemon.
const deliveryTime = 3 * time.Second

// crashNote returns a note of the size of one about a crash under nine requests.
func crashNote(i int) []byte { return bytes.Repeat([]byte{byte(i + 1)}, 9*16+8) }

// hasNote reports whether a daemon has received a note of another one.
func (nd *node) hasNote(from *node, note []byte) bool {
	m := nd.View().Find(from.self.host)
	return m != nil && slices.ContainsFunc(m.Notes, func(b []byte) bool { return bytes.Equal(b, note) })
}

// A third of the backend servers crash one after the other. The daemon beside each publishes a
// note about the requests under which it crashed, while the changes of announcements are
// gossiped as well. A daemon that received the note later than 3 s would forward such a request
// to a healthy server.
func TestNotes_ReachAllWhileServersCrash(t *testing.T) {
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
		f.runFor(deliveryTime, nil)
		for i := 0; i < n; i += 3 {
			for _, nd := range f.nodes {
				must.True(t, nd.hasNote(f.nodes[i], crashNote(i)), must.Sprintf("%d daemons, crash %d", n, i))
			}
		}
	}
}

// BenchmarkNotes_OneCrash measures how a note about one crash reaches all daemons: 64, 295 and
// 910 of them have it after 0.3, 0.4 and 0.65 s. Meanwhile 6, 14 and 51 kB go between zones,
// including idle probes.
func BenchmarkNotes_OneCrash(b *testing.B) {
	for _, n := range []int{64, 295, 910} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newFleetIn(b, n, 6).joined()
			f.runFor(2*time.Second, nil)
			for i := 0; b.Loop(); i++ {
				before, src := f.crossBytes, f.nodes[i%n]
				src.SetNotes([][]byte{crashNote(i)})
				took := f.run(deliveryTime, func() bool {
					return !slices.ContainsFunc(f.nodes, func(nd *node) bool { return !nd.hasNote(src, crashNote(i)) })
				})
				b.ReportMetric(took.Seconds(), "s_until_known")
				b.ReportMetric(float64(f.crossBytes-before), "B_between_zones")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// Notes must never displace the announcement of the backend server, and must not make the server
// appear to have just started: callers would send it fewer requests, as they do to a cold
// server.
func TestNotes_KeepAnnouncementAndAge(t *testing.T) {
	f := newZonedFleet(t, 4, 2)
	publisher, other := f.nodes[0], f.nodes[1]
	publisher.SetLocalState(serving(0), false)
	f.runFor(10*time.Second, nil)
	started := func() time.Time {
		m := other.View().Find(publisher.self.host)
		return m.Since.Add(-m.Announcements[0].Age)
	}
	before := started()
	var notes [][]byte
	for i := range 30 {
		notes = append(notes, crashNote(i))
	}
	publisher.SetNotes(notes)
	f.run(deliveryTime, func() bool { return other.hasNote(publisher, notes[0]) })
	must.LessEq(t, time.Second, started().Sub(before).Abs())
	got := len(other.View().Find(publisher.self.host).Notes)
	must.Between(t, 1, got, 6)
	longer := append(serving(0), Announcement{Service: string(bytes.Repeat([]byte{'s'}, maxNameBytes)), Slots: 1})
	publisher.SetLocalState(longer, false)
	f.run(deliveryTime, func() bool { return len(other.View().Find(publisher.self.host).Announcements) == 2 })
	must.LessEq(t, got, len(other.View().Find(publisher.self.host).Notes))
}
