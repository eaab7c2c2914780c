package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// setDirectory lets a daemon know the hosts of the fleet and some that are gone for good.
func (nd *node) setDirectory(hosts, gone int) {
	var digests []uint64
	for i := range hosts {
		digests = append(digests, HostDigest(nd.f.nodes[i].self.host))
	}
	for i := range gone {
		digests = append(digests, HostDigest(string(rune('a'+i))))
	}
	nd.SetDirectoryHosts(digests)
}

// newKnownFleet returns a fleet of n joined daemons that have read the directory.
func newKnownFleet(t *testing.T, n int) *fleet {
	f := newJoinedFleet(t, n)
	for _, nd := range f.nodes {
		nd.setDirectory(n, 0)
	}
	f.runFor(time.Second, nil)
	for _, nd := range f.nodes {
		must.Zero(t, nd.View().Missing)
	}
	return f
}

// Guards against daemons that are restarted while they are cut off, alone or together, and take those that
// they meet for the whole fleet.
func TestView_MissingHostsOfDaemonsRestartedWhileCutOff(t *testing.T) {
	const n = 10
	for _, inside := range []int{1, 3, 5} {
		f := newKnownFleet(t, n)
		f.partitioned = func(from, to *node) bool { return (from.index < inside) != (to.index < inside) }
		for i := range inside {
			nd := f.start(i, i, uint64(1000+i))
			must.Eq(t, 1, nd.View().Missing, must.Sprint("nothing is known yet"))
			nd.setDirectory(n, 0)
		}
		for i := range inside {
			nd := f.nodes[i]
			nd.join((i+1)%inside, n-1)
		}
		f.runFor(5*time.Second, nil)
		f.runFor(20*time.Second, func() {
			for i := range inside {
				v := f.nodes[i].View()
				must.Eq(t, n-inside, v.Missing)
				must.Eq(t, n, v.Known())
				must.Eq(t, 2*inside >= n, v.ReachesHalf())
			}
			must.Zero(t, f.nodes[n-1].View().Missing)
		})
		f.partitioned = nil
		f.run(30*time.Second, func() bool {
			for i := range inside {
				if v := f.nodes[i].View(); v.Missing > 0 || len(v.Live()) < n {
					return false
				}
			}
			return true
		})
	}
}

// Guards against a fleet that grants a part of the contracts for long after all daemons lost power, since the
// directory still names hosts that are gone for good.
func TestView_FleetThatStartsAgainFindsItself(t *testing.T) {
	const n = 10
	f := newFleet(t, n)
	for i, nd := range f.nodes {
		nd.setDirectory(n, n/2)
		nd.join((i+1)%n, (i+2)%n, (i+3)%n)
	}
	f.run(5*time.Second, func() bool {
		for _, nd := range f.nodes {
			if nd.View().Missing > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a restarted daemon that counts hosts of the directory that are gone for good, although it has
// the table of a daemon that knows the fleet.
func TestView_JoinedDaemonMissesNobody(t *testing.T) {
	const n = 10
	f := newKnownFleet(t, n)
	nd := f.start(3, 3, 1000)
	nd.setDirectory(n, 3*n)
	must.Eq(t, 1, nd.join(5))
	must.Zero(t, nd.View().Missing)
	must.Eq(t, n, nd.View().Known())
}

// Guards against a daemon that is left over and waits for the others forever.
func TestView_MissingHostsAreGivenUp(t *testing.T) {
	f := newFleet(t, 1)
	nd := f.nodes[0]
	nd.setDirectory(1, 4)
	nd.update(nd.announce)
	f.step()
	must.Eq(t, 4, nd.View().Missing)
	f.now = f.now.Add(nd.opts.PartitionTimeout)
	f.step()
	must.Zero(t, nd.View().Missing)
}
