// Package advice is the wire form of what a gate tells senders with its answers: who makes
// the calls of a route, and which services the calls that it runs call in turn.
package advice

import (
	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/peerpb"
)

// milliCallsPerCall is the unit in which rates of calls travel: thousandths of a call.
const milliCallsPerCall = 1000

// MadeByToProto returns the wire form of who makes the calls of a route.
func MadeByToProto(m admission.MadeBy) peerpb.MadeBy {
	switch m {
	case admission.MadeByCallers:
		return peerpb.MadeBy_MADE_BY_CALLERS
	case admission.MadeByServices:
		return peerpb.MadeBy_MADE_BY_SERVICES
	}
	return peerpb.MadeBy_MADE_BY_UNSPECIFIED
}

// MadeByFromProto is the inverse of MadeBy. What a newer program tells is unknown here.
func MadeByFromProto(m peerpb.MadeBy) admission.MadeBy {
	switch m {
	case peerpb.MadeBy_MADE_BY_CALLERS:
		return admission.MadeByCallers
	case peerpb.MadeBy_MADE_BY_SERVICES:
		return admission.MadeByServices
	}
	return admission.MadeByUnknown
}

// CalleesToProto returns the wire form of the services that runs call.
func CalleesToProto(rates []admission.Callee) []*peerpb.Callee {
	var callees []*peerpb.Callee
	for _, r := range rates {
		callees = append(callees, &peerpb.Callee{Service: r.Service, MilliCalls: uint32(r.Calls * milliCallsPerCall)})
	}
	return callees
}

// CalleesFromProto is the inverse of Callees, in thousandths of a call.
func CalleesFromProto(callees []*peerpb.Callee) []admission.Callee {
	var rates []admission.Callee
	for _, c := range callees {
		rates = append(rates, admission.Callee{Service: c.GetService(), Calls: float64(c.GetMilliCalls()) / milliCallsPerCall})
	}
	return rates
}
