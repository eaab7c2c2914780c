// Package contacts stores the addresses of some daemons in a directory of the platform, so that
// a daemon can find the fleet even if all the contacts in its settings have been replaced.
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
	// RefreshInterval is how often a daemon that reads the log for its availability zone appends
	// its address. With two readers in each of eight zones, the whole fleet appends once in 37
	// seconds, even if a third of it restarts at once.
	RefreshInterval = 10 * time.Minute
	// checkInterval is the mean time between checks whether an append is due.
	checkInterval = 30 * time.Second
	// TailRecords is how many of the latest records are searched for contacts if the directory
	// is a stream of a log.
	TailRecords = 64
	// maxSameZone and maxPerOtherZone limit the contacts taken from the directory: those in the
	// daemon's own availability zone, and those in each other zone. A starting daemon contacts
	// three daemons in its zone, some of which may be gone, and none elsewhere if those three
	// know the other zones.
	maxSameZone     = 8
	maxPerOtherZone = 2
	// enoughSameZone is the number of entries from its own availability zone with which a
	// starting daemon does not add its own: if many daemons start at once, the first few add
	// theirs instead of all.
	enoughSameZone = 8
	// aloneTimeout is how long a starting daemon may know no other member before it adds its
	// entry even so.
	aloneTimeout = time.Second
	// readerSettleTime is how long a daemon must have read the log for its zone before it puts
	// its entry: when a fleet starts, every daemon is briefly a reader.
	readerSettleTime = 5 * time.Second
	// retryInterval is the mean wait before a failed put is retried. Until the entry is stored,
	// daemons that start later cannot find this one.
	retryInterval = 300 * time.Millisecond
	// restoreDelay is the mean wait before the entry is put again after the directory may have
	// lost it. The wait is random because all daemons that have an entry put theirs then.
	restoreDelay = time.Second
)

// Options configures a Controller.
type Options struct {
	Board            *blackboard.Board
	Directory        eventlog.Directory
	Host             string
	AvailabilityZone string
	PeerAddr         netip.AddrPort
	// DirectoryPersists is set if the directory keeps one entry for each host permanently. A
	// daemon then puts its address at startup, if the directory lacks it and has few others, and
	// when it has become a reader, so that some live daemons can always be found. Otherwise only
	// readers put their address, and repeat that, which suits a directory that drops old
	// entries.
	DirectoryPersists bool
	// OnEntries, if not nil, is called with all entries of the directory after each read. They
	// include the entries of other components, so that one read at startup is enough for all of
	// them.
	OnEntries func(values [][]byte)
	// OnHosts, if not nil, is called with the hosts whose addresses the directory contains after each
	// read, in any order and possibly repeated.
	OnHosts func(hosts []string)
	Logger  *slog.Logger
	Now     func() time.Time
}

// Controller stores this daemon's address and finds those of others.
type Controller struct {
	opts Options
	// lastAppend is when the address was last appended, successfully or not.
	lastAppend time.Time
	// listed is closed after the first read of the directory, successful or not.
	listed     chan struct{}
	listedOnce sync.Once
	// hasOwnEntry is whether the directory has this daemon's entry, hasEnoughOthers whether it
	// has enough others from the availability zone.
	hasOwnEntry, hasEnoughOthers atomic.Bool
	// entriesKnown is whether the entries of the directory are known.
	entriesKnown   atomic.Bool
	restoreWatcher *blackboard.RestoreWatcher
}

// New returns a controller that has stored nothing yet.
func New(opts Options) *Controller {
	return &Controller{opts: opts, listed: make(chan struct{}), restoreWatcher: blackboard.NewRestoreWatcher(opts.Board)}
}

// Run stores the address whenever that is due, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	if c.opts.DirectoryPersists {
		return c.maintainEntry(ctx)
	}
	for loop.SleepJittered(ctx, checkInterval) {
		c.reconcile(ctx)
	}
	return nil
}

// reconcile appends the address if this daemon is a reader and has not done so within
// RefreshInterval. An append with an unknown outcome counts as done: a second record does no
// harm, but a slow log must not receive more requests because of it.
func (c *Controller) reconcile(ctx context.Context) {
	source := c.opts.Board.Source.Load()
	now := c.opts.Now()
	if source == nil || !source.Reader || !c.lastAppend.IsZero() && now.Sub(c.lastAppend) < RefreshInterval {
		return
	}
	c.lastAppend = now
	if err := c.put(ctx); err != nil {
		c.opts.Logger.Info("contacts: own address not appended", "error", err)
	}
}

// maintainEntry puts the entry at startup if the directory needs it, or else when this daemon
// starts to read the log for its zone, because more daemons are then likely to look for it. It
// puts the entry again after each restore of the log.
func (c *Controller) maintainEntry(ctx context.Context) error {
	select {
	case <-c.listed:
	case <-ctx.Done():
		return nil
	}
	if !c.hasOwnEntry.Load() && (!c.hasEnoughOthers.Load() || c.remainsAlone(ctx)) {
		c.putWithRetry(ctx)
	}
	for !c.hasOwnEntry.Load() && c.awaitReader(ctx) {
		c.putWithRetry(ctx)
	}
	for c.restoreWatcher.Wait(ctx) {
		loop.SleepJittered(ctx, restoreDelay)
		c.putWithRetry(ctx)
	}
	return nil
}

