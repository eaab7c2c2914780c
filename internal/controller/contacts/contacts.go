// Package contacts keeps a few daemons' addresses in a directory of the platform,
// so that a daemon whose contacts in the settings have all been replaced still
// finds the fleet.
package contacts

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
)

const (
	// RefreshInterval is how often a daemon that reads the log for its
	// availability zone appends its address. At two readers in each of eight
	// zones that is one append in 37 seconds for the whole fleet, also when a
	// third of it restarts at once.
	RefreshInterval = 10 * time.Minute
	// checkInterval is how often it is looked whether an append is due.
	checkInterval = 30 * time.Second
	// TailRecords is how many of the latest records are looked at for contacts where the
	// directory is a stream of a log.
	TailRecords = 64
	// maxNear and maxAway bound the contacts taken from the directory: of the own
	// availability zone, and of each other one. A start asks three neighbours, some of which
	// may have gone, and nobody elsewhere if they know the other zones.
	maxNear = 8
	maxAway = 2
	// enoughNear is how many entries of its availability zone a start leaves alone, not
	// adding its own: of those that start at once the first few put theirs, in place of all.
	enoughNear = 8
	// alonePatience is how long a start may know nobody before it adds its own all the same.
	alonePatience = time.Second
	// readerSettles is how long a daemon has read the log for its zone before it puts its
	// entry: a fleet that starts has every daemon take itself for a reader for a moment.
	readerSettles = 5 * time.Second
	// retryAfter is about the wait before the first entry is put again. Until it is
	// there, daemons that start later cannot find this one.
	retryAfter = 300 * time.Millisecond
	// restoreSpread is about the wait before an entry is put again that the directory may have
	// lost: all that have one put it.
	restoreSpread = time.Second
)

// Options holds what a Controller works with.
type Options struct {
	Board            *blackboard.Board
	Directory        eventlog.Directory
	Host             string
	AvailabilityZone string
	PeerAddr         netip.AddrPort
	// DirectoryPersists is whether the directory keeps one entry for each host for good. A daemon then
	// puts its address as it starts, if that is not there and few others are, and when it
	// has become a reader: some that are alive are always found. Without it only readers
	// put theirs, again and again, which suits a directory that forgets.
	DirectoryPersists bool
	// OnEntries is told of all entries of the directory when a start has read it: others'
	// are among them, and one read has to do for all. It may be nil.
	OnEntries func(values [][]byte)
	Logger    *slog.Logger
	Now       func() time.Time
}

// Controller appends this daemon's address and finds those of others.
type Controller struct {
	opts Options
	last time.Time
	// listed is closed with the first answer about the directory, or the first failure.
	listed     chan struct{}
	listedOnce sync.Once
	// present is whether the directory has this daemon's entry, crowded whether it has
	// enough others of the availability zone.
	present, crowded atomic.Bool
	restores         *blackboard.RestoreWatcher
}

// New returns a controller that has appended nothing yet.
func New(opts Options) *Controller {
	return &Controller{opts: opts, listed: make(chan struct{}), restores: blackboard.NewRestoreWatcher(opts.Board)}
}

// Run appends when it is due, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	if c.opts.DirectoryPersists {
		return c.keepEntry(ctx)
	}
	for loop.SleepJittered(ctx, checkInterval) {
		c.reconcile(ctx)
	}
	return nil
}

// reconcile appends the address if this daemon is a reader and has not done so
// of late. An append whose outcome is unknown counts: a second record does no
// harm, but a log that is slow must not be asked more often for it.
func (c *Controller) reconcile(ctx context.Context) {
	source := c.opts.Board.Source.Load()
	now := c.opts.Now()
	if source == nil || !source.Reader || !c.last.IsZero() && now.Sub(c.last) < RefreshInterval {
		return
	}
	c.last = now
	if err := c.put(ctx); err != nil {
		c.opts.Logger.Info("contacts: own address not appended", "error", err)
	}
}

// keepEntry puts the entry at the start where the directory needs it, and once more
// daemons are likely to look for it: when this one reads the log for its zone.
func (c *Controller) keepEntry(ctx context.Context) error {
	select {
	case <-c.listed:
	case <-ctx.Done():
		return nil
	}
	if !c.present.Load() && (!c.crowded.Load() || c.staysAlone(ctx)) {
		c.putUntilDone(ctx)
	}
	for !c.present.Load() && c.awaitReader(ctx) {
		c.putUntilDone(ctx)
	}
	for c.restores.Wait(ctx) {
		loop.SleepJittered(ctx, restoreSpread)
		c.putUntilDone(ctx)
	}
	return nil
}

