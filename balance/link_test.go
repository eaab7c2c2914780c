package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

// upload has a body of 60 kB, which takes 32 ms on a link of 15 Mbit/s.
func upload() PickOptions { return PickOptions{BodyBytes: 60_000, TimeLeft: 1200 * time.Millisecond} }

func newLinkPicker(now *time.Time) *Picker {
	o := DefaultOptions()
	o.AvailabilityZone, o.Region, o.LinkPlacement, o.Host = "a", "r", true, "sender"
	o.Now = func() time.Time { return *now }
	p := New(o)
	// A report at the epoch of the picker counts as none.
	*now = now.Add(time.Second)
	return p
}

// linkServers are two servers behind links of 15 Mbit/s, one in the sender's zone.
func linkServers() []*backend.Server {
	servers := twoServers()
	for _, s := range servers {
		s.LinkMbps = 15
	}
	return servers
}

// report completes a call at a server with the given load of its gate.
func report(t *testing.T, p *Picker, servers []*backend.Server, host string, load Load) {
	t.Helper()
	l, err := p.PickWithOptions(servers, PickOptions{Exclude: func(id backend.ID) bool { return id.Host != host }})
	must.NoError(t, err)
	load.Slots = 9
	l.Done(Result{Status: 200, Latency: 300 * time.Millisecond, Load: &load})
}

func busyLink(wait time.Duration) Load {
	return Load{ServiceTime: 200 * time.Millisecond, LinkWait: wait}
}

// The near link has a wait of 500 ms, with which an upload is answered after 1,082 ms, margins included.
// The far one is idle. An upload with an objective of 1,200 ms must stay in the availability zone, one with less time
// left must leave it.
func TestLinkPlacement_LeavesTheZoneOnlyIfLate(t *testing.T) {
	for left, want := range map[time.Duration]string{1200 * time.Millisecond: "near", time.Second: "far"} {
		now := time.Unix(1000, 0)
		p, servers := newLinkPicker(&now), linkServers()
		report(t, p, servers, "near", busyLink(500*time.Millisecond))
		report(t, p, servers, "far", busyLink(0))
		opts := upload()
		opts.TimeLeft = left
		l, err := p.PickWithOptions(servers, opts)
		must.NoError(t, err)
		must.Eq(t, want, l.Server().Host, must.Sprint(left))
		l.Done(Result{Status: 200})
	}
}

// Both links are too busy for an answer in time. The upload must be rejected without an attempt, and the
// retry-after time is the shorter wait. Reports shrink with time, so that 300 ms later it is accepted.
func TestLinkPlacement_RejectsIfAllAreLate(t *testing.T) {
	now := time.Unix(1000, 0)
	p, servers := newLinkPicker(&now), linkServers()
	report(t, p, servers, "near", busyLink(800*time.Millisecond))
	report(t, p, servers, "far", busyLink(700*time.Millisecond))
	_, err := p.PickWithOptions(servers, upload())
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	must.Eq(t, 700*time.Millisecond, errkind.RetryAfterOf(err))
	now = now.Add(300 * time.Millisecond)
	l, err := p.PickWithOptions(servers, upload())
	must.NoError(t, err)
	must.Eq(t, "near", l.Server().Host)
}

// The links of both zones are equally busy. Guards against zones that exchange their uploads: a server
// outside the zone must have time to spare. A zone without a server of its own has no choice.
func TestLinkPlacement_ZonesDoNotExchangeUploads(t *testing.T) {
	for zone, want := range map[string]errkind.Kind{"a": errkind.Overloaded, "c": errkind.None} {
		now := time.Unix(1000, 0)
		p, servers := newLinkPicker(&now), linkServers()
		p.opts.AvailabilityZone = zone
		report(t, p, servers, "near", busyLink(700*time.Millisecond))
		report(t, p, servers, "far", busyLink(500*time.Millisecond))
		_, err := p.PickWithOptions(servers, upload())
		must.Eq(t, want, errkind.Of(err), must.Sprint(zone))
	}
}

// The work of a call takes as long as its objective. Guards against rejecting such calls while servers
// are idle.
func TestLinkPlacement_LongWork(t *testing.T) {
	now := time.Unix(1000, 0)
	p, servers := newLinkPicker(&now), linkServers()
	report(t, p, servers, "near", Load{ServiceTime: 1200 * time.Millisecond})
	report(t, p, servers, "far", Load{ServiceTime: 1200 * time.Millisecond})
	l, err := p.PickWithOptions(servers, upload())
	must.NoError(t, err)
	must.Eq(t, "near", l.Server().Host)
	must.Eq(t, 150*time.Millisecond, l.MaxWait())
}

