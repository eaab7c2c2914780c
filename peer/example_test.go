package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/crocuscross/crocuscross/peer"
	"github.com/crocuscross/crocuscross/peerpb"
)

// The server handles one kind of exchange. The pool connects on the first call and keeps the
// session open.
func Example() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := peer.NewServer(peer.DefaultServerOptions())
	defer server.Close()
	server.Handle(peerpb.Kind_KIND_STATUS, peer.HandlerFunc(func(_ context.Context, st *peer.Stream) error {
		if err := st.Recv(&peerpb.StatusAsk{}); err != nil {
			return err
		}
		return st.Send(&peerpb.StatusAnswer{Host: "host-1", Offset: 12})
	}))
	go func() { _ = server.Serve(ln) }()

	pool := peer.NewPool(peer.DefaultPoolOptions())
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var answer peerpb.StatusAnswer
	addr := netip.MustParseAddrPort(ln.Addr().String())
	if err := pool.Call(ctx, addr, peerpb.Kind_KIND_STATUS, &peerpb.StatusAsk{}, &answer); err != nil {
		panic(err)
	}
	fmt.Println(answer.GetHost(), answer.GetOffset())
	// Output: host-1 12
}
