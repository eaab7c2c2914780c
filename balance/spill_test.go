package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/errkind"
)

// spillTest is a picker in zone "a" with two servers in each of three zones.
type spillTest struct {
	now     time.Time
	zones   *capacity.Zones
	picker  *Picker
	servers []*backend.Server
}

func newSpillTest() *spillTest {
	s := &spillTest{now: time.Unix(1000, 0)}
	now := func() time.Time { return s.now }
	s.zones = capacity.New(capacity.Options{AvailabilityZone: "a", Host: "a0", Now: now})
	o := DefaultOptions()
	o.AvailabilityZone, o.DisableSlowEjection, o.Now, o.Zones = "a", true, now, s.zones
	s.picker = New(o)
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 2 {
			id := backend.ID{Host: fmt.Sprint(zone, i), Service: "s"}
			s.servers = append(s.servers, &backend.Server{ID: id, AvailabilityZone: zone, Slots: 10, FirstSeen: time.Unix(0, 0)})
		}
	}
	return s
}

// report makes both gates of a zone report a number of calls at ten slots.
func (s *spillTest) report(zone string, calls int) {
	for i := range 2 {
		s.zones.Observe(capacity.Gate{Service: "s", AvailabilityZone: zone, Host: fmt.Sprint(zone, i)},
			Load{InUse: min(calls, 10), Queued: max(calls-10, 0), Slots: 10}, false)
	}
}

func spillOptions() PickOptions {
	return PickOptions{
		Objective: 120 * time.Millisecond,
		Spill:     capacity.Call{ServiceTime: 100 * time.Millisecond, Bytes: 1000, KilobyteTime: 10 * time.Millisecond},
	}
}

// pickZones counts the picks of 1,000 calls by zone.
func (s *spillTest) pickZones(t *testing.T, opts PickOptions) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range 1000 {
		l, err := s.picker.PickWithOptions(s.servers, opts)
		must.NoError(t, err)
		counts[l.Server().AvailabilityZone]++
		l.Done(Result{Kind: errkind.Canceled})
	}
	return counts
}

// A server elsewhere that is four times as fast attracts all calls by latency. With slots free in
// the own zone, no call may leave for that.
func TestSpill_StaysWhileSlotsAreFree(t *testing.T) {
	s := newSpillTest()
	opts := spillOptions()
	for range 20 {
		for _, server := range s.servers {
			latency := 100 * time.Millisecond
			if server.AvailabilityZone != "a" {
				latency = 25 * time.Millisecond
			}
			l, err := s.picker.PickWithOptions(s.servers, PickOptions{Exclude: func(id backend.ID) bool { return id != server.ID }})
			must.NoError(t, err)
			l.Done(Result{Status: 200, Latency: latency})
			s.now = s.now.Add(10 * time.Millisecond)
		}
	}
	must.Greater(t, 900, 1000-s.pickZones(t, opts)["a"], must.Sprint("unknown use: by latency"))
	s.report("a", 7)
	s.report("b", 1)
	must.Eq(t, map[string]int{"a": 1000}, s.pickZones(t, opts))
}

func TestSpill_LeavesFullZone(t *testing.T) {
	s := newSpillTest()
	s.report("a", 20)
	s.report("b", 5)
	s.report("c", 20)
	must.Eq(t, map[string]int{"b": 1000}, s.pickZones(t, spillOptions()))
	must.Eq(t, 1000, s.zones.Stats().Spills[capacity.Relief])
}

// All servers of the own zone have reported waits longer than the call accepts, or have refused the
// call itself. It goes on to a zone with room and not to one that is as full; if there is none, it
// is refused as overloaded.
func TestSpill_RefusedInOwnZone(t *testing.T) {
	for _, tried := range []bool{false, true} {
		for _, room := range []bool{false, true} {
			s := newSpillTest()
			opts := spillOptions()
			opts.Spill.Bytes, opts.MaxWait = 2000, 50*time.Millisecond
			s.report("a", 9)
			s.report("b", 20)
			s.report("c", 20)
			if room {
				s.report("c", 0)
				s.report("c", 0)
				s.report("c", 0)
			}
			if tried {
				opts.Exclude = func(id backend.ID) bool { return id.Host[0] == 'a' }
			} else {
				for _, server := range s.servers[:2] {
					completeCall(t, s.picker, s.servers, server.Host, 100*time.Millisecond, time.Second)
				}
			}
			l, err := s.picker.PickWithOptions(s.servers, opts)
			if !room {
				must.Eq(t, errkind.Overloaded, errkind.Of(err))
				continue
			}
			must.NoError(t, err)
			must.Eq(t, "c", l.Server().AvailabilityZone)
		}
	}
}

// A large upload that its zone refuses has no economic reason to leave. On its final attempt it would
// be lost otherwise, and goes to a zone with room or of unknown use.
func TestSpill_FinalAttemptLeaves(t *testing.T) {
	s := newSpillTest()
	s.report("a", 5)
	s.report("b", 20)
	opts := spillOptions()
	opts.MaxWait, opts.Spill.Bytes = 50*time.Millisecond, 60_000
	for _, server := range s.servers[:2] {
		completeCall(t, s.picker, s.servers, server.Host, 100*time.Millisecond, time.Second)
	}
	_, err := s.picker.PickWithOptions(s.servers, opts)
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	opts.Spill.Final = true
	must.Eq(t, map[string]int{"c": 1000}, s.pickZones(t, opts))
}

// The own zone has no usable server: calls go elsewhere as without the rule, however full the other
// zones are.
func TestSpill_NoServerInOwnZone(t *testing.T) {
	s := newSpillTest()
	s.report("b", 20)
	s.report("c", 20)
	for _, server := range s.servers[:2] {
		server.Suspect = true
	}
	must.Eq(t, 0, s.pickZones(t, spillOptions())["a"])
	must.Eq(t, 1000, s.zones.Stats().Spills[capacity.NoServer])
}
