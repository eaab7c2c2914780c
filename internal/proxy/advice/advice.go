// Package advice converts the statistics that a gate reports with its responses to and from
// protobuf: whether services or callers make the calls of a route, and which services the
// called service calls.
package advice

import (
	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/peerpb"
)

// milliCallsPerCall is the factor between calls and thousandths of a call, the unit of call
// rates in messages.
const milliCallsPerCall = 1000

// MadeByToProto returns the protobuf form of m.
func MadeByToProto(m admission.MadeBy) peerpb.MadeBy {
	switch m {
	case admission.MadeByCallers:
		return peerpb.MadeBy_MADE_BY_CALLERS
	case admission.MadeByServices:
		return peerpb.MadeBy_MADE_BY_SERVICES
	}
	return peerpb.MadeBy_MADE_BY_UNSPECIFIED
}

// MadeByFromProto is the inverse of MadeByToProto. A value that only a newer daemon knows
// becomes MadeByUnknown.
func MadeByFromProto(m peerpb.MadeBy) admission.MadeBy {
	switch m {
	case peerpb.MadeBy_MADE_BY_CALLERS:
		return admission.MadeByCallers
	case peerpb.MadeBy_MADE_BY_SERVICES:
		return admission.MadeByServices
	}
	return admission.MadeByUnknown
}

// CalleesToProto returns the protobuf form of call rates, rounded down to thousandths of a
// call.
func CalleesToProto(rates []admission.Callee) []*peerpb.Callee {
	var callees []*peerpb.Callee
	for _, r := range rates {
		callees = append(callees, &peerpb.Callee{Service: r.Service, MilliCalls: uint32(r.Calls * milliCallsPerCall)})
	}
	return callees
}

// CalleesFromProto is the inverse of CalleesToProto, up to the rounding.
func CalleesFromProto(callees []*peerpb.Callee) []admission.Callee {
	var rates []admission.Callee
	for _, c := range callees {
		rates = append(rates, admission.Callee{Service: c.GetService(), Calls: float64(c.GetMilliCalls()) / milliCallsPerCall})
	}
	return rates
}
