package daemon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/internal/controller/backends"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/spread"
)

// viewAfterUpdate returns a view of n daemons in 6 availability zones and 2 services after the i-th
// update, which changed one member.
func viewAfterUpdate(n, i int) *membership.View {
	v := &membership.View{Members: make([]*membership.Member, n)}
	for j := range n {
		v.Members[j] = &membership.Member{
			Host: fmt.Sprintf("sidecar-%04d", j), Boot: uint64(j + 1), Incarnation: 1, Liveness: membership.Alive,
			AvailabilityZone: fmt.Sprintf("zone-%d", j%6), Region: "region",
			PeerAddr:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(j >> 8), byte(j)}), 7400),
			Announcements: []membership.Announcement{{Service: fmt.Sprintf("service-%d", j%4/3), Slots: 7, Instance: 1}},
			Since:         time.Unix(1000, 0),
		}
	}
	v.Members[i%n].Boot += uint64(i * n)
	v.Self = v.Members[0]
	return v
}

// BenchmarkMemberUpdate measures the cost to a daemon of an update of one member outside of package
// membership: in the set of backend servers, the pools of the picker, the spread plan and the
// quota.
func BenchmarkMemberUpdate(b *testing.B) {
	for _, n := range []int{64, 295, 910} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			views := make([]*membership.View, 16)
			for i := range views {
				views[i] = viewAfterUpdate(n, i)
			}
			o := spread.DefaultOptions()
			o.Host, o.AvailabilityZone = "sidecar-0000", "zone-0"
			s := spread.New(o)
			picker := balance.New(balance.DefaultOptions())
			q := quota.New(quota.DefaultOptions())
			part := map[string]func(*membership.View){
				"backends": func(v *membership.View) {
					set := backends.Derive(v)
					picker.Prune(set)
					for _, service := range []string{"service-0", "service-1"} {
						if l, err := picker.Pick(set.ForService(service), nil); err == nil {
							_ = l
						}
					}
				},
				"spread": s.SetView,
				"quota":  q.SetView,
			}
			for name, f := range part {
				b.Run(name, func(b *testing.B) {
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						f(views[i%len(views)])
					}
				})
			}
		})
	}
}