// staysAlone reports whether this daemon knows no other one after a while. The entries that
// there are are then of hosts that are gone, as where all have moved to other addresses;
// those that start now would never find each other if each left it at these.
func (c *Controller) staysAlone(ctx context.Context) bool {
	patience, cancel := context.WithTimeout(ctx, alonePatience)
	defer cancel()
	for {
		view, changed := c.opts.Board.Members.Watch()
		if view != nil && len(view.Live()) > 1 {
			return false
		}
		select {
		case <-changed:
		case <-patience.Done():
			return ctx.Err() == nil
		}
	}
}

// awaitReader returns once this daemon has been a reader for readerSettles, or false where
// ctx is done.
func (c *Controller) awaitReader(ctx context.Context) bool {
	for ctx.Err() == nil {
		source, changed := c.opts.Board.Source.Watch()
		if source != nil && source.Reader {
			if !loop.Sleep(ctx, readerSettles) {
				return false
			}
			if now := c.opts.Board.Source.Load(); now.Reader {
				return true
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// noteEntries looks in the directory for this daemon's entry and counts the neighbours'.
func (c *Controller) noteEntries(values [][]byte) {
	near, own := 0, c.contact()
	for _, value := range values {
		var m configpb.Contact
		switch {
		case proto.Unmarshal(value, &m) != nil:
		case proto.Equal(&m, own):
			c.present.Store(true)
		case m.GetHost() != c.opts.Host && m.GetAvailabilityZone() == c.opts.AvailabilityZone:
			near++
		}
	}
	c.crowded.Store(near >= enoughNear)
}

func (c *Controller) contact() *configpb.Contact {
	return &configpb.Contact{
		Host: c.opts.Host, PeerAddr: c.opts.PeerAddr.String(), AvailabilityZone: c.opts.AvailabilityZone,
	}
}

// putUntilDone puts the address until that is certain to be done.
func (c *Controller) putUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.put(ctx)
		if err == nil {
			c.present.Store(true)
			return
		}
		c.opts.Logger.Info("contacts: own address not appended", "error", err)
		loop.SleepJittered(ctx, retryAfter)
	}
}

func (c *Controller) put(ctx context.Context) error {
	data, err := proto.Marshal(c.contact())
	if err != nil {
		return err
	}
	return c.opts.Directory.Put(ctx, c.opts.Host, data)
}

// Find returns the addresses in the directory, the newest of each host, without this
// daemon's own. Unreadable values are passed over.
func (c *Controller) Find(ctx context.Context) ([]membership.Contact, error) {
	defer c.listedOnce.Do(func() { close(c.listed) })
	values, err := c.opts.Directory.List(ctx)
	if err != nil {
		return nil, err
	}
	c.noteEntries(values)
	if c.opts.OnEntries != nil {
		c.opts.OnEntries(values)
	}
	if c.opts.DirectoryPersists {
		// Entries of hosts that are gone for good are among them, in the order of
		// their names: whoever takes the first few would never reach the others.
		rand.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
	}
	return c.newest(values), nil
}

// newest returns the contacts among entries, the latest entry last: neighbours first, then
// a few of each other availability zone. Of a host's entries the latest counts.
func (c *Controller) newest(values [][]byte) []membership.Contact {
	var near, away []membership.Contact
	seen := map[string]bool{c.opts.Host: true}
	of := map[string]int{}
	for _, value := range slices.Backward(values) {
		var m configpb.Contact
		if proto.Unmarshal(value, &m) != nil || seen[m.GetHost()] {
			continue
		}
		seen[m.GetHost()] = true
		addr, err := netip.ParseAddrPort(m.GetPeerAddr())
		if err != nil {
			continue
		}
		zone := m.GetAvailabilityZone()
		contact := membership.Contact{Addr: addr, AvailabilityZone: zone}
		of[zone]++
		switch {
		case zone == c.opts.AvailabilityZone && of[zone] <= maxNear:
			near = append(near, contact)
		case zone != c.opts.AvailabilityZone && of[zone] <= maxAway:
			away = append(away, contact)
		}
	}
	return append(near, away...)
}
