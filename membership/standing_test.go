package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a process that takes itself for a member in good standing after it was cut off: it
// suspects nobody meanwhile. It must know that it was held for dead before any other member can hold it
// for alive again, since the others decide by that who owns what.
func TestStanding_OfMemberThatWasCutOff(t *testing.T) {
	const n = 16
	f := newJoinedFleet(t, n)
	f.runFor(5*time.Second, nil)
	p := f.nodes[3]
	must.True(t, f.now.Sub(p.Standing().HeardAt) < 2*time.Second)
	must.True(t, p.Standing().DeclaredDeadAt.IsZero())

	f.partitioned = func(from, to *node) bool { return from == p || to == p }
	cut := f.now
	held := func(l Liveness) int {
		count := 0
		for _, o := range f.nodes {
			if o != p && o.table.get(p.self.host).liveness == l {
				count++
			}
		}
		return count
	}
	f.run(20*time.Second, func() bool { return held(Dead) == n-1 })
	must.False(t, p.Standing().HeardAt.After(cut))
	must.True(t, p.Standing().DeclaredDeadAt.IsZero())

	f.partitioned = nil
	healed := f.now
	f.run(time.Minute, func() bool {
		if held(Alive) > 0 {
			must.False(t, p.Standing().DeclaredDeadAt.Before(healed))
		}
		return held(Alive) == n-1
	})
	must.True(t, p.Standing().HeardAt.After(healed))
}
