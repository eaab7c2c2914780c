package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/errkind"
)

func newTestPicker(now *time.Time) *Picker {
	o := DefaultOptions()
	o.AvailabilityZone, o.Region, o.DisableSlowEjection = "a", "r", true
	o.Now = func() time.Time { return *now }
	return New(o)
}

func twoServers() []*backend.Server {
	old := time.Unix(0, 0)
	return []*backend.Server{
		{ID: backend.ID{Host: "near", Service: "s"}, AvailabilityZone: "a", Region: "r", Slots: 9, FirstSeen: old},
		{ID: backend.ID{Host: "far", Service: "s"}, AvailabilityZone: "b", Region: "r", Slots: 9, FirstSeen: old},
	}
}

// completeCall completes a call at a server with the given latency and the given wait in the
// gate's load report.
func completeCall(t *testing.T, p *Picker, servers []*backend.Server, host string, latency, wait time.Duration) {
	t.Helper()
	l, err := p.PickWithOptions(servers, PickOptions{Exclude: func(id backend.ID) bool { return id.Host != host }})
	must.NoError(t, err)
	l.Done(Result{Status: 200, Latency: latency, Load: &Load{Slots: 9, Wait: wait}})
}

// The near server takes 350 ms, the far one 100 ms. With an objective of 600 ms either server
// meets it, and the call must stay in the availability zone. With an objective of 150 ms only the
// far server does.
func TestStaysInZoneWhenObjectiveIsMet(t *testing.T) {
	now := time.Unix(1000, 0)
	for objective, want := range map[time.Duration]string{600 * time.Millisecond: "near", 150 * time.Millisecond: "far"} {
		p, servers := newTestPicker(&now), twoServers()
		for range 20 {
			completeCall(t, p, servers, "near", 350*time.Millisecond, 0)
			completeCall(t, p, servers, "far", 100*time.Millisecond, 0)
			now = now.Add(100 * time.Millisecond)
		}
		l, err := p.PickWithOptions(servers, PickOptions{Objective: objective, RemoteCost: 50 * time.Millisecond})
		must.NoError(t, err)
		must.Eq(t, want, l.Server().Host, must.Sprint(objective))
	}
}

// Gates have just reported waits longer than the call's maximum wait. The call must be rejected
// without an attempt, and its retry-after time is the shortest of the waits. Once the reports
// have expired, the servers are tried again.
func TestSkipsServersWithLongQueues(t *testing.T) {
	now := time.Unix(1000, 0)
	p, servers := newTestPicker(&now), twoServers()
	completeCall(t, p, servers, "near", time.Millisecond, 300*time.Millisecond)
	l, err := p.PickWithOptions(servers, PickOptions{MaxWait: 100 * time.Millisecond})
	must.NoError(t, err)
	must.Eq(t, "far", l.Server().Host)
	completeCall(t, p, servers, "far", time.Millisecond, 200*time.Millisecond)
	_, err = p.PickWithOptions(servers, PickOptions{MaxWait: 100 * time.Millisecond})
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	must.Eq(t, 200*time.Millisecond, errkind.RetryAfterOf(err))
	now = now.Add(time.Duration(waitReportTTL))
	_, err = p.PickWithOptions(servers, PickOptions{MaxWait: 100 * time.Millisecond})
	must.NoError(t, err)
}

// A server has stated that it accepts two calls a second, some time ago. Guards against daemons that
// send several calls for the one that it accepts next, and against a report that lapses while no call
// is sent.
func TestExpectsOneCallPerIntervalOfRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	p, servers := newTestPicker(&now), twoServers()[:1]
	l, err := p.Pick(servers, nil)
	must.NoError(t, err)
	l.Done(Result{Status: 200, Latency: time.Millisecond, Load: &Load{Slots: 9, RateLimit: 2, Wait: 400 * time.Millisecond}})
	opts := PickOptions{MaxWait: 200 * time.Millisecond}
	_, err = p.PickWithOptions(servers, opts)
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	must.Eq(t, 400*time.Millisecond, errkind.RetryAfterOf(err))
	now = now.Add(time.Second)
	_, err = p.PickWithOptions(servers, opts)
	must.NoError(t, err)
	_, err = p.PickWithOptions(servers, opts)
	must.Eq(t, errkind.Overloaded, errkind.Of(err))
	must.Eq(t, 500*time.Millisecond, errkind.RetryAfterOf(err))
}
