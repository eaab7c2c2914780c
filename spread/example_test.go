package spread_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/eventlog/memlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/spread"
)

// daemon is a Spreader with a listener for other daemons.
type daemon struct {
	*spread.Spreader
	member *membership.Member
	states chan *fold.State
}

func newDaemon(host string, log eventlog.Log) *daemon {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &daemon{states: make(chan *fold.State, 8), member: &membership.Member{
		Host: host, Boot: 1, AvailabilityZone: "boston", Liveness: membership.Alive,
		PeerAddr: netip.MustParseAddrPort(ln.Addr().String()),
	}}
	opts := spread.DefaultOptions()
	opts.Host, opts.AvailabilityZone, opts.Log = host, "boston", log
	opts.Peers = spread.NewPoolPeers(peer.NewPool(peer.DefaultPoolOptions()))
	opts.ReadersPerZone = 1
	opts.OnState = func(st *fold.State) { d.states <- st }
	d.Spreader = spread.New(opts)

	server := peer.NewServer(peer.DefaultServerOptions())
	server.Handle(peerpb.Kind_KIND_PUSH, peer.HandlerFunc(d.HandlePush))
	server.Handle(peerpb.Kind_KIND_PULL, peer.HandlerFunc(d.HandlePull))
	go func() { _ = server.Serve(ln) }()
	return d
}

// await returns when an offset has been applied.
func (d *daemon) await(ctx context.Context, offset uint64) {
	for {
		select {
		case st := <-d.states:
			if st.Offset >= offset {
				return
			}
		case <-ctx.Done():
			panic(ctx.Err())
		}
	}
}

// Two daemons in one availability zone. One of them reads the log and pushes the record to the
// other.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	log := memlog.New(memlog.DefaultOptions()).Stream(eventlog.StreamConfig)
	daemons := []*daemon{newDaemon("host-1", log), newDaemon("host-2", log)}
	members := []*membership.Member{daemons[0].member, daemons[1].member}
	for _, d := range daemons {
		d.SetView(&membership.View{Self: d.member, Members: members})
		d.InstallState(fold.Empty())
		go func() { _ = d.Run(ctx) }()
	}

	offset, err := log.Append(ctx, []byte("a record of the configuration"))
	if err != nil {
		panic(err)
	}
	readers := 0
	for _, d := range daemons {
		d.await(ctx, offset)
		if d.Status().Reader {
			readers++
		}
	}
	fmt.Println("version", offset, "in force on both,", readers, "read it from the log")
	// Output: version 1 in force on both, 1 read it from the log
}
