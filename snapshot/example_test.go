package snapshot_test

import (
	"fmt"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/snapshot"
)

// A route is put in force as soon as a backend server of its service is known. An older state is
// rejected.
func ExampleBuild() {
	record, err := fold.EncodeRecord(&configpb.Bundle{PublishId: "p-1", Changes: []*configpb.Change{
		{Resource: &configpb.Resource{Kind: &configpb.Resource_Service{
			Service: &configpb.Service{Name: "sign-feed"}}}},
		{Resource: &configpb.Resource{Kind: &configpb.Resource_Route{
			Route: &configpb.Route{Name: "signs", PathPrefix: "/signs/", Service: "sign-feed"}}}},
	}})
	if err != nil {
		panic(err)
	}
	state, _, err := fold.Apply(fold.Empty(), 1, record)
	if err != nil {
		panic(err)
	}

	before := snapshot.Build(nil, state, backend.NewSet(nil))
	fmt.Println("withheld:", before.Withheld[0].Name, before.Withholds("/signs/7"))

	known := backend.NewSet([]*backend.Server{{ID: backend.ID{Host: "host-1", Service: "sign-feed"}, Slots: 10}})
	after := snapshot.Build(before, state, known)
	route, ok := after.Route("/signs/7")
	fmt.Println("in force:", route.Name, ok)
	fmt.Println("older refused:", snapshot.Build(after, fold.Empty(), known) == after)
	// Output:
	// withheld: signs true
	// in force: signs true
	// older refused: true
}
