package fleet_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/fleet"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// fakePeers is a Caller that responds for all other daemons of a test.
type fakePeers struct {
	mu     sync.Mutex
	status map[netip.AddrPort]func() (*peerpb.StatusAnswer, error)
	calls  map[netip.AddrPort]int
	// drainReasons holds the reasons of the received drain requests by daemon.
	drainReasons map[netip.AddrPort]string
}

func newFakePeers() *fakePeers {
	return &fakePeers{
		status:       map[netip.AddrPort]func() (*peerpb.StatusAnswer, error){},
		calls:        map[netip.AddrPort]int{},
		drainReasons: map[netip.AddrPort]string{},
	}
}

func (d *fakePeers) Call(ctx context.Context, addr netip.AddrPort, kind peerpb.Kind, req, resp proto.Message) error {
	d.mu.Lock()
	d.calls[addr]++
	f := d.status[addr]
	if kind == peerpb.Kind_KIND_DRAIN {
		d.drainReasons[addr] = req.(*peerpb.DrainAsk).GetReason()
	}
	d.mu.Unlock()
	if f == nil {
		return errors.Mark(errors.New("connection refused"), peer.ErrUnreachable)
	}
	if kind != peerpb.Kind_KIND_STATUS {
		return nil
	}
	a, err := f()
	if err == nil {
		proto.Merge(resp, a)
	}
	return err
}

// statusWithOffsetSince returns the status of a daemon on which offset comes into force at a time.
// Until then, the preceding offset is in force.
func statusWithOffsetSince(offset uint64, at time.Time) func() (*peerpb.StatusAnswer, error) {
	return func() (*peerpb.StatusAnswer, error) {
		age := time.Since(at)
		if age < 0 {
			return &peerpb.StatusAnswer{Offset: offset - 1, InForceAgeMs: 3_600_000}, nil
		}
		return &peerpb.StatusAnswer{Offset: offset, InForceAgeMs: uint64(age.Milliseconds())}, nil
	}
}

func addr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 7400)
}

func member(host, zone string, n byte, l membership.Liveness) *membership.Member {
	return &membership.Member{Host: host, AvailabilityZone: zone, PeerAddr: addr(n), Liveness: l}
}

func newFleet(peers fleet.Caller, members ...*membership.Member) (*fleet.Fleet, *blackboard.Board) {
	board := &blackboard.Board{}
	board.Members.Store(&membership.View{Self: members[0], Members: members})
	opts := fleet.DefaultOptions()
	opts.Board = board
	opts.Local = fleet.NewLocalStatus(fleet.LocalStatusOptions{Board: board, Host: members[0].Host})
	opts.Peers = peers
	opts.Drain = func(string) {}
	return fleet.New(opts), board
}

func snapshotAt(offset uint64) *snapshot.Snapshot {
	return &snapshot.Snapshot{Offset: offset, State: fold.Empty()}
}

// Alive and suspect members are queried over the network, dead members are not, and this daemon's
// own status is read locally.
func TestStatus_QueriesUsableMembersOnly(t *testing.T) {
	peers := newFakePeers()
	peers.status[addr(2)] = statusWithOffsetSince(7, time.Now())
	f, _ := newFleet(peers,
		member("a", "z1", 1, membership.Alive), member("b", "z1", 2, membership.Suspect),
		member("c", "z2", 3, membership.Alive), member("d", "z2", 4, membership.Dead))
	reports := f.Status(t.Context())
	must.Len(t, 4, reports)
	must.Eq(t, "a", reports[0].Status.GetHost())
	must.Eq(t, 7, reports[1].Status.GetOffset())
	must.True(t, errors.Is(reports[2].Err, peer.ErrUnreachable))
	must.Nil(t, reports[3].Status)
	must.NoError(t, reports[3].Err)
	must.Zero(t, peers.calls[addr(1)]+peers.calls[addr(4)])
}

