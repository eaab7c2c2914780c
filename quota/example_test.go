package quota_test

import (
	"context"
	"fmt"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quota"
	"github.com/crocuscross/crocuscross/snapshot"
)

// A fleet of one daemon limits a customer to a burst of two calls.
func ExampleManager() {
	m := quota.New(quota.Options{Host: "host-1"})
	self := &membership.Member{Host: "host-1", Boot: 1, Liveness: membership.Alive, Since: time.Now()}
	m.SetView(&membership.View{Self: self, Members: []*membership.Member{self}})
	m.SetContracts(map[string]*snapshot.Contract{}, 0)

	// The contract is published while the daemon runs.
	contract := &snapshot.Contract{Customer: "garage-12", Rate: 0.1, Burst: 2}
	m.SetContracts(map[string]*snapshot.Contract{contract.Customer: contract}, 0)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = m.Run(ctx) }()

	for range 3 {
		grant, err := m.AdmitWait(ctx, contract)
		if err != nil {
			fmt.Println(errkind.Of(err))
			continue
		}
		fmt.Println("admitted")
		grant.Done()
	}
	// Output:
	// admitted
	// admitted
	// rate_limited
}
