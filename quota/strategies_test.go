package quota

import (
	"math/rand/v2"
	"time"

	"github.com/crocuscross/crocuscross/snapshot"
)

// strategy is one of four ways to enforce a contract, compared on the same calls and faults.
// quotaLeases is this package. The other three are idealized models: they have no queues and
// lose no messages except through the simulated faults.
type strategy interface {
	// call decides on one call.
	call(d *daemon, done func(admitted bool))
	// messages returns the number of messages sent so far.
	messages() int
}

// bucket is a plain token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) refill(now time.Duration, rate, burst float64) {
	b.level = min(burst, b.level+rate*(now-b.at).Seconds())
	b.at = now
}

func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// equalSplit gives each reachable daemon an equal part of the contract.
type equalSplit struct {
	c       *snapshot.Contract
	buckets []bucket
}

func (s *equalSplit) messages() int { return 0 }

func (s *equalSplit) call(d *daemon, done func(bool)) {
	if d.dead || d.paused {
		done(false)
		return
	}
	f := d.m.fleet.Load()
	n := f.reachableShare * float64(f.known)
	b := &s.buckets[d.index]
	b.refill(d.w.now, s.c.Rate/n, max(1, s.c.Burst/n))
	done(b.take())
}

// askOwner requests each call's token from the owner.
type askOwner struct {
	c       *snapshot.Contract
	buckets []bucket
	sent    int
}

func (s *askOwner) messages() int { return s.sent }

func (s *askOwner) call(d *daemon, done func(bool)) {
	if d.dead || d.paused {
		done(false)
		return
	}
	w := d.w
	o := w.find(d.m.fleet.Load().owner(s.c.Customer).Host)
	if o != d {
		s.sent++
	}
	answered := false
	answer := func(ok bool) {
		if !answered {
			answered = true
			done(ok)
		}
	}
	w.after(admitWait, func() { answer(false) })
	hop := w.hop(d, o)
	w.after(hop, func() {
		if w.cut(d, o) {
			return
		}
		o.execute(func() {
			b := &s.buckets[o.index]
			b.refill(w.now, s.c.Rate, s.c.Burst)
			ok := b.take()
			w.after(hop, func() {
				if !w.cut(o, d) {
					answer(ok)
				}
			})
		})
	})
}

// gossip lets each daemon deduct the calls admitted on all daemons, as far as it has received
// their counts, from its own bucket for the whole contract.
type gossip struct {
	c       *snapshot.Contract
	w       *world
	buckets []bucket
	// counts[i][j] is the number of calls admitted by daemon j that daemon i knows of.
	counts [][]int
	sent   int
}

const (
	gossipRound  = 200 * time.Millisecond
	gossipFanOut = 3
)

func newGossip(c *snapshot.Contract, w *world) *gossip {
	g := &gossip{c: c, w: w, buckets: newBuckets(c, w), counts: make([][]int, len(w.daemons))}
	for i := range g.counts {
		g.counts[i] = make([]int, len(w.daemons))
	}
	w.after(gossipRound, g.round)
	return g
}

func (g *gossip) messages() int { return g.sent }

func (g *gossip) call(d *daemon, done func(bool)) {
	if d.dead || d.paused {
		done(false)
		return
	}
	b := &g.buckets[d.index]
	b.refill(g.w.now, g.c.Rate, g.c.Burst)
	ok := b.take()
	if ok {
		g.counts[d.index][d.index]++
	}
	done(ok)
}

func (g *gossip) round() {
	rng := rand.New(rand.NewPCG(uint64(g.w.now), 0))
	for _, d := range g.w.daemons {
		for range gossipFanOut {
			o := g.w.daemons[rng.IntN(len(g.w.daemons))]
			if o == d || d.dead || d.paused || o.dead || o.paused || g.w.cut(d, o) {
				continue
			}
			g.sent++
			g.merge(d, o)
		}
	}
	g.w.after(gossipRound, g.round)
}

func (g *gossip) merge(from, to *daemon) {
	b := &g.buckets[to.index]
	b.refill(g.w.now, g.c.Rate, g.c.Burst)
	for j, n := range g.counts[from.index] {
		if added := n - g.counts[to.index][j]; added > 0 {
			b.level = max(-g.c.Rate, b.level-float64(added))
			g.counts[to.index][j] = n
		}
	}
}

// quotaLeases uses the Managers of this package.
type quotaLeases struct {
	c *snapshot.Contract
	w *world
}

func (s *quotaLeases) messages() int                   { return s.w.messages }
func (s *quotaLeases) call(d *daemon, done func(bool)) { d.call(s.c, done) }

func newBuckets(c *snapshot.Contract, w *world) []bucket {
	list := make([]bucket, len(w.daemons))
	for i := range list {
		list[i].at = w.now
	}
	return list
}

const leasesName = "leases"

func newLeases(c *snapshot.Contract, w *world) strategy { return &quotaLeases{c, w} }

var strategies = []struct {
	name  string
	build func(c *snapshot.Contract, w *world) strategy
}{
	{"equal split", func(c *snapshot.Contract, w *world) strategy { return &equalSplit{c, newBuckets(c, w)} }},
	{"ask on every call", func(c *snapshot.Contract, w *world) strategy { return &askOwner{c: c, buckets: newBuckets(c, w)} }},
	{leasesName, newLeases},
	{"gossiped counts", func(c *snapshot.Contract, w *world) strategy { return newGossip(c, w) }},
}