// A status request in a large fleet queries at most 64 daemons at once. Without a limit, the daemon
// would open a session to every other daemon at the same moment.
func TestStatus_LimitsConcurrency(t *testing.T) {
	var mu sync.Mutex
	var now, most int
	count := func(by int) {
		mu.Lock()
		defer mu.Unlock()
		now += by
		most = max(most, now)
	}
	peers := newFakePeers()
	members := []*membership.Member{member("self", "z", 0, membership.Alive)}
	for n := byte(1); n < 200; n++ {
		members = append(members, member("h"+string(rune('A'+n)), "z", n, membership.Alive))
		peers.status[addr(n)] = func() (*peerpb.StatusAnswer, error) {
			count(1)
			defer count(-1)
			time.Sleep(time.Millisecond)
			return &peerpb.StatusAnswer{}, nil
		}
	}
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleet(peers, members...)
		must.Len(t, 200, f.Status(t.Context()))
		must.Eq(t, 64, most)
	})
}

// The convergence time is 1.5 s, when the version came into force on the last daemon. It is
// independent of the other daemons' clocks because each reports an age. A daemon on which the
// version was in force before the start counts as 0.
func TestConverge_MeasuresTimeByAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		peers := newFakePeers()
		peers.status[addr(2)] = statusWithOffsetSince(5, start.Add(1500*time.Millisecond))
		peers.status[addr(3)] = statusWithOffsetSince(6, start.Add(-time.Hour))
		f, board := newFleet(peers, member("a", "z", 1, membership.Alive),
			member("b", "z", 2, membership.Alive), member("c", "z", 3, membership.Alive))
		board.Snapshot.Store(snapshotAt(5))
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		c := f.Converge(ctx, 5, start)
		must.True(t, c.Converged)
		must.Eq(t, 1500*time.Millisecond, c.Time)
		must.Eq(t, 1600*time.Millisecond, time.Since(start))
		must.Eq(t, 0, c.Daemons[2].After)
		must.Eq(t, 1, peers.calls[addr(3)])
	})
}

// If a daemon stays behind, the result must not be converged and must name that daemon and the
// reason.
func TestConverge_NamesDaemonsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newFakePeers()
		peers.status[addr(2)] = func() (*peerpb.StatusAnswer, error) {
			return &peerpb.StatusAnswer{Offset: 4, LogError: "down", LogErrorAgeMs: 9000}, nil
		}
		f, board := newFleet(peers, member("a", "z", 1, membership.Alive), member("b", "z", 2, membership.Alive))
		board.Snapshot.Store(snapshotAt(5))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c := f.Converge(ctx, 5, time.Now())
		must.False(t, c.Converged)
		must.True(t, c.Daemons[0].InForce)
		must.False(t, c.Daemons[1].InForce)
		must.Eq(t, "cannot read the platform's log for 9s: down", c.Daemons[1].Reason)
	})
}

// The version is in force on daemon b, which then restarts under the same name while another daemon
// is still behind. The restarted daemon starts without configuration, so the progress of its
// previous instance does not count.
func TestConverge_QueriesRestartedDaemonAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		peers := newFakePeers()
		peers.status[addr(2)] = statusWithOffsetSince(5, start)
		peers.status[addr(3)] = statusWithOffsetSince(5, start.Add(time.Second))
		a, b, c := member("a", "z", 1, membership.Alive), member("b", "z", 2, membership.Alive), member("c", "z", 3, membership.Alive)
		f, board := newFleet(peers, a, b, c)
		board.Snapshot.Store(snapshotAt(5))
		time.AfterFunc(500*time.Millisecond, func() {
			restarted := *b
			restarted.Boot = 2
			peers.mu.Lock()
			peers.status[addr(2)] = statusWithOffsetSince(5, start.Add(2*time.Second))
			peers.mu.Unlock()
			board.Members.Store(&membership.View{Self: a, Members: []*membership.Member{a, &restarted, c}})
		})
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		got := f.Converge(ctx, 5, start)
		must.True(t, got.Converged)
		must.Eq(t, 2*time.Second, got.Time)
	})
}

