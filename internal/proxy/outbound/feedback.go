package outbound

import (
	"github.com/crocuscross/crocuscross/internal/proxy/advice"
	"github.com/crocuscross/crocuscross/peerpb"
)

// updateStats takes in what a gate tells of its service and of the call's route.
func (a *attempt) updateStats(head *peerpb.AnswerHead) {
	o := a.c.h.opts
	o.NestedRoutes.Update(a.c.head.GetRoute(), advice.MadeByFromProto(head.GetMadeBy()))
	o.CallGraph.Update(a.c.service, advice.CalleesFromProto(head.GetCallees()))
}
