package contacts

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/membership"
)

// An entry of another writer stands among those of daemons. Whatever its bytes are, the
// others hold, and it adds at most one address that can be read.
func FuzzController_Newest(f *testing.F) {
	good, err := proto.Marshal(&configpb.Contact{Host: "b", PeerAddr: "127.0.0.1:2"})
	must.NoError(f, err)
	f.Add(good)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00})
	f.Add([]byte("\x0a\x01c\x12\x09127.0.0.1"))
	c := New(Options{Host: "a", Logger: slog.New(slog.DiscardHandler)})
	f.Fuzz(func(t *testing.T, other []byte) {
		found := c.newest([][]byte{good, other})
		must.LessEq(t, 2, len(found))
		var m configpb.Contact
		if proto.Unmarshal(other, &m) == nil && m.GetHost() == "b" {
			return // A newer entry of the same host takes the place of the older.
		}
		must.True(t, slices.Contains(found, membership.Contact{Addr: netip.MustParseAddrPort("127.0.0.1:2")}))
	})
}
