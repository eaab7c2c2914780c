package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/eventlog"
)

func peersFunc(p PeerCounts) func() PeerCounts { return func() PeerCounts { return p } }

// Guards against servers of a new version that receive their full share of the calls before the
// order is known, and against withholding calls from servers that no others can replace.
func TestRoleOf(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	order := &Order{Service: "signs", ToVersion: "v2", Duration: 12 * time.Second, Offset: 3}
	for name, c := range map[string]struct {
		order   *Order
		outcome Outcome
		local   LocalServer
		now     float64
		want    Role
	}{
		"no order":                            {nil, 0, LocalServer{Version: "v1", FirstSeen: at(0), Peers: peersFunc(PeerCounts{Same: 8})}, 1, Unaffected},
		"no order, in the minority":           {nil, 0, LocalServer{Version: "v2", FirstSeen: at(0), Peers: peersFunc(PeerCounts{Same: 2, Other: 8})}, 1, Pending},
		"order not received in time":          {nil, 0, LocalServer{Version: "v2", FirstSeen: at(0), Peers: peersFunc(PeerCounts{Same: 2, Other: 8})}, 4, Unaffected},
		"no order, version unknown":           {nil, 0, LocalServer{FirstSeen: at(0), Peers: peersFunc(PeerCounts{Other: 8})}, 1, Unaffected},
		"new version":                         {order, 0, LocalServer{Version: "v2", FirstSeen: at(1), OrderKnownAt: at(1), Peers: peersFunc(PeerCounts{Other: 8})}, 2, Canary},
		"old version":                         {order, 0, LocalServer{Version: "v1", FirstSeen: at(-60), OrderKnownAt: at(0)}, 2, Stable},
		"version unknown, no peer has target": {order, 0, LocalServer{FirstSeen: at(1), OrderKnownAt: at(0)}, 2, Stable},
		"version unknown":                     {order, 0, LocalServer{FirstSeen: at(1), OrderKnownAt: at(0), Peers: peersFunc(PeerCounts{Other: 8, Target: 4})}, 2, Pending},
		"version unknown, rolled back":        {order, RolledBack, LocalServer{FirstSeen: at(1), OrderKnownAt: at(0), Peers: peersFunc(PeerCounts{Other: 8, Target: 4})}, 2, Pending},
		"version unknown for too long":        {order, 0, LocalServer{FirstSeen: at(1), OrderKnownAt: at(0), Peers: peersFunc(PeerCounts{Other: 8, Target: 4})}, 5, Stable},
		"version and others unknown":          {order, 0, LocalServer{FirstSeen: at(1), OrderKnownAt: at(0), Peers: peersFunc(PeerCounts{Incomplete: true})}, 2, Pending},
		"others not found since the start":    {order, 0, LocalServer{Version: "v2", FirstSeen: at(0), OrderKnownAt: at(0), Peers: peersFunc(PeerCounts{Incomplete: true})}, 4, Canary},
		"no other server left":                {order, 0, LocalServer{Version: "v2", FirstSeen: at(0), OrderKnownAt: at(0)}, 4, Unaffected},
		"in service before the order":         {order, 0, LocalServer{Version: "v2", FirstSeen: at(-60), OrderKnownAt: at(0), Peers: peersFunc(PeerCounts{Same: 8})}, 1, Unaffected},
		"earlier order not finished":          {order, 0, LocalServer{Version: "v0", FirstSeen: at(-5), OrderKnownAt: at(0), Unproven: true, Peers: peersFunc(PeerCounts{Other: 8})}, 2, Pending},
		"rolled back":                         {order, RolledBack, LocalServer{Version: "v2", FirstSeen: at(0), OrderKnownAt: at(0)}, 60, Canary},
		"rolled back, old version":            {order, RolledBack, LocalServer{Version: "v1", FirstSeen: at(-60), OrderKnownAt: at(0)}, 60, Unaffected},
		"succeeded":                           {order, Succeeded, LocalServer{Version: "v2", FirstSeen: at(0), OrderKnownAt: at(0), OutcomeKnownAt: at(11)}, 12, Unaffected},
		"succeeded, old version":              {order, Succeeded, LocalServer{Version: "v1", FirstSeen: at(-60), OrderKnownAt: at(0), OutcomeKnownAt: at(11)}, 12, Stable},
		"succeeded, old version still runs":   {order, Succeeded, LocalServer{Version: "v1", FirstSeen: at(-60), OrderKnownAt: at(0), OutcomeKnownAt: at(11)}, 30, Unaffected},
	} {
		if c.local.Peers == nil {
			c.local.Peers = peersFunc(PeerCounts{})
		}
		must.Eq(t, c.want, RoleOf(c.order, c.outcome, c.local, at(c.now)), must.Sprint(name))
	}
}

