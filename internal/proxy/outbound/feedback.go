package outbound

import (
	"time"

	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/internal/proxy/advice"
	"github.com/crocuscross/crocuscross/peerpb"
)

// updateStats applies the statistics that a gate reports in the head of its response: whether
// services or callers make the calls of the route, and which services the called service calls.
func (a *attempt) updateStats(head *peerpb.AnswerHead) {
	o := a.c.h.opts
	o.NestedRoutes.Update(a.c.head.GetRoute(), advice.MadeByFromProto(head.GetMadeBy()))
	o.CallGraph.Update(a.c.service, advice.CalleesFromProto(head.GetCallees()))
	a.observeZones(head)
}

// loadFromHead returns the load that a gate reported, nil if it reported none.
func loadFromHead(head *peerpb.AnswerHead) *balance.Load {
	l := head.GetLoad()
	if l == nil {
		return nil
	}
	return &balance.Load{
		InUse:       int(l.GetInUse()),
		Queued:      int(l.GetQueued()),
		Slots:       int(l.GetSlots()),
		Draining:    l.GetDraining(),
		ServiceTime: time.Duration(l.GetServiceTimeUs()) * time.Microsecond,
		Wait:        time.Duration(l.GetWaitUs()) * time.Microsecond,
		LinkWait:    time.Duration(l.GetLinkWaitUs()) * time.Microsecond,
		RateLimit:   l.GetRateLimit(),
		RouteTime:   time.Duration(l.GetRouteTimeUs()) * time.Microsecond,
	}
}
