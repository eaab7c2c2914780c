package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/eventlog"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/blackboard"
	"github.com/crocuscross/crocuscross/internal/loop"
	"github.com/crocuscross/crocuscross/membership"
	"github.com/crocuscross/crocuscross/peerpb"
	"github.com/crocuscross/crocuscross/recovery"
	"github.com/crocuscross/crocuscross/spread"
)

const (
	// joinRound is how long one set of contacts is tried before the contacts
	// stream is read again.
	joinRound = 15 * time.Second
	// rejoinAfter is the mean wait before the next join.
	rejoinAfter = 500 * time.Millisecond
	// maxRejoinAfter bounds that wait. A daemon that found no contacts is not
	// alone for that: the platform may have been away when it looked.
	maxRejoinAfter = 3 * time.Second
	// findTimeout bounds the read of the contacts stream.
	findTimeout = 2 * time.Second
	// storeTimeout bounds one read at the platform's store during a recovery. Its client
	// ends a read on which nothing comes for 2 s; this bounds one that comes in for good.
	// A document of 5,800 routes (1.6 MB as the store sends it) takes 2.8 s of an idle
	// link of 5 Mbit/s, the largest that is taken 57 s of half of one. Hosts whose reads
	// are ended sooner begin anew each time and serve nothing after a loss of power.
	storeTimeout = 2 * time.Minute
	// storeBackoff bounds the wait between two rounds of a recovery while neither
	// the store nor enough daemons answer.
	storeBackoff = time.Second
	// askFanOut is how many daemons are asked for the floor in one round.
	askFanOut = 6
	// enoughAnswers is how many of them a start on the platform waits for. It is more than
	// it takes to know the floor (recovery.Options.MinAnswers), so that one that has just
	// started as well does not send it to the store.
	enoughAnswers = 4
)

// joinFleet finds the other daemons, by the settings' contacts and those in
// the platform's log. A fleet that starts all at once joins by contacts that
// know nobody yet themselves, and a daemon that took their empty tables for the
// fleet would be alone until the next heal. So each joins a second time a moment
// later, when the contacts are members, and goes on while it is alone.
func (d *Daemon) joinFleet(ctx context.Context) error {
	configured, err := parseContacts(d.settings.Contacts)
	if err != nil {
		return err
	}
	wait := rejoinAfter
	var known []membership.Contact
	for joins := 0; ctx.Err() == nil; {
		if len(known) == 0 {
			known = d.withFound(ctx, configured)
		}
		if err := d.joinOnce(ctx, known); err != nil {
			d.logger.Warn("daemon: no contact answers", "error", err)
			known = nil
			continue
		}
		joins++
		d.joinedOnce.Do(func() { close(d.joined) })
		alone := len(d.membership.View().Live()) <= 1
		if joins > 1 && !alone {
			return nil
		}
		if alone {
			// Others may have come into the log since.
			known = nil
		}
		loop.SleepJittered(ctx, wait)
		if joins > 1 {
			wait = min(2*wait, maxRejoinAfter)
		}
	}
	return nil
}

func (d *Daemon) joinOnce(ctx context.Context, contacts []membership.Contact) error {
	ctx, cancel := context.WithTimeout(ctx, joinRound)
	defer cancel()
	_, err := d.membership.Join(ctx, contacts)
	return err
}

// withFound adds the contacts found in the platform's log.
func (d *Daemon) withFound(ctx context.Context, configured []membership.Contact) []membership.Contact {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	found, err := d.contacts.Find(ctx)
	if err != nil {
		d.logger.Info("daemon: contacts stream not read", "error", err)
	}
	return append(found, configured...)
}

// recoverConfiguration learns what this host had in force before, gets a state that
// is no older, and begins to serve.
func (d *Daemon) recoverConfiguration(ctx context.Context) error {
	// The join itself goes on.
	patience := time.NewTimer(time.Duration(d.settings.Membership.JoinPatience))
	defer patience.Stop()
	select {
	case <-d.joined:
	case <-patience.C:
	case <-ctx.Done():
		return nil
	}
	r, err := recovery.Recover(ctx, d.recoveryOptions())
	if err != nil {
		return err
	}
	d.logger.Info("daemon: recovered", "offset", r.State.Offset, "floor", r.Floor, "from", r.From.String())
	d.board.Floor.Store(&blackboard.Floor{Offset: r.Floor, Known: true, Reason: string(r.Problem)})
	if r.From == recovery.FromCheckpoint {
		d.spreader.InstallStateFromLog(r.State)
	} else {
		d.spreader.InstallState(r.State)
	}
	d.lifecycle.Serving()
	return nil
}

// recoveryOptions returns how to recover from the log in use.
func (d *Daemon) recoveryOptions() recovery.Options {
	o := recovery.DefaultOptions()
	o.Host = d.settings.Host
	o.Peers = recoveryPeers{d}
	o.Config = d.configLog()
	if d.adapter != nil {
		o.LoadCheckpoint = d.latestState
		// The store answers all daemons of a fleet that starts at once, and callers
		// wait for each of them.
		o.Stagger, o.MaxBackoff = 0, storeBackoff
		o.LogTimeout, o.FetchTimeout = storeTimeout, storeTimeout
		o.PreferPeers = true
	} else {
		o.Checkpoints = d.log.Stream(eventlog.StreamCheckpoints)
	}
	o.Report = d.reportRecovery
	o.Logger = d.logger
	return o
}

