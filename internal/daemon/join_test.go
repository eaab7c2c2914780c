package daemon

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/internal/settings"
	"github.com/crocuscross/crocuscross/membership"
)

// seedNetwork gives the daemons of a fleet addresses of their own with one port for all of them.
func seedNetwork(t *testing.T, f *storeFleet, seeds ...string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.77.0.250:0")
	must.NoError(t, err)
	port := ln.Addr().(*net.TCPAddr).Port
	must.NoError(t, ln.Close())
	change, next := f.adjustSettings, 0
	f.adjustSettings = func(s *settings.Settings) {
		change(s)
		next++
		s.Listen.Peers = fmt.Sprintf("127.77.0.%d:%d", next, port)
		s.AvailabilityZone = "zone"
		s.Membership.JoinTimeout = settings.Duration(waitLimit)
		s.Seeds = append(s.Seeds, seeds...)
	}
}

// A host starts while others run and its seeds answer. Guards against calls to the platform for each
// start: the members, the document and the directory's entries come from the other daemons.
func TestStore_StartThroughSeedsMakesNoCalls(t *testing.T) {
	f := newStoreFleet(t, 0)
	// The port of a seed is that of another listener.
	seedNetwork(t, f, "127.77.0.1:1", "127.77.0.2:1")
	for range 5 {
		f.start()
	}
	f.putDocument(3)
	f.waitJoined()
	f.eventually("the directory is known", func() bool { return f.daemons[0].contacts.EntriesKnown() })

	calls := f.countStoreCalls()
	d := f.start()
	f.eventually("the document came from a daemon", func() bool {
		snap := d.board.Snapshot.Load()
		return snap != nil && snap.Document() != nil
	})
	must.True(t, d.contacts.EntriesKnown())
	contacts, others := calls.newestCalls("contacts")
	must.Zero(t, contacts+others)
}

// All seeds are down. The daemon finds the others through the platform's directory.
func TestStore_StartWithDeadSeeds(t *testing.T) {
	f := newStoreFleet(t, 0)
	seedNetwork(t, f, "127.77.0.99:1")
	for range 3 {
		f.start()
	}
	f.putDocument(3)
	f.waitJoined()
}

// All daemons start at once. Guards against a start in which each daemon reads the configuration and
// the directory from the platform: their number grows with the fleet, that of the readers does not.
func TestStore_FleetStartLeavesTheStoreToAFew(t *testing.T) {
	const daemons = 14
	f := newStoreFleet(t, 0)
	seedNetwork(t, f, "127.77.0.1:1", "127.77.0.2:1", "127.77.0.3:1")
	f.store.PutConfig(documentWith(3, "", ""))
	calls := f.countStoreCalls()
	for range daemons {
		f.run(f.build())
	}
	f.waitJoined()
	f.eventually("the document is in force", func() bool {
		for _, d := range f.daemons {
			snap := d.board.Snapshot.Load()
			if snap == nil || snap.Document() == nil {
				return false
			}
		}
		return true
	})
	contacts, others := calls.newestCalls("contacts")
	t.Logf("%d daemons: %d reads of the directory, %d of the configuration", daemons, contacts, others)
	must.LessEq(t, daemons, contacts+others)
}

// The delay until a daemon asks the log grows with the logarithm of its rank: doubled ranks add one
// step, and the last of 2,000 hosts of one zone still asks within a start's time.
func TestLogDelayOfRank(t *testing.T) {
	must.Zero(t, logDelayOfRank(0, 2))
	must.Zero(t, logDelayOfRank(1, 2))
	must.Eq(t, logDelayPerLevel, logDelayOfRank(2, 2))
	must.Eq(t, 2*logDelayPerLevel, logDelayOfRank(4, 2))
	must.LessEq(t, 10*logDelayPerLevel, logDelayOfRank(1999, 2))
}

// The daemons that are queried at a start precede this one in the order of readers, so that each is
// queried by few: in a zone of 164 hosts that start at once, none by more than a third of them.
func TestSelectRecoveryPeers_SpreadsTheQueries(t *testing.T) {
	const hosts = 164
	var members []*membership.Member
	for i := range hosts {
		members = append(members, &membership.Member{
			Host: fmt.Sprintf("host-%03d", i), AvailabilityZone: "z", Liveness: membership.Alive, LinkMbps: float32(10 + 990*(i%16/15)),
		})
	}
	queries := map[string]int{}
	for i, self := range members {
		others := append(append([]*membership.Member{}, members[:i]...), members[i+1:]...)
		for _, m := range selectRecoveryPeers(self, others) {
			queries[m.Host]++
		}
	}
	for host, n := range queries {
		must.LessEq(t, hosts/3, n, must.Sprint(host))
	}
}

// In the first start of a fleet there are no seeds. Guards against puts that grow with the fleet: of
// 10 to 1,000 hosts of a zone about as many find fewer than eight entries in the directory, if an
// entry is there 20 ms after its host has read the directory.
func TestFirstStartDelay_LeavesThePutsToAFew(t *testing.T) {
	const visible = 20 * time.Millisecond
	for _, hosts := range []int{10, 100, 1000} {
		rng := rand.New(rand.NewPCG(uint64(hosts), 1))
		var at []time.Duration
		for range hosts {
			at = append(at, firstStartDelay(rng.Float64()))
		}
		slices.Sort(at)
		must.Between(t, 0, at[0], firstStartWindow)
		must.LessEq(t, firstStartWindow, at[hosts-1])
		puts := 0
		for i, own := range at {
			seen, _ := slices.BinarySearch(at[:i], own-visible)
			if min(seen, puts) < 8 {
				puts++
			}
		}
		t.Logf("%d hosts: %d puts", hosts, puts)
		must.LessEq(t, 20, puts)
	}
}
