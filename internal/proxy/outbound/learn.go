package outbound

import (
	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/peerpb"
)

// learn takes in what a gate tells of its service and of the call's route.
func (a *attempt) learn(head *peerpb.AnswerHead) {
	o := a.c.h.opts
	o.Nested.Learn(a.c.head.GetRoute(), makers[head.GetMadeBy()])
	var rates []admission.Callee
	for _, callee := range head.GetCallees() {
		rates = append(rates, admission.Callee{Service: callee.GetService(), Calls: float64(callee.GetMilliCalls()) / milli})
	}
	o.Calls.Learn(a.c.service, rates)
}

// milli is the unit in which rates of calls travel.
const milli = 1000

var makers = map[peerpb.MadeBy]admission.MadeBy{
	peerpb.MadeBy_MADE_BY_CALLERS:  admission.ByCallers,
	peerpb.MadeBy_MADE_BY_SERVICES: admission.ByServices,
}
