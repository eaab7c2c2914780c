package outbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/snapshot"
)

// newZoneAttempt returns an attempt of a call of route "r" in zone "a" at a server in zone "b", with a
// hop of 4 ms.
func newZoneAttempt(t *testing.T) *attempt {
	t.Helper()
	zones := capacity.New(capacity.Options{AvailabilityZone: "a", Host: "h", Now: time.Now})
	o := balance.DefaultOptions()
	o.AvailabilityZone, o.ZoneCost, o.Zones = "a", 4*time.Millisecond, zones
	lease, err := balance.New(o).Pick([]*backend.Server{{ID: backend.ID{Host: "x", Service: "s"}, AvailabilityZone: "b", Slots: 10}}, nil)
	must.NoError(t, err)
	h := &Handler{opts: Options{Zones: zones, ZoneKilobyteTime: 10 * time.Millisecond}}
	c := &call{h: h, service: "s", route: &snapshot.DocumentRoute{Name: "r"}, buffered: make([]byte, 1000), head: &peerpb.CallHead{ContentLength: 1000}}
	return &attempt{c: c, lease: lease, server: lease.Server(), start: time.Now().Add(-100 * time.Millisecond)}
}

// The service time of a route is the slot time that gates report for it or, without a report, the time
// until the response less the hop. A rejection has no service time.
func TestSpill_ServiceTime(t *testing.T) {
	a := newZoneAttempt(t)
	must.Eq(t, 0, a.c.spill().ServiceTime, must.Sprint("unknown before the first response"))
	a.observeZones(&peerpb.AnswerHead{Status: 200, Load: &peerpb.Load{InUse: 5, Slots: 10}})
	must.Between(t, 96*time.Millisecond, a.c.spill().ServiceTime, 10*time.Second)

	a = newZoneAttempt(t)
	a.observeZones(&peerpb.AnswerHead{ErrorKind: string(errkind.Overloaded), Load: &peerpb.Load{InUse: 10, Slots: 10}})
	must.Eq(t, 0, a.c.spill().ServiceTime, must.Sprint("a rejection has no service time"))
	a.observeZones(&peerpb.AnswerHead{Status: 200, Load: &peerpb.Load{InUse: 5, Slots: 10, RouteTimeUs: 31_000}})
	must.Eq(t, 31*time.Millisecond, a.c.spill().ServiceTime)
	a.c.h.responseSizes.observe("r", 500)
	must.Eq(t, 1000+500+headBytes, a.c.spill().Bytes)
}

// Entries about other services than the called one are not taken.
func TestObserveZones(t *testing.T) {
	a := newZoneAttempt(t)
	zones := a.c.h.opts.Zones
	a.observeZones(&peerpb.AnswerHead{
		Status: 200, Load: &peerpb.Load{InUse: 6, Slots: 10},
		ZoneLoads: []*peerpb.ZoneLoad{
			{AvailabilityZone: "c", Service: "s", UsePermille: 900, AgeMs: 10},
			{AvailabilityZone: "d", Service: "other", UsePermille: 900, AgeMs: 10},
		},
	})
	must.Eq(t, 0.5, zones.View("s").Zone("b").Use)
	must.Eq(t, 0.9, zones.View("s").Zone("c").Use)
	must.False(t, zones.View("s").Zone("d").Known)
	must.False(t, zones.View("other").Zone("d").Known)
	a.observeNoAnswer(errkind.Canceled)
	must.True(t, zones.View("s").Zone("b").Known)
	a.observeNoAnswer(errkind.Unreachable)
	must.False(t, zones.View("s").Zone("b").Known)
}