// Guards against a gate that keeps its mode without a decider. When its permit expires, calls
// must go to the servers that received them before the order.
func TestGate_PermitExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, newVersion := range []bool{true, false} {
		g := NewGate(func() time.Time { return now })
		w := &Tracker{NewVersion: newVersion, OrderKnownAt: now}
		g.SetTracker(w)
		must.Eq(t, newVersion, g.Check() != nil)
		w.SetPermit(Permit{Mode: Open, Lease: time.Second}, now)
		must.NoError(t, g.Check())
		w.SetPermit(Permit{Mode: Closed, Lease: time.Second}, now)
		must.Error(t, g.Check())
		w.SetPermit(Permit{Mode: Limited, AdmitUpTo: 2, Lease: time.Second}, now)
		for i := range 4 {
			c, err := g.Begin()
			must.Eq(t, i < 2, err == nil)
			c.End("r", Answered, time.Millisecond, true)
		}
		now = now.Add(time.Second)
		must.Eq(t, newVersion, g.Check() != nil)
		must.Eq(t, 2, w.Report(now).Admitted)
		must.Eq(t, 0, w.Report(now).InFlight)
	}
}

// Guards against data lost by encoding and decoding reports, permits and directory entries.
func TestReport_Codec(t *testing.T) {
	w := &Tracker{Order: Order{Service: "signs", Offset: 7}, Server: ServerID{"h", 1, 2}, NewVersion: true, OrderKnownAt: time.Unix(1000, 0)}
	w.recorder.record("r", Answered, 120*time.Millisecond, true)
	w.recorder.record("r", Failed, 0, true)
	w.recorder.record("r", Inconclusive, 0, true)
	w.SetPermit(Permit{Mode: Limited, AdmitUpTo: 9, Lease: time.Second}, time.Unix(1000, 0))
	r := w.Report(time.Unix(1000, 5e8))
	got, err := DecodeReport(EncodeReport(w.Order, r))
	must.NoError(t, err)
	must.Eq(t, r, got)
	p := Permit{Mode: Limited, AdmitUpTo: 5, Lease: time.Second, Outcome: RolledBack, Recorded: true}
	must.Eq(t, p, DecodePermit(EncodePermit(p)))
	ended := RecordedOutcome{Order{Service: "signs", ToVersion: "v2", Offset: 7, Duration: 12 * time.Second}, RolledBack}
	value, err := EncodeEntry(ended)
	must.NoError(t, err)
	e, ok := DecodeEntry(value)
	must.True(t, ok)
	must.Eq(t, ended, e)
	other := ended.Order
	other.Offset = eventlog.MakeOffset(1, 3)
	must.True(t, e.Matches(ended.Order))
	must.True(t, e.Matches(other), must.Sprint("the same order, appended again after a restore"))
	must.False(t, RecordedOutcome{other, RolledBack}.Matches(ended.Order))
	other.ToVersion = "v3"
	must.False(t, e.Matches(other))
	other = ended.Order
	other.Offset++
	must.False(t, e.Matches(other), must.Sprint("a repeated order in the same epoch"))
	_, ok = DecodeEntry([]byte("\x0a\x04host"))
	must.False(t, ok)
}