// remainsAlone reports whether this daemon still knows no other one after aloneTimeout. The
// existing entries then belong to hosts that are gone, for example because all hosts have moved
// to other addresses. Daemons that start now would never find each other if none of them added
// its entry.
func (c *Controller) remainsAlone(ctx context.Context) bool {
	timeout, cancel := context.WithTimeout(ctx, aloneTimeout)
	defer cancel()
	for {
		view, changed := c.opts.Board.Members.Watch()
		if view != nil && len(view.Live()) > 1 {
			return false
		}
		select {
		case <-changed:
		case <-timeout.Done():
			return ctx.Err() == nil
		}
	}
}

// awaitReader returns true once this daemon has been a reader for readerSettleTime. It returns
// false if ctx is done first.
func (c *Controller) awaitReader(ctx context.Context) bool {
	for ctx.Err() == nil {
		source, changed := c.opts.Board.Source.Watch()
		if source != nil && source.Reader {
			if !loop.Sleep(ctx, readerSettleTime) {
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

// inspectEntries looks for this daemon's entry and counts the other entries from its zone.
func (c *Controller) inspectEntries(values [][]byte) {
	sameZone, own := 0, c.contact()
	for _, value := range values {
		var m configpb.Contact
		switch {
		case proto.Unmarshal(value, &m) != nil:
		case proto.Equal(&m, own):
			c.hasOwnEntry.Store(true)
		case m.GetHost() != c.opts.Host && m.GetAvailabilityZone() == c.opts.AvailabilityZone:
			sameZone++
		}
	}
	c.hasEnoughOthers.Store(sameZone >= enoughSameZone)
}

// SkipRead makes the controller proceed without a read of the directory, because this daemon has
// joined by other means. It puts its entry only when it becomes a reader: daemons that start later
// find those of the readers.
func (c *Controller) SkipRead() {
	c.hasEnoughOthers.Store(true)
	c.entriesKnown.Store(true)
	c.listedOnce.Do(func() { close(c.listed) })
}

// EntriesKnown reports whether the entries of the directory are known to this daemon.
func (c *Controller) EntriesKnown() bool { return c.entriesKnown.Load() }

// contact returns this daemon's entry.
func (c *Controller) contact() *configpb.Contact {
	return &configpb.Contact{
		Host: c.opts.Host, PeerAddr: c.opts.PeerAddr.String(), AvailabilityZone: c.opts.AvailabilityZone,
	}
}

// putWithRetry puts the entry until that is known to have succeeded or ctx is done.
func (c *Controller) putWithRetry(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.put(ctx)
		if err == nil {
			c.hasOwnEntry.Store(true)
			return
		}
		c.opts.Logger.Info("contacts: own address not appended", "error", err)
		loop.SleepJittered(ctx, retryInterval)
	}
}

func (c *Controller) put(ctx context.Context) error {
	data, err := proto.Marshal(c.contact())
	if err != nil {
		return err
	}
	return c.opts.Directory.Put(ctx, c.opts.Host, data)
}

// Find returns the addresses in the directory, the newest of each host, without this daemon's
// own. Unreadable values are skipped.
func (c *Controller) Find(ctx context.Context) ([]membership.Contact, error) {
	defer c.listedOnce.Do(func() { close(c.listed) })
	values, err := c.opts.Directory.List(ctx)
	if err != nil {
		return nil, err
	}
	c.inspectEntries(values)
	if c.opts.OnHosts != nil {
		c.opts.OnHosts(hostsOf(values))
	}
	if c.opts.OnEntries != nil {
		c.opts.OnEntries(values)
	}
	c.entriesKnown.Store(true)
	if c.opts.DirectoryPersists {
		// The entries are sorted by name and include hosts that are gone for good: a daemon that
		// tries only the first few would never reach the others.
		rand.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
	}
	return c.selectContacts(values), nil
}

// hostsOf returns the hosts of the contacts among entries.
func hostsOf(values [][]byte) []string {
	var hosts []string
	for _, value := range values {
		var m configpb.Contact
		if proto.Unmarshal(value, &m) != nil {
			continue
		}
		if _, err := netip.ParseAddrPort(m.GetPeerAddr()); err == nil {
			hosts = append(hosts, m.GetHost())
		}
	}
	return hosts
}

// selectContacts returns the contacts among entries, which are in order from the oldest to the
// newest: those in this daemon's availability zone first, then a few of each other zone. Only
// the newest entry of a host counts.
func (c *Controller) selectContacts(values [][]byte) []membership.Contact {
	var sameZone, otherZones []membership.Contact
	seen := map[string]bool{c.opts.Host: true}
	perZone := map[string]int{}
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
		perZone[zone]++
		switch {
		case zone == c.opts.AvailabilityZone && perZone[zone] <= maxSameZone:
			sameZone = append(sameZone, contact)
		case zone != c.opts.AvailabilityZone && perZone[zone] <= maxPerOtherZone:
			otherZones = append(otherZones, contact)
		}
	}
	return append(sameZone, otherZones...)
}
