package advice

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/peerpb"
)

func TestMadeByRoundTrip(t *testing.T) {
	for _, m := range []admission.MadeBy{admission.MadeByUnknown, admission.MadeByCallers, admission.MadeByServices} {
		must.Eq(t, m, MadeByOf(MadeBy(m)))
	}
	must.Eq(t, admission.MadeByUnknown, MadeByOf(peerpb.MadeBy(99)))
}

func TestCalleesRoundTrip(t *testing.T) {
	rates := []admission.Callee{{Service: "desk", Calls: 0.75}, {Service: "index", Calls: 2}}
	must.Eq(t, rates, CalleesOf(Callees(rates)))
	must.Nil(t, Callees(nil))
	must.Nil(t, CalleesOf(nil))
}
