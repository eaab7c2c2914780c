package advice

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/admission"
	"github.com/crocuscross/crocuscross/peerpb"
)

func TestMadeByRoundTrip(t *testing.T) {
	for _, m := range []admission.MadeBy{admission.MadeByUnknown, admission.MadeByCallers, admission.MadeByServices} {
		must.Eq(t, m, MadeByFromProto(MadeByToProto(m)))
	}
	must.Eq(t, admission.MadeByUnknown, MadeByFromProto(peerpb.MadeBy(99)))
}

func TestCalleesRoundTrip(t *testing.T) {
	rates := []admission.Callee{{Service: "desk", Calls: 0.75}, {Service: "index", Calls: 2}}
	must.Eq(t, rates, CalleesFromProto(CalleesToProto(rates)))
	must.Nil(t, CalleesToProto(nil))
	must.Nil(t, CalleesFromProto(nil))
}
