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

// The directory contains an entry of another writer. Whatever its bytes are, the other entries
// must still be found, and it may add at most one address, which must be valid.
func FuzzController_SelectContacts(f *testing.F) {
	good, err := proto.Marshal(&configpb.Contact{Host: "b", PeerAddr: "127.0.0.1:2"})
	must.NoError(f, err)
	f.Add(good)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00})
	f.Add([]byte("\x0a\x01c\x12\x09127.0.0.1"))
	c := New(Options{Host: "a", Logger: slog.New(slog.DiscardHandler)})
	f.Fuzz(func(t *testing.T, other []byte) {
		found := c.selectContacts([][]byte{good, other})
		must.LessEq(t, 2, len(found))
		var m configpb.Contact
		if proto.Unmarshal(other, &m) == nil && m.GetHost() == "b" {
			return // A newer entry of the same host replaces the older one.
		}
		must.True(t, slices.Contains(found, membership.Contact{Addr: netip.MustParseAddrPort("127.0.0.1:2")}))
	})
}
