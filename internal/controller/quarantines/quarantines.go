// Package quarantines tells the fleet of requests under which backend servers ended, and
// keeps the verdicts on them where they outlive daemons.
package quarantines

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/quarantine"
)

const (
	// carriers is how many daemons carry a verdict in their member records and put it into
	// the platform's directory. A daemon that starts learns it from any of them, and two may
	// be lost at once; if all told it, its news would grow with the square of the fleet.
	carriers = 3
	// expireInterval is how often the ledger forgets what no longer counts.
	expireInterval = 5 * time.Second
	// putTimeout bounds one write to the directory, putPause is about the wait before the
	// next try.
	putTimeout = 2 * time.Second
	putPause   = time.Second
	// keyPrefix is that of verdicts in the directory, whose other keys are hosts' names.
	keyPrefix = "quarantine/"
)

// Options holds what a Controller works with.
type Options struct {
	Board      *blackboard.Board
	Tracker    *quarantine.Tracker
	Membership *membership.Membership
	// Directory keeps verdicts through a loss of power everywhere.
	Directory eventlog.Directory
	Host      string
	Logger    *slog.Logger
	Now       func() time.Time
}

// Controller connects the ledger with the fleet and the platform.
type Controller struct {
	opts Options
	// told is each member that has notes, as it was when they were last taken in.
	told map[string]*membership.Member
	// stored are the verdicts that this daemon has put into the directory. One goroutine uses
	// them.
	stored map[quarantine.Identity]time.Time
	// restored wakes it where the directory may have lost some.
	restored loop.Trigger
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, told: make(map[string]*membership.Member), stored: make(map[quarantine.Identity]time.Time),
		restored: loop.NewTrigger(),
	}
}

// Run reconciles until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.exchange, c.store, c.expire, c.watchRestores)
}

// exchange takes in what the members tell, and tells them what this daemon knows.
func (c *Controller) exchange(ctx context.Context) error {
	for {
		view, viewChanged := c.opts.Board.Members.Watch()
		ledgerChanged := c.opts.Tracker.Watch()
		if view != nil {
			c.observe(view)
			c.opts.Membership.SetNotes(c.opts.Tracker.Notes(c.carried(view)))
		}
		select {
		case <-viewChanged:
		case <-ledgerChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Controller) observe(view *membership.View) {
	var news []quarantine.PeerNotes
	for _, m := range view.Members {
		if len(m.Notes) == 0 || m.Host == c.opts.Host {
			delete(c.told, m.Host)
			continue
		}
		if c.told[m.Host] == m {
			continue
		}
		c.told[m.Host] = m
		news = append(news, quarantine.PeerNotes{Host: m.Host, Boot: m.Boot, Notes: m.Notes})
	}
	if len(news) > 0 {
		c.opts.Tracker.Observe(news)
	}
}

// carried returns the verdicts that this daemon carries for others.
func (c *Controller) carried(view *membership.View) []quarantine.Verdict {
	var list []quarantine.Verdict
	for _, v := range c.opts.Tracker.Verdicts() {
		if c.carries(view, v.Identity) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b quarantine.Verdict) int {
		return cmp.Or(b.Until.Compare(a.Until), slices.Compare(a.Identity[:], b.Identity[:]))
	})
	return list
}

// carries reports whether this daemon is among the first live ones by rendezvous hash.
func (c *Controller) carries(view *membership.View, id quarantine.Identity) bool {
	own := rank(c.opts.Host, id)
	above := 0
	for _, m := range view.Members {
		if m.Usable() && m.Host != c.opts.Host && rank(m.Host, id) > own {
			above++
		}
	}
	return above < carriers
}

func rank(host string, id quarantine.Identity) uint64 {
	return xxhash.Sum64String(string(id[:]) + host)
}

// store keeps the carried verdicts in the directory, and takes those out that have ended.
func (c *Controller) store(ctx context.Context) error {
	for {
		view, viewChanged := c.opts.Board.Members.Watch()
		ledgerChanged := c.opts.Tracker.Watch()
		if view != nil && !c.storeChanges(ctx, c.carried(view)) {
			if !loop.SleepJittered(ctx, putPause) {
				return nil
			}
			continue
		}
		select {
		case <-viewChanged:
		case <-ledgerChanged:
		case <-c.restored:
			clear(c.stored)
		case <-ctx.Done():
			return nil
		}
	}
}

// watchRestores has the verdicts stored again that the directory may have lost.
func (c *Controller) watchRestores(ctx context.Context) error {
	for restores := blackboard.NewRestoreWatcher(c.opts.Board); restores.Wait(ctx); {
		c.restored.Set()
	}
	return nil
}

// storeChanges reports whether the directory has been brought to the carried verdicts.
func (c *Controller) storeChanges(ctx context.Context, carried []quarantine.Verdict) bool {
	done := true
	for _, v := range carried {
		if c.stored[v.Identity].Equal(v.Until) {
			continue
		}
		value, err := quarantine.EncodeEntry(v)
		if err != nil || !c.put(ctx, v.Identity, value) {
			done = false
			continue
		}
		c.stored[v.Identity] = v.Until
	}
	for id := range c.stored {
		if c.opts.Tracker.QuarantinedFor(id) > 0 {
			continue
		}
		if !c.put(ctx, id, nil) {
			done = false
			continue
		}
		delete(c.stored, id)
	}
	return done
}

func (c *Controller) put(ctx context.Context, id quarantine.Identity, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	err := c.opts.Directory.Put(ctx, keyPrefix+id.String(), value)
	if err != nil {
		c.opts.Logger.Info("quarantine: directory not written", "identity", id.String(), "error", err)
	}
	return err == nil
}

// expire has the ledger forget what no longer counts.
func (c *Controller) expire(ctx context.Context) error {
	for loop.Sleep(ctx, expireInterval) {
		c.opts.Tracker.Expire()
	}
	return nil
}

// AddEntries takes in the verdicts among the entries of the directory.
func (c *Controller) AddEntries(values [][]byte) {
	for _, value := range values {
		if v, ok := quarantine.DecodeEntry(value); ok {
			c.opts.Tracker.Add(v)
		}
	}
}
