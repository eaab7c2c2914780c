package balance_test

import (
	"fmt"
	"time"

	"github.com/crocuscross/crocuscross/backend"
	"github.com/crocuscross/crocuscross/balance"
	"github.com/crocuscross/crocuscross/errkind"
)

// The picker prefers servers in its own availability zone and skips the servers that a call has
// already tried. Each result updates the statistics for later picks.
func Example() {
	servers := backend.NewSet([]*backend.Server{
		{ID: backend.ID{Host: "near", Service: "sign-feed"}, AvailabilityZone: "boston", Slots: 10},
		{ID: backend.ID{Host: "far", Service: "sign-feed"}, AvailabilityZone: "portland", Slots: 10},
	})
	opts := balance.DefaultOptions()
	opts.AvailabilityZone = "boston"
	picker := balance.New(opts)

	first, _ := picker.Pick(servers.ForService("sign-feed"), nil)
	fmt.Println(first.Server().Host)
	first.Done(balance.Result{Kind: errkind.Unreachable, Latency: time.Millisecond})

	tried := func(id backend.ID) bool { return id == first.Server().ID }
	second, _ := picker.Pick(servers.ForService("sign-feed"), tried)
	fmt.Println(second.Server().Host)
	second.Done(balance.Result{Status: 200, Latency: 4 * time.Millisecond})

	_, err := picker.Pick(servers.ForService("site-ops"), nil)
	fmt.Println(errkind.Of(err))
	// Output:
	// near
	// far
	// no_backend
}
