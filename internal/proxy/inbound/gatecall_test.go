package inbound

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/gate"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Guards against a gate that cannot share a route between accounts because it does not learn the
// account, against service times that are measured for each account instead of each route, and
// against nested calls that are divided by the account of their parent.
func TestGateCall_Account(t *testing.T) {
	head := &peerpb.CallHead{Customer: "a", Route: "status", Priority: 2, MaxQueueMs: 50, ObjectiveLeftMs: 400}
	c := &call{h: &Handler{}, head: head, start: time.Now(), deadline: time.Now().Add(time.Second), madeBy: admission.MadeByCallers}
	g := c.gateCall()
	must.Eq(t, gate.Call{Route: "status", Account: "a", Priority: 2, MaxWait: g.MaxWait, Remaining: g.Remaining, ObjectiveLeft: g.ObjectiveLeft}, g)
	c.madeBy = admission.MadeByServices
	g = c.gateCall()
	must.Eq(t, gate.Call{Route: "status", Nested: true, Priority: 2, Remaining: g.Remaining}, g)
	// Older configurations have no routes.
	head.Route, c.madeBy = "", admission.MadeByCallers
	g = c.gateCall()
	must.Eq(t, "a", g.Customer)
	must.Eq(t, "", g.Account)
}