func (d *Daemon) reportRecovery(dec recovery.Decision) {
	d.board.Floor.Store(&blackboard.Floor{Offset: dec.Floor, Reason: string(dec.Problem)})
}

// recoveryPeers asks other daemons on behalf of a recovery.
type recoveryPeers struct{ d *Daemon }

// Ask implements recovery.Peers with a few daemons, half of them neighbours: a state that
// both have is then fetched within the availability zone.
func (p recoveryPeers) Ask(ctx context.Context) recovery.PeerAnswers {
	others := p.others()
	h := recovery.PeerAnswers{Known: len(others)}
	asked := p.toAsk(others)
	answers := make(chan *recovery.PeerAnswer, len(asked))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, m := range asked {
		go func() {
			a, err := p.askOne(ctx, m)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &a
		}()
	}
	for range asked {
		a := <-answers
		if a == nil {
			continue
		}
		h.Answers = append(h.Answers, *a)
		if p.d.onStore() && len(h.Answers) >= enoughAnswers {
			// One that is silent must not hold up a start for as long as a question may
			// take.
			break
		}
	}
	p.sortNear(h.Answers)
	return h
}

// toAsk draws the daemons to ask: half of them neighbours, those that are alive first, and
// most of either half with the widest links: they have a configuration first after a loss of
// power, and bear to hand it to many.
func (p recoveryPeers) toAsk(others []*membership.Member) []*membership.Member {
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b *membership.Member) int {
		return cmp.Or(cmp.Compare(a.Liveness, b.Liveness), cmp.Compare(b.LinkMbps, a.LinkMbps))
	})
	var near, away []*membership.Member
	for _, m := range others {
		if m.AvailabilityZone == p.d.settings.AvailabilityZone {
			near = append(near, m)
		} else {
			away = append(away, m)
		}
	}
	n := min(len(near), max(askFanOut/2, askFanOut-len(away)))
	return slices.Concat(firstAndAny(near, n), firstAndAny(away, min(askFanOut-n, len(away))))
}

// firstAndAny returns n of a list: the first ones, and one of the rest. Those with the widest
// links may all have just started.
func firstAndAny(list []*membership.Member, n int) []*membership.Member {
	if n > 0 {
		other := n - 1 + rand.IntN(len(list)-n+1)
		list[n-1], list[other] = list[other], list[n-1]
	}
	return list[:n]
}

// sortNear puts the answers of neighbours first.
func (p recoveryPeers) sortNear(answers []recovery.PeerAnswer) {
	view := p.d.membership.View()
	away := func(a recovery.PeerAnswer) int {
		if m := view.Find(a.Host); m != nil && m.AvailabilityZone == p.d.settings.AvailabilityZone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(answers, func(a, b recovery.PeerAnswer) int { return away(a) - away(b) })
}

// others are the daemons that have not left; those believed dead may be alive
// beyond a cut.
func (p recoveryPeers) others() []*membership.Member {
	var others []*membership.Member
	for _, m := range p.d.membership.View().Members {
		if m.Host != p.d.settings.Host && m.Liveness != membership.Left {
			others = append(others, m)
		}
	}
	return others
}

func (p recoveryPeers) askOne(ctx context.Context, m *membership.Member) (recovery.PeerAnswer, error) {
	host := p.d.settings.Host
	ans, err := p.pull(ctx, m, &peerpb.Pull{Host: host, FloorOnly: true})
	if err != nil {
		return recovery.PeerAnswer{}, err
	}
	a := recovery.PeerAnswer{
		Host:     m.Host,
		Position: recovery.Position{Offset: ans.GetOffset()},
		// What the tables told at the join counts as well.
		Floor: max(ans.GetFloor(), p.d.membership.Floor(host)),
	}
	copy(a.Chain[:], ans.GetChain())
	return a, nil
}

func (p recoveryPeers) pull(ctx context.Context, m *membership.Member, req *peerpb.Pull) (*peerpb.PullAnswer, error) {
	return spread.NewPoolPeers(p.d.control).Pull(ctx, m.PeerAddr, req)
}

// State implements recovery.Peers.
func (p recoveryPeers) State(ctx context.Context, host string) (*fold.State, error) {
	m := p.d.membership.View().Find(host)
	if m == nil {
		return nil, errors.Newf("host %s is not known", host)
	}
	ans, err := p.pull(ctx, m, &peerpb.Pull{Host: p.d.settings.Host, WholeState: true, TakesPacked: true})
	if err != nil {
		return nil, err
	}
	state, err := spread.StateOf(ans)
	if err != nil {
		return nil, err
	}
	if state == nil {
		return nil, errors.Newf("host %s gave no state", host)
	}
	return fold.Decode(state)
}
