package explain

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const chainLog = `12.1 host-1 {"msg":"outbound: request ended","host":"host-1","request":"c1","service":"desk","nested":true,"made_for":["p1","p2"],"kind":"overloaded","error":"the queue is too long","attempts":3,"refusals":3}
{"msg":"outbound: request ended","host":"host-1","request":"c2","service":"desk","nested":true,"made_for":["p2"],"status":200}
{"msg":"outbound: request ended","host":"host-2","request":"p1","service":"catalogue","status":500,"attempts":1,"to":"host-1"}
{"msg":"outbound: request ended","host":"host-2","request":"p3","service":"catalogue","kind":"overloaded","error":"the queue is too long"}
{"msg":"outbound: request ended","host":"host-2","request":"p4","service":"catalogue","kind":"overloaded","error":"the queue is too long"}
{"msg":"outbound: request not admitted","host":"host-2","request":"p5","kind":"not_ready","error":"no configuration"}
not JSON {
`

// A caller got the status 500 of a backend server whose run had failed: a call that it
// needs was refused at another service. The request's own lines do not tell that; the
// call's line names the requests for which it may have been made.
func TestLostCallsOfARun(t *testing.T) {
	lines, err := Read(strings.NewReader(chainLog), "p1")
	must.NoError(t, err)
	own, calls := Split("p1", lines)
	must.Len(t, 1, own)
	must.StrContains(t, Verdict(Order(own)), "status 500")
	lost := FailedCalls(calls)
	must.Len(t, 1, lost)
	must.StrContains(t, lost[0], "c1 to desk, ended as overloaded at host-1")
	must.StrContains(t, lost[0], "1 other request")
	lines, err = Read(strings.NewReader(chainLog), "p3")
	must.NoError(t, err)
	_, calls = Split("p3", lines)
	must.SliceEmpty(t, FailedCalls(calls))
}

func TestSummary(t *testing.T) {
	var s Summary
	must.NoError(t, s.Add(strings.NewReader(chainLog)))
	must.Eq(t, []Count{
		{End{Kind: "not_ready", Error: "no configuration"}, 1},
		{End{Service: "catalogue", Kind: "overloaded", Error: "the queue is too long"}, 2},
		{End{Service: "catalogue", Status: 500}, 1},
		{End{Service: "desk", Nested: true, Status: 200}, 1},
		{End{Service: "desk", Nested: true, Kind: "overloaded", Error: "the queue is too long"}, 1},
	}, s.Counts())
}
