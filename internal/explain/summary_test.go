package explain

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// nestedLog holds requests and nested calls of two hosts.
const nestedLog = `12.1 host-1 {"msg":"outbound: request ended","host":"host-1","request":"c1","service":"desk","nested":true,"made_for":["p1","p2"],"kind":"overloaded","error":"the queue is too long","attempts":3,"refusals":3}
{"msg":"outbound: request ended","host":"host-1","request":"c2","service":"desk","nested":true,"made_for":["p2"],"status":200}
{"msg":"outbound: request ended","host":"host-2","request":"p1","service":"catalogue","status":500,"attempts":1,"to":"host-1"}
{"msg":"outbound: request ended","host":"host-2","request":"p3","service":"catalogue","kind":"overloaded","error":"the queue is too long"}
{"msg":"outbound: request ended","host":"host-2","request":"p4","service":"catalogue","kind":"overloaded","error":"the queue is too long"}
{"msg":"outbound: request not admitted","host":"host-2","request":"p5","kind":"not_ready","error":"no configuration"}
not JSON {
`

// A backend server responds with status 500 because a nested call that it needs was refused at
// another service. The lines of the request do not show that cause; the line of the nested call
// names the requests for which it may have been made.
func TestFailedNestedCalls(t *testing.T) {
	lines, err := Read(strings.NewReader(nestedLog), "p1")
	must.NoError(t, err)
	own, calls := Split("p1", lines)
	must.Len(t, 1, own)
	must.StrContains(t, Verdict(Order(own)), "status 500")
	failed := FailedCalls(calls)
	must.Len(t, 1, failed)
	must.StrContains(t, failed[0], "c1 to desk, ended as overloaded at host-1")
	must.StrContains(t, failed[0], "1 other request")
	lines, err = Read(strings.NewReader(nestedLog), "p3")
	must.NoError(t, err)
	_, calls = Split("p3", lines)
	must.SliceEmpty(t, FailedCalls(calls))
}

func TestSummary(t *testing.T) {
	var s Summary
	must.NoError(t, s.Add(strings.NewReader(nestedLog)))
	must.Eq(t, []Count{
		{Outcome{Kind: "not_ready", Error: "no configuration"}, 1},
		{Outcome{Service: "catalogue", Kind: "overloaded", Error: "the queue is too long"}, 2},
		{Outcome{Service: "catalogue", Status: 500}, 1},
		{Outcome{Service: "desk", Nested: true, Status: 200}, 1},
		{Outcome{Service: "desk", Nested: true, Kind: "overloaded", Error: "the queue is too long"}, 1},
	}, s.Counts())
}
