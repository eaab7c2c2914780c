// Package quarantines informs the fleet of the requests during which backend servers crashed, and
// stores the verdicts on these requests so that they outlive the daemons.
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
	// verdictReplicas is how many daemons carry a verdict in their member records and put it
	// into the platform's directory. A starting daemon receives it from any of them, and two may
	// be lost at once. If all daemons carried it, the gossip about it would grow with the square
	// of the fleet.
	verdictReplicas = 3
	// expireInterval is how often the tracker drops what has expired.
	expireInterval = 5 * time.Second
	// putTimeout bounds one write to the directory. putRetryInterval is the mean wait before the
	// next attempt.
	putTimeout       = 2 * time.Second
	putRetryInterval = time.Second
	// keyPrefix is the prefix of the verdicts' keys in the directory, whose other keys are host
	// names.
	keyPrefix = "quarantine/"
)

// Options configures a Controller.
type Options struct {
	Board      *blackboard.Board
	Tracker    *quarantine.Tracker
	Membership *membership.Membership
	// Directory stores verdicts, which thereby survive a power loss of the whole fleet.
	Directory eventlog.Directory
	Host      string
	Logger    *slog.Logger
	Now       func() time.Time
}

// Controller connects the tracker with the fleet and the platform.
type Controller struct {
	opts Options
	// observed holds each member with notes as it was when its notes were last processed, by
	// host.
	observed map[string]*membership.Member
	// stored holds the ends of the verdicts that this daemon has put into the directory. Only
	// the goroutine of storeVerdicts uses it.
	stored map[quarantine.Identity]time.Time
	// restored wakes that goroutine when the directory may have lost verdicts.
	restored loop.Trigger
}

// New returns a controller that has processed and stored nothing yet.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, observed: make(map[string]*membership.Member), stored: make(map[quarantine.Identity]time.Time),
		restored: loop.NewTrigger(),
	}
}

// Run reconciles until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	return loop.Run(ctx, c.exchangeNotes, c.storeVerdicts, c.expire, c.watchRestores)
}

