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

// Guards against calls that do not state the limit of their account, state an old one after a change
// of the configuration, or state one for nested calls, which belong to no account. Calls without a
// configuration, or of an account without a limit, state that it is not known.
func TestGateCall_Weight(t *testing.T) {
	limits := map[string]float64{"a": 40}
	weight := func(name string) float64 { return limits[name] }
	head := &peerpb.CallHead{Customer: "a", Route: "status"}
	c := &call{h: &Handler{opts: Options{AccountWeight: weight}}, head: head, madeBy: admission.MadeByCallers}
	must.Eq(t, 40, c.gateCall().Weight)
	limits["a"] = 80
	must.Eq(t, 80, c.gateCall().Weight)
	head.Customer = "b"
	must.Eq(t, 0, c.gateCall().Weight)
	head.Customer, c.madeBy = "a", admission.MadeByServices
	must.Eq(t, 0, c.gateCall().Weight)
	c.madeBy, c.h.opts.AccountWeight = admission.MadeByCallers, nil
	must.Eq(t, 0, c.gateCall().Weight)
}
