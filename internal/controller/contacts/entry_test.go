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

// directory is an in-memory directory that keeps one entry for each host.
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

func (d *directory) Update(ctx context.Context, key string, next func(values [][]byte) ([]byte, bool)) error {
	values, err := d.List(ctx)
	if err != nil {
		return err
	}
	value, write := next(values)
	if !write {
		return nil
	}
	return d.Put(ctx, key, value)
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

// counts holds the number of calls so far.
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

// newDirectory returns a directory with the entries of a number of hosts in zone a.
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

// startController starts a controller that has listed the directory and sees a number of live
// members. It returns the controller and its board.
func startController(t *testing.T, d *directory, live int) (*Controller, *blackboard.Board) {
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

// Hundreds of hosts restart in a day next to live ones, and each start made a needless call to
// the platform to put an entry that was already there. An existing entry must not be put again,
// nor one added to a directory with enough entries from the zone.
func TestController_StartPutsNoUnneededEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, 1)
		startController(t, d, 3)
		time.Sleep(time.Minute)
		must.Eq(t, 1, d.counts().puts)
		startController(t, d, 3)
		time.Sleep(time.Minute)
		must.Eq(t, 1, d.counts().puts)

		crowded := newDirectory(t, enoughSameZone)
		startController(t, crowded, 3)
		time.Sleep(time.Minute)
		must.Zero(t, crowded.counts().puts)
		must.Eq(t, 1, crowded.counts().lists)
	})
}

// All hosts move to other addresses at once. The directory is full of entries that no longer
// answer. If no host adds its own entry, the hosts never find each other.
func TestController_AloneAmongStaleEntriesPutsItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, enoughSameZone)
		startController(t, d, 1)
		time.Sleep(2 * aloneTimeout)
		must.Eq(t, 1, d.counts().puts)
	})
}

// The hosts with entries are removed one by one over weeks, and those that started later have
// none. A daemon that reads the log for its zone must put its entry, or a new daemon finds
// nobody; one that is a reader only briefly must not.
func TestController_ReaderPutsItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, enoughSameZone)
		_, board := startController(t, d, 3)
		board.Source.Store(&blackboard.Source{Reader: true})
		time.Sleep(readerSettleTime / 2)
		board.Source.Store(&blackboard.Source{})
		time.Sleep(time.Minute)
		must.Zero(t, d.counts().puts)
		board.Source.Store(&blackboard.Source{Reader: true})
		time.Sleep(2 * readerSettleTime)
		must.Eq(t, 1, d.counts().puts)
	})
}

// The store is unavailable while a host starts, so that the contents of the directory are
// unknown. The entry must be put once the store is available again.
func TestController_PutsWhenStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, 0)
		d.down = true
		startController(t, d, 3)
		time.Sleep(10 * time.Second)
		d.mu.Lock()
		d.down = false
		d.mu.Unlock()
		time.Sleep(time.Second)
		must.True(t, d.has("new"))
	})
}

// Guards against a daemon that cannot be found because the directory was restored from a copy
// without its entry.
func TestController_PutsAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(t, 0)
		_, board := startController(t, d, 3)
		board.State.Store(fold.EmptyAt(eventlog.MakeOffset(4, 0)))
		time.Sleep(time.Minute)
		must.Eq(t, 1, d.counts().puts)
		for epoch := range uint32(3) {
			d.mu.Lock()
			clear(d.entries)
			d.mu.Unlock()
			board.State.Store(fold.EmptyAt(eventlog.MakeOffset(6+epoch, 3)))
			board.State.Store(fold.EmptyAt(eventlog.MakeOffset(6+epoch, 4)))
			time.Sleep(2 * restoreDelay)
			must.True(t, d.has("new"))
			must.Eq(t, 2+int(epoch), d.counts().puts)
		}
	})
}