// exchangeNotes passes the members' notes to the tracker and announces those of this daemon.
func (c *Controller) exchangeNotes(ctx context.Context) error {
	for {
		view, viewChanged := c.opts.Board.Members.Watch()
		trackerChanged := c.opts.Tracker.Watch()
		if view != nil {
			c.observe(view)
			c.opts.Membership.SetNotes(c.opts.Tracker.Notes(c.assignedVerdicts(view)))
		}
		select {
		case <-viewChanged:
		case <-trackerChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

// observe passes the notes of members that have changed to the tracker.
func (c *Controller) observe(view *membership.View) {
	var changed []quarantine.PeerNotes
	for _, m := range view.Members {
		if len(m.Notes) == 0 || m.Host == c.opts.Host {
			delete(c.observed, m.Host)
			continue
		}
		if c.observed[m.Host] == m {
			continue
		}
		c.observed[m.Host] = m
		changed = append(changed, quarantine.PeerNotes{Host: m.Host, Boot: m.Boot, Notes: m.Notes})
	}
	if len(changed) > 0 {
		c.opts.Tracker.Observe(changed)
	}
}

// assignedVerdicts returns the verdicts that this daemon carries for the fleet, those that end
// last first.
func (c *Controller) assignedVerdicts(view *membership.View) []quarantine.Verdict {
	var list []quarantine.Verdict
	for _, v := range c.opts.Tracker.Verdicts() {
		if c.isAssigned(view, v.Identity) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b quarantine.Verdict) int {
		return cmp.Or(b.Until.Compare(a.Until), slices.Compare(a.Identity[:], b.Identity[:]))
	})
	return list
}

// isAssigned reports whether this daemon is among the verdictReplicas live daemons with the
// highest rendezvous hashes for a request.
func (c *Controller) isAssigned(view *membership.View, id quarantine.Identity) bool {
	own := rank(c.opts.Host, id)
	above := 0
	for _, m := range view.Members {
		if m.Usable() && m.Host != c.opts.Host && rank(m.Host, id) > own {
			above++
		}
	}
	return above < verdictReplicas
}

// rank returns the rendezvous hash of a host for a request.
func rank(host string, id quarantine.Identity) uint64 {
	return xxhash.Sum64String(string(id[:]) + host)
}

// storeVerdicts puts the assigned verdicts into the directory and removes those that have ended.
func (c *Controller) storeVerdicts(ctx context.Context) error {
	for {
		view, viewChanged := c.opts.Board.Members.Watch()
		trackerChanged := c.opts.Tracker.Watch()
		if view != nil && !c.syncDirectory(ctx, c.assignedVerdicts(view)) {
			if !loop.SleepJittered(ctx, putRetryInterval) {
				return nil
			}
			continue
		}
		select {
		case <-viewChanged:
		case <-trackerChanged:
		case <-c.restored:
			clear(c.stored)
		case <-ctx.Done():
			return nil
		}
	}
}

// watchRestores makes storeVerdicts put the verdicts again that a restored directory may have
// lost.
func (c *Controller) watchRestores(ctx context.Context) error {
	for restores := blackboard.NewRestoreWatcher(c.opts.Board); restores.Wait(ctx); {
		c.restored.Set()
	}
	return nil
}

// syncDirectory brings the directory to the given verdicts and reports whether all writes
// succeeded.
func (c *Controller) syncDirectory(ctx context.Context, assigned []quarantine.Verdict) bool {
	done := true
	for _, v := range assigned {
		if c.stored[v.Identity].Equal(v.Until) {
			continue
		}
		if !c.put(ctx, v) {
			done = false
			continue
		}
		c.stored[v.Identity] = v.Until
	}
	for id, until := range c.stored {
		if c.opts.Tracker.QuarantinedFor(id) > 0 {
			continue
		}
		if !c.remove(ctx, id, until) {
			done = false
			continue
		}
		delete(c.stored, id)
	}
	return done
}

// put stores a verdict, unless one that ends as late is stored. It reports whether one is stored.
func (c *Controller) put(ctx context.Context, v quarantine.Verdict) bool {
	value, err := quarantine.EncodeEntry(v)
	if err != nil {
		return false
	}
	return c.update(ctx, v.Identity, func(stored quarantine.Verdict, ok bool) ([]byte, bool) {
		return value, !ok || stored.Until.Unix() < v.Until.Unix()
	})
}

// remove removes the stored verdict on a request, unless it ends after until. It reports whether none is
// stored that has ended.
func (c *Controller) remove(ctx context.Context, id quarantine.Identity, until time.Time) bool {
	return c.update(ctx, id, func(stored quarantine.Verdict, ok bool) ([]byte, bool) {
		return nil, ok && !stored.Until.After(until)
	})
}

// update sets the stored verdict on a request to what next returns for the present one, ok if there is one,
// unless next returns false. Without this condition, a write that the store executes seconds late would
// replace or remove the verdict that another daemon has stored since. It reports whether the write succeeded.
func (c *Controller) update(ctx context.Context, id quarantine.Identity, next func(stored quarantine.Verdict, ok bool) ([]byte, bool)) bool {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	err := c.opts.Directory.Update(ctx, keyPrefix+id.String(), func(values [][]byte) ([]byte, bool) {
		for _, value := range values {
			if v, ok := quarantine.DecodeEntry(value); ok && v.Identity == id {
				return next(v, true)
			}
		}
		return next(quarantine.Verdict{}, false)
	})
	if err != nil {
		c.opts.Logger.Info("quarantine: directory write failed", "identity", id.String(), "error", err)
	}
	return err == nil
}

// expire makes the tracker drop what has expired, until ctx is done.
func (c *Controller) expire(ctx context.Context) error {
	for loop.Sleep(ctx, expireInterval) {
		c.opts.Tracker.Expire()
	}
	return nil
}

// Entries returns the verdicts in force as entries of the directory.
func (c *Controller) Entries() [][]byte {
	var values [][]byte
	for _, v := range c.opts.Tracker.Verdicts() {
		if value, err := quarantine.EncodeEntry(v); err == nil {
			values = append(values, value)
		}
	}
	return values
}

// AddEntries adds the verdicts among the directory's entries to the tracker.
func (c *Controller) AddEntries(values [][]byte) {
	for _, value := range values {
		if v, ok := quarantine.DecodeEntry(value); ok {
			c.opts.Tracker.Add(v)
		}
	}
}