// A daemon sends many uploads between two reports. Guards against all of them going to the server whose
// last report said that its link is idle: the bodies assigned since then count, until the gate reports
// that it has requested them.
func TestLinkPlacement_CountsItsOwnBodies(t *testing.T) {
	now := time.Unix(1000, 0)
	p, servers := newLinkPicker(&now), linkServers()
	report(t, p, servers, "near", busyLink(0))
	report(t, p, servers, "far", busyLink(0))
	var leases []*Lease
	for range 25 {
		l, err := p.PickWithOptions(servers, upload())
		must.NoError(t, err)
		leases = append(leases, l)
	}
	// 18 bodies of 32 ms, half of that time as a margin, and 300 ms for the work leave no room for another.
	must.Eq(t, "near", leases[18].Server().Host)
	must.Eq(t, "far", leases[19].Server().Host)
	for _, l := range leases {
		st := l.member.stats
		before := st.link.unreported.Load()
		load := busyLink(0)
		l.Report(&load)
		must.Eq(t, before-60_000, st.link.unreported.Load())
		l.Done(Result{Status: 200, Load: &load})
	}
	for _, m := range leases[0].pool.members {
		must.Eq(t, 0, m.stats.link.unreported.Load())
	}
	l, err := p.PickWithOptions(servers, upload())
	must.NoError(t, err)
	must.Eq(t, "near", l.Server().Host)
}

// A report of a long wait must not keep calls away for good: only calls bring new reports. The same
// holds for a service time beyond the objective.
func TestLinkPlacement_IgnoresOldReports(t *testing.T) {
	now := time.Unix(1000, 0)
	p, servers := newLinkPicker(&now), linkServers()
	for _, host := range []string{"near", "far"} {
		report(t, p, servers, host, Load{LinkWait: time.Hour, ServiceTime: time.Hour, Wait: time.Hour})
	}
	_, err := p.PickWithOptions(servers, upload())
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	now = now.Add(time.Duration(linkReportTTL))
	l, err := p.PickWithOptions(servers, upload())
	must.NoError(t, err)
	must.Eq(t, "near", l.Server().Host)
}

// Calls that are not placed by links: the setting is off, the body is small, or no bandwidth is known.
// They must go to the server that they go to without the setting, whatever the gates report.
func TestLinkPlacement_LeavesOtherCallsAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, change := range map[string]func(*Picker, []*backend.Server, *PickOptions){
		"off":        func(p *Picker, _ []*backend.Server, _ *PickOptions) { p.opts.LinkPlacement = false },
		"small body": func(_ *Picker, _ []*backend.Server, o *PickOptions) { o.BodyBytes = minLinkBody },
		"unknown":    func(_ *Picker, s []*backend.Server, _ *PickOptions) { s[0].LinkMbps, s[1].LinkMbps = 0, 0 },
	} {
		p, servers, opts := newLinkPicker(&now), linkServers(), upload()
		change(p, servers, &opts)
		report(t, p, servers, "near", busyLink(10*time.Second))
		report(t, p, servers, "far", busyLink(0))
		l, err := p.PickWithOptions(servers, opts)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, "near", l.Server().Host, must.Sprint(name))
		must.Eq(t, 0, l.MaxWait(), must.Sprint(name))
	}
}

// A server beside the sender receives bodies over the loopback interface, so that the wait for its
// link does not matter. The same holds for a server whose bandwidth is not known.
func TestLinkPlacement_NoLinkCost(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, change := range map[string]func(*backend.Server){
		"own host":          func(s *backend.Server) { s.Host = "sender" },
		"unknown bandwidth": func(s *backend.Server) { s.LinkMbps = 0 },
	} {
		p, servers := newLinkPicker(&now), linkServers()
		change(servers[0])
		report(t, p, servers, servers[0].Host, busyLink(10*time.Second))
		l, err := p.PickWithOptions(servers, upload())
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, servers[0].Host, l.Server().Host, must.Sprint(name))
		must.Eq(t, 0, l.member.stats.link.unreported.Load())
	}
}

// The gate decides by the wait that the sender states: what is left of the objective after the work with
// its margin, the transfer and the hop, a third less since the wait may last longer than forecast.
func TestLinkPlacement_MaxWait(t *testing.T) {
	now := time.Unix(1000, 0)
	p, servers := newLinkPicker(&now), linkServers()
	report(t, p, servers, "near", busyLink(0))
	l, err := p.PickWithOptions(servers, upload())
	must.NoError(t, err)
	must.Eq(t, 578, l.MaxWait().Milliseconds())
}
