package contacts

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/membership"
)

// directory is a directory in memory that keeps one entry for each host.
type directory struct {
	mu      sync.Mutex
	entries map[string][]byte
	puts    int
	lists   int
	down    bool
}

func (d *directory) Put(_ context.Context, key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.puts++
	if d.down {
		return errors.New("down")
	}
	d.entries[key] = value
	return nil
}

func (d *directory) List(context.Context) ([][]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists++
	if d.down {
		return nil, errors.New("down")
	}
	var values [][]byte
	for _, v := range d.entries {
		values = append(values, v)
	}
	return values, nil
}

// counts are the calls so far.
type counts struct{ puts, lists int }

func (d *directory) counts() counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return counts{d.puts, d.lists}
}

func (d *directory) has(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[key] != nil
}

// newDirectory returns a directory with the entries of some hosts of zone a.
func newDirectory(t *testing.T, hosts int) *directory {
	d := &directory{entries: map[string][]byte{}}
	for i := range hosts {
		c := &configpb.Contact{Host: fmt.Sprint("old-", i), PeerAddr: fmt.Sprintf("10.0.0.%d:1", i+1), AvailabilityZone: "a"}
		data, err := proto.Marshal(c)
		must.NoError(t, err)
		d.entries[c.GetHost()] = data
	}
	return d
}

// keeper starts a controller that has listed the directory, beside a number of live
// members, and returns it with its board.
func keeper(t *testing.T, d *directory, live int) (*Controller, *blackboard.Board) {
	board := &blackboard.Board{}
	view := &membership.View{}
	for i := range live {
		view.Members = append(view.Members, &membership.Member{Host: fmt.Sprint(i), Liveness: membership.Alive})
	}
	board.Members.Store(view)
	c := New(Options{
		Board: board, Directory: d, Host: "new", AvailabilityZone: "a", DirectoryPersists: true,
		PeerAddr: netip.MustParseAddrPort("10.0.1.1:1"), Logger: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = c.Run(ctx) }()
	_, _ = c.Find(ctx)
	return c, board
}

// Hosts restart beside living neighbours, hundreds a day. Each of them told the platform
// its address again, though it was there; a call for every start. An entry that is there
// is left alone, and so is a directory that has enough neighbours.
func TestKeeper_StartPutsNothingThatIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, 1)
		keeper(t, d, 3)
		time.Sleep(time.Minute)
		must.Eq(t, 1, d.counts().puts)
		keeper(t, d, 3)
		time.Sleep(time.Minute)
		must.Eq(t, 1, d.counts().puts)

		crowded := newDirectory(t, enoughNear)
		keeper(t, crowded, 3)
		time.Sleep(time.Minute)
		must.Zero(t, crowded.counts().puts)
		must.Eq(t, 1, crowded.counts().lists)
	})
}

// All hosts move to other addresses at once. The directory is full of entries, of which
// none answers. Hosts that leave it at these never find each other.
func TestKeeper_AloneAmongOldEntriesPutsItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, enoughNear)
		keeper(t, d, 1)
		time.Sleep(2 * alonePatience)
		must.Eq(t, 1, d.counts().puts)
	})
}

// The hosts whose entries were there leave one after the other over weeks, and those that
// started later have none. Whoever reads the log for the zone puts its own, or a newcomer
// finds nobody; a daemon that takes itself for a reader for a moment does not.
func TestKeeper_ReaderPutsItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, enoughNear)
		_, board := keeper(t, d, 3)
		board.Source.Store(&blackboard.Source{Reader: true})
		time.Sleep(readerSettles / 2)
		board.Source.Store(&blackboard.Source{})
		time.Sleep(time.Minute)
		must.Zero(t, d.counts().puts)
		board.Source.Store(&blackboard.Source{Reader: true})
		time.Sleep(2 * readerSettles)
		must.Eq(t, 1, d.counts().puts)
	})
}

// The store is away while a host starts. Nothing is known of the directory then, and the
// entry must be there once the store is back.
func TestKeeper_PutsWhenTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, 0)
		d.down = true
		keeper(t, d, 3)
		time.Sleep(10 * time.Second)
		d.mu.Lock()
		d.down = false
		d.mu.Unlock()
		time.Sleep(time.Second)
		must.True(t, d.has("new"))
	})
}

// Guards against a daemon that nobody finds any more since the directory went back to a copy without it.
func TestKeeper_PutsAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, 0)
		_, board := keeper(t, d, 3)
		board.State.Store(fold.EmptyAt(eventlog.At(4, 0)))
		time.Sleep(time.Minute)
		must.Eq(t, 1, d.counts().puts)
		for epoch := range uint32(3) {
			d.mu.Lock()
			clear(d.entries)
			d.mu.Unlock()
			board.State.Store(fold.EmptyAt(eventlog.At(6+epoch, 3)))
			board.State.Store(fold.EmptyAt(eventlog.At(6+epoch, 4)))
			time.Sleep(2 * restoreSpread)
			must.True(t, d.has("new"))
			must.Eq(t, 2+int(epoch), d.counts().puts)
		}
	})
}