func TestLocalStatus_TracksProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := &blackboard.Board{}
		self := fleet.NewLocalStatus(fleet.LocalStatusOptions{Board: board, Host: "a", AvailabilityZone: "z"})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- self.Run(ctx) }()
		step := func() { time.Sleep(time.Second); synctest.Wait() }

		board.Snapshot.Store(snapshotAt(3))
		step()
		// A new snapshot with the same offset, such as after a change of backend servers, does not
		// restart the age.
		board.Snapshot.Store(snapshotAt(3))
		step()
		must.Eq(t, 2000, self.Status().GetInForceAgeMs())

		board.Source.Store(&blackboard.Source{KnownOffset: 5, StuckReason: "unknown rule"})
		step()
		a := self.Status()
		must.Eq(t, 1000, a.GetBehindMs())
		must.Eq(t, 5, a.GetKnownOffset())
		must.Eq(t, "unknown rule", a.GetStuckReason())

		board.Snapshot.Store(snapshotAt(5))
		// Run has not processed the new snapshot yet, but offset and age must match.
		a = self.Status()
		must.Eq(t, 5, a.GetOffset())
		must.Zero(t, a.GetInForceAgeMs())
		must.Zero(t, a.GetBehindMs())
		cancel()
		must.NoError(t, <-done)
	})
}

func TestDrainTargets(t *testing.T) {
	peers := newFakePeers()
	for n := byte(1); n < 4; n++ {
		peers.status[addr(n)] = statusWithOffsetSince(1, time.Now())
	}
	f, _ := newFleet(peers, member("a", "z1", 1, membership.Alive), member("b", "z1", 2, membership.Alive),
		member("c", "z2", 3, membership.Alive), member("d", "z2", 4, membership.Dead))
	for _, c := range []struct {
		target fleet.Target
		want   []string
	}{
		{fleet.Target{}, []string{"a"}},
		{fleet.Target{Host: "a"}, []string{"a"}},
		{fleet.Target{Host: "c"}, []string{"c"}},
		{fleet.Target{AvailabilityZone: "z1"}, []string{"a", "b"}},
		{fleet.Target{AvailabilityZone: "z2"}, []string{"c"}},
	} {
		results, err := f.Drain(t.Context(), c.target, "maintenance")
		must.NoError(t, err)
		var hosts []string
		for _, r := range results {
			must.NoError(t, r.Err)
			hosts = append(hosts, r.Host)
		}
		must.Eq(t, c.want, hosts)
	}
	must.Eq(t, "maintenance", peers.drainReasons[addr(3)])
	for _, bad := range []fleet.Target{{Host: "d"}, {Host: "x"}, {AvailabilityZone: "x"}, {Host: "a", AvailabilityZone: "z1"}} {
		_, err := f.Drain(t.Context(), bad, "")
		must.Eq(t, errkind.BadRequest, errkind.Of(err))
	}
}

func TestStatusAndDrain_OverTCP(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	board := &blackboard.Board{}
	board.Snapshot.Store(snapshotAt(9))
	self := fleet.NewLocalStatus(fleet.LocalStatusOptions{Board: board, Host: "b", AvailabilityZone: "z", Version: "v1"})
	drained := make(chan string, 1)
	served := fleet.DefaultOptions()
	served.Local, served.Drain = self, func(reason string) { drained <- reason }
	srv := peer.NewServer(peer.DefaultServerOptions())
	srv.Handle(peerpb.Kind_KIND_STATUS, self)
	srv.Handle(peerpb.Kind_KIND_DRAIN, peer.HandlerFunc(fleet.New(served).ServeDrain))
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { must.NoError(t, srv.Close()) })

	pool := peer.NewPool(peer.DefaultPoolOptions())
	t.Cleanup(func() { must.NoError(t, pool.Close()) })
	b := member("b", "z", 0, membership.Alive)
	b.PeerAddr = ln.Addr().(*net.TCPAddr).AddrPort()
	f, _ := newFleet(pool, member("a", "z", 1, membership.Alive), b)
	reports := f.Status(t.Context())
	must.NoError(t, reports[1].Err)
	must.Eq(t, 9, reports[1].Status.GetOffset())
	must.Eq(t, "v1", reports[1].Status.GetVersion())
	results, err := f.Drain(t.Context(), fleet.Target{Host: "b"}, "test")
	must.NoError(t, err)
	must.NoError(t, results[0].Err)
	must.Eq(t, "test", <-drained)
}
