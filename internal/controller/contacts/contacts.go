// Package contacts keeps a few daemons' addresses in a stream of the platform's
// log, so that a daemon whose contacts in the settings have all been replaced
// still finds the fleet.
package contacts

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/blackboard"
)

const (
	// RefreshInterval is how often a daemon that reads the log for its
	// availability zone appends its address. At two readers in each of eight
	// zones that is one append in 37 seconds for the whole fleet, also when a
	// third of it restarts at once.
	RefreshInterval = 10 * time.Minute
	// checkInterval is how often it is looked whether an append is due.
	checkInterval = 30 * time.Second
	// tail is how many of the latest records are looked at for contacts.
	tail = 64
	// maxFound bounds the contacts taken from the stream.
	maxFound = 16
)

// Options holds what a Controller works with.
type Options struct {
	Board            *blackboard.Board
	Log              eventlog.Log
	Host             string
	AvailabilityZone string
	PeerAddr         netip.AddrPort
	Logger           *slog.Logger
	Now              func() time.Time
}

// Controller appends this daemon's address and finds those of others.
type Controller struct {
	opts Options
	last time.Time
}

// New returns a controller that has appended nothing yet.
func New(opts Options) *Controller { return &Controller{opts: opts} }

// Run appends when it is due, until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	for {
		// The jitter keeps daemons that started together from appending
		// together.
		wait := time.NewTimer(checkInterval/2 + rand.N(checkInterval))
		select {
		case <-wait.C:
			c.reconcile(ctx)
		case <-ctx.Done():
			wait.Stop()
			return nil
		}
	}
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
	data, err := proto.Marshal(&configpb.Contact{
		Host: c.opts.Host, PeerAddr: c.opts.PeerAddr.String(), AvailabilityZone: c.opts.AvailabilityZone,
	})
	if err == nil {
		_, err = c.opts.Log.Append(ctx, data)
	}
	if err != nil {
		c.opts.Logger.Info("contacts: own address not appended", "error", err)
	}
}

// Find returns the addresses in the latest records of the stream, the newest of each
// host, without this daemon's own. Unreadable records are passed over.
func (c *Controller) Find(ctx context.Context) ([]netip.AddrPort, error) {
	b, err := c.opts.Log.Bounds(ctx)
	if err != nil {
		return nil, err
	}
	from := b.First
	if b.End > b.First+tail {
		from = b.End - tail
	}
	if from >= b.End {
		return nil, nil
	}
	records, err := c.opts.Log.Read(ctx, from, tail, 0)
	if err != nil {
		return nil, err
	}
	return c.newest(records), nil
}

func (c *Controller) newest(records []eventlog.Record) []netip.AddrPort {
	var found []netip.AddrPort
	seen := map[string]bool{c.opts.Host: true}
	for i := len(records) - 1; i >= 0 && len(found) < maxFound; i-- {
		var m configpb.Contact
		if proto.Unmarshal(records[i].Data, &m) != nil || seen[m.GetHost()] {
			continue
		}
		seen[m.GetHost()] = true
		if addr, err := netip.ParseAddrPort(m.GetPeerAddr()); err == nil {
			found = append(found, addr)
		}
	}
	return found
}
