package gate_test

import (
	"context"
	"fmt"
	"time"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/gate"
)

// A backend server with one slot is busy. A call that cannot wait is rejected immediately, before
// it has cost anything. A call that can wait gets the slot.
func Example() {
	opts := gate.DefaultOptions()
	opts.Slots, opts.ServiceTime = 1, 5*time.Millisecond
	g := gate.New(opts)
	ctx := context.Background()

	first, _ := g.Enter(ctx, "harbor-garage", time.Second)
	_, err := g.Enter(ctx, "elm-street-garage", time.Millisecond)
	fmt.Println(errkind.Of(err), "ran:", errkind.RunOf(err))

	first.Done(gate.Answered)
	second, err := g.Enter(ctx, "elm-street-garage", time.Second)
	fmt.Println(err, g.Load().InUse, "of", g.Load().Slots)
	second.Done(gate.Answered)
	// Output:
	// deadline_not_run ran: no
	// <nil> 1 of 1
}
