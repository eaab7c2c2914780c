package outbound

import (
	"github.com/crocuscross/crocuscross/internal/proxy/advice"
	"github.com/crocuscross/crocuscross/peerpb"
)

// updateStats applies the statistics that a gate reports in the head of its response: whether
// services or callers make the calls of the route, and which services the called service calls.
func (a *attempt) updateStats(head *peerpb.AnswerHead) {
	o := a.c.h.opts
	o.NestedRoutes.Update(a.c.head.GetRoute(), advice.MadeByFromProto(head.GetMadeBy()))
	o.CallGraph.Update(a.c.service, advice.CalleesFromProto(head.GetCallees()))
}
