package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// All daemons start at once with three contacts that know nobody. Each gets the
// part of the table that its contacts have by then; gossip and the comparison
// of digests bring the rest, so callers see the whole fleet within seconds.
func TestColdStart(t *testing.T) {
	const n = 64
	f := newFleet(t, n)
	for _, nd := range f.nodes {
		nd.join(0, 1, 2)
	}
	f.run(10*time.Second, func() bool { return f.agree(n) })
}

// A daemon dies. One of the others probes it in vain, asks three more to try,
// and suspects it; nobody refutes, so it is dead everywhere. Within 2 s callers
// pick its backend server last, within 10 s not at all.
func TestDeathIsFound(t *testing.T) {
	const n = 64
	f := newJoinedFleet(t, n)
	f.runFor(2*time.Second, nil)
	victim := f.nodes[5]
	victim.down = true
	everyoneHas := func(l Liveness) func() bool {
		return func() bool {
			for _, nd := range f.nodes {
				if nd != victim && nd.table.get(victim.self.host).liveness < l {
					return false
				}
			}
			return true
		}
	}
	f.run(5*time.Second, everyoneHas(Suspect))
	f.run(6*time.Second, everyoneHas(Dead))
	for _, nd := range f.nodes {
		must.Eq(t, 1, nd.count(Dead)+count(nd == victim))
	}
}
