package outbound

import (
	"time"

	"github.com/crocuscross/crocuscross/capacity"
	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/peerpb"
)

// headBytes is the size of the heads of a call and its response on the link, in bytes.
const headBytes = 600

// finalRefusals is the number of refusals after which the next attempt is the last one, if its gate
// refuses it as well (package retry).
const finalRefusals = 2

// spill returns the properties of the call that determine whether it leaves its availability zone.
func (c *call) spill() capacity.Call {
	if c.h.opts.Zones == nil || c.route == nil {
		return capacity.Call{}
	}
	body := max(int64(len(c.buffered)), c.head.GetContentLength())
	return capacity.Call{
		ServiceTime:  time.Duration(c.h.routeTimes.mean(c.route.Name)),
		Bytes:        float64(body) + c.h.responseSizes.mean(c.route.Name) + headBytes,
		KilobyteTime: c.h.opts.ZoneKilobyteTime,
		Refused:      c.refusals > 0,
		Final:        c.fullWait || c.refusals >= finalRefusals,
	}
}

// observeZones adds what the head of a response states about the load of the called service to what
// this daemon knows of its availability zones. Heads that request the body state no load.
func (a *attempt) observeZones(head *peerpb.AnswerHead) {
	zones := a.c.h.opts.Zones
	if zones == nil {
		return
	}
	service, s := a.c.service, a.server
	if l := loadFromHead(head); l != nil {
		answered := head.GetErrorKind() == ""
		zones.Observe(capacity.Gate{Service: service, AvailabilityZone: s.AvailabilityZone, Host: s.Host}, *l, answered)
		if answered {
			a.observeRouteTime(head)
		}
	}
	for _, z := range head.GetZoneLoads() {
		if z.GetService() == service {
			zones.Learn(service, s.Host, capacity.Entry{
				AvailabilityZone: z.GetAvailabilityZone(), Use: float64(z.GetUsePermille()) / 1000,
				Age: time.Duration(z.GetAgeMs()) * time.Millisecond,
			})
		}
	}
}

// observeNoAnswer adds an attempt that ended without any answer of the gate. Where the caller or this
// daemon ended it, or the call was given time to run, that says nothing about the gate.
func (a *attempt) observeNoAnswer(kind errkind.Kind) {
	zones, s := a.c.h.opts.Zones, a.server
	if zones == nil {
		return
	}
	switch kind {
	case errkind.Unreachable, errkind.BackendFailed, errkind.OutcomeUnknown, errkind.DeadlineNotRun:
		zones.ObserveFailure(capacity.Gate{Service: a.c.service, AvailabilityZone: s.AvailabilityZone, Host: s.Host})
	}
}

// observeRouteTime adds the answered attempt to the mean service time of its route: the slot time
// that the gate reports for the route or, if it reports none, the time until the response less the
// network delay.
func (a *attempt) observeRouteTime(head *peerpb.AnswerHead) {
	if a.c.route == nil {
		return
	}
	if us := head.GetLoad().GetRouteTimeUs(); us > 0 {
		a.c.h.routeTimes.observe(a.c.route.Name, int64(us)*int64(time.Microsecond))
		return
	}
	if elapsed := a.latency(); elapsed > 0 {
		a.c.h.routeTimes.observe(a.c.route.Name, int64(a.lease.WithoutHop(elapsed)))
	}
}
