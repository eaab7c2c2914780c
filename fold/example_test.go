package fold_test

import (
	"fmt"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
)

// contractBundle returns the record of a bundle that sets one contract.
func contractBundle(publishID, author string, rate float64, replaces uint64) []byte {
	contract := &configpb.Contract{Customer: "harbour-garage", RatePerSecond: rate, MaxWaitMs: 500}
	data, err := fold.EncodeRecord(&configpb.Bundle{
		PublishId: publishID,
		Author:    author,
		Changes: []*configpb.Change{{
			Resource: &configpb.Resource{Kind: &configpb.Resource_Contract{Contract: contract}},
			Replaces: replaces,
		}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// Two operators change the same contract. Every daemon that folds these records reaches the same
// verdicts.
func ExampleApplyAll() {
	records := []eventlog.Record{
		{Offset: 1, Data: contractBundle("p-1", "ann", 100, 0)},
		{Offset: 2, Data: contractBundle("p-2", "ann", 120, 1)},
		{Offset: 3, Data: contractBundle("p-3", "bo", 90, 1)},
	}
	state, verdicts, err := fold.ApplyAll(fold.Empty(), records)
	if err != nil {
		panic(err)
	}
	for _, v := range verdicts {
		fmt.Println(v.PublishID, v.Accepted, v.Reasons)
	}
	e := state.Get(fold.Key{Kind: fold.KindContract, Name: "harbour-garage"})
	fmt.Println(e.Key, "at revision", e.Revision, "with rate", e.Resource.GetContract().GetRatePerSecond())
	// Output:
	// p-1 true []
	// p-2 true []
	// p-3 false [contract harbour-garage is at revision 2 by ann, the change replaces revision 1]
	// contract harbour-garage at revision 2 with rate 120
}
