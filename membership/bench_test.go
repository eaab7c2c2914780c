package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var benchSizes = []int{64, 256, 910}

// BenchmarkSpread measures how one drained backend server becomes known.
func BenchmarkSpread(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newJoinedFleet(b, n)
			f.runFor(2*time.Second, nil)
			var took time.Duration
			packets, bytes := f.packets, f.bytes
			for i := 0; b.Loop(); i++ {
				src := f.nodes[i%n]
				src.SetLocal([]Announcement{{Service: "sign-feed", Slots: 10, Draining: i%2 == 0}}, false)
				want := src.self.incarnation
				took = max(took, f.run(10*time.Second, func() bool {
					for _, nd := range f.nodes {
						if nd.table.get(src.self.host).incarnation != want {
							return false
						}
					}
					return true
				}))
				f.runFor(3*time.Second, nil)
			}
			per := float64(b.N * n)
			b.ReportMetric(float64(took.Milliseconds()), "worst-ms")
			b.ReportMetric(float64(f.packets-packets)/per, "packets/daemon")
			b.ReportMetric(float64(f.bytes-bytes)/per, "bytes/daemon")
			must.Zero(b, f.syncs)
		})
	}
}

// BenchmarkIdle measures what the protocol sends when nothing changes.
func BenchmarkIdle(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newJoinedFleet(b, n)
			f.runFor(2*time.Second, nil)
			packets, bytes := f.packets, f.bytes
			for b.Loop() {
				f.runFor(time.Second, nil)
			}
			per := float64(b.N * n)
			b.ReportMetric(float64(f.packets-packets)/per, "packets/daemon-s")
			b.ReportMetric(float64(f.bytes-bytes)/per, "bytes/daemon-s")
			must.Zero(b, f.syncs)
		})
	}
}
